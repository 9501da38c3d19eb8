//! Owners that are heard again after others have taken their targets over.

use bluebellpath_fleet::frontend::Answer;
use bluebellpath_runtime::runtime;
use bluebellpath_standin::Mishap;

use crate::system::{CutKind, JobSpec, Layout, System, sleep_ms};

/// Longer than any case, so that a run ends only if it is stopped or its lease ends.
const RUN_MS: u64 = 6_000;

/// Time for which the tasks have run when the owner falls silent.
const RUN_BEFORE_MS: u64 = 300;

/// Time for which a target is cut off.
const CUT_MS: u64 = 2_650;

/// How an owner falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Its process is suspended.
    Suspended,
    /// No instance reaches it, and its connections stay open.
    Unreachable,
}

/// Owner that falls silent while it holds targets with runs.
struct Case {
    name: &'static str,
    layout: Layout,
    front: usize,
    /// Instances of which the first with a run falls silent.
    owners: &'static [usize],
    silence: Silence,
}

const PAIRS: Layout = Layout {
    domains: 2,
    instances: 2,
    targets: 4,
};

const SINGLES: Layout = Layout {
    domains: 3,
    instances: 1,
    targets: 4,
};

const FOUR_SINGLES: Layout = Layout {
    domains: 4,
    instances: 1,
    targets: 4,
};

const CASES: [Case; 6] = [
    Case {
        name: "suspended, and its peer is the frontend",
        layout: PAIRS,
        front: 0,
        owners: &[1],
        silence: Silence::Suspended,
    },
    Case {
        name: "suspended, and the frontend is in another domain",
        layout: PAIRS,
        front: 2,
        owners: &[0, 1],
        silence: Silence::Suspended,
    },
    Case {
        name: "unreachable, and its peer is the frontend",
        layout: PAIRS,
        front: 0,
        owners: &[1],
        silence: Silence::Unreachable,
    },
    Case {
        name: "unreachable, and the frontend is in another domain",
        layout: PAIRS,
        front: 2,
        owners: &[0, 1],
        silence: Silence::Unreachable,
    },
    Case {
        name: "suspended, the only instance of its domain",
        layout: SINGLES,
        front: 0,
        owners: &[1, 2],
        silence: Silence::Suspended,
    },
    Case {
        name: "unreachable, the only instance of its domain",
        layout: SINGLES,
        front: 0,
        owners: &[1, 2],
        silence: Silence::Unreachable,
    },
];

impl Silence {
    fn set(self, system: &System, owner: usize, silent: bool) {
        match (self, silent) {
            (Silence::Suspended, true) => system.suspend(owner),
            (Silence::Suspended, false) => system.resume(owner),
            (Silence::Unreachable, _) => {
                let address = system.instances[owner].address;
                for peer in system.instances.iter().filter(|it| it.address != address) {
                    system.mesh.cut(address, peer.address, silent);
                }
            }
        }
    }
}

/// When the instances of other domains get their heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    First,
    /// One heartbeat later, because of a heartbeat outside the usual interval.
    Second,
}

/// Violations if one target of the owner is cut off `lead_ms` before the owner is heard
/// again, after `silent_ms`.
fn run(case: &'static Case, phase: Phase, silent_ms: u64, lead_ms: u64) -> Vec<String> {
    runtime::paused(async move {
        let system = System::start(case.layout).await;
        if phase == Phase::Second {
            for instance in &system.instances {
                instance.node.apply_config("2", "test");
            }
        }
        // The tasks fill most targets.
        let spec = JobSpec {
            tasks: u16::try_from(case.layout.domains * case.layout.targets * 3 / 2).expect("small"),
            run_ms: RUN_MS,
            deadline_ms: 20_000,
            ..JobSpec::default()
        };
        system.submit(case.front, spec);
        sleep_ms(RUN_BEFORE_MS).await;
        let running = system.targets.running();
        let with_run = case.owners.iter().find_map(|owner| {
            let owned = system.instances[*owner].node.scheduler().target_ids();
            let run = running.iter().find(|it| owned.contains(&it.0))?;
            Some((*owner, run.0.clone()))
        });
        let (owner, target) = with_run.expect("an owner has a run");
        case.silence.set(&system, owner, true);
        sleep_ms(silent_ms.saturating_sub(lead_ms)).await;
        system.targets.set_mishap(&target, Mishap::Dark);
        sleep_ms(lead_ms).await;
        case.silence.set(&system, owner, false);
        sleep_ms(CUT_MS).await;
        system.targets.set_mishap(&target, Mishap::None);
        sleep_ms(3 * RUN_MS).await;
        let mut violations = system.violations();
        if system.answer(1) != Some(Answer::Completed) {
            violations.push(format!("answered {:?}", system.answer(1)));
        }
        violations
    })
}

/// Guards against an owner that reports a run as over by the end of its own lease,
/// though the next owner has renewed it: it took the first heartbeat after a silence for
/// proof that nobody had taken its targets over.
#[test]
fn a_run_that_the_next_owner_keeps_is_not_given_up_by_the_last_one() {
    check(Phase::First, (600..=2_000).step_by(200));
}

/// Like the last one, for silences up to and beyond the longest suspension.
#[test]
fn a_run_that_the_next_owner_keeps_outlives_a_long_silence_of_the_last_one() {
    check(Phase::First, (2_500..=5_500).step_by(500));
}

/// Like the last one. Guards against tasks that are not started again, until their
/// caller's time is over.
#[test]
fn runs_beside_a_silent_owner_end_in_any_phase_of_the_heartbeats() {
    check(Phase::Second, (600..=2_000).step_by(200));
}

fn check(phase: Phase, silences_ms: impl Iterator<Item = u64> + Clone) {
    let mut failures = Vec::new();
    for case in &CASES {
        for silent_ms in silences_ms.clone() {
            for lead_ms in (0..=600).step_by(100) {
                let violations = run(case, phase, silent_ms, lead_ms);
                if let Some(first) = violations.first() {
                    failures.push(format!(
                        "{}, {silent_ms} ms, {lead_ms} ms: {first}",
                        case.name
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Violations if `domain-1`, which owns targets of `domain-3`, is cut off: first from these
/// targets, and `lead_ms` later from all others.
fn run_cut(kind: CutKind, lead_ms: u64, run_before_ms: u64) -> Vec<String> {
    runtime::paused(async move {
        let system = System::start(FOUR_SINGLES).await;
        // The instances of the other domains own its targets.
        system.kill(3);
        sleep_ms(1_500).await;
        for (job, rack) in [(1, "rack-6"), (2, "rack-7")] {
            let spec = JobSpec {
                job,
                run_ms: RUN_MS,
                deadline_ms: 20_000,
                rack: Some(rack),
                ..JobSpec::default()
            };
            system.submit(1, spec);
        }
        sleep_ms(RUN_BEFORE_MS + run_before_ms).await;
        // Its way to the targets may end before that to its peers.
        system.cut_targets("domain-1", "domain-3", Some(kind));
        sleep_ms(lead_ms).await;
        system.cut_off("domain-1", Some(kind));
        system.mesh.reset();
        sleep_ms(3 * RUN_MS).await;
        system.violations()
    })
}

fn check_cuts(kinds: &[CutKind]) {
    let mut failures = Vec::new();
    for kind in kinds {
        for lead_ms in [0, 150, 300] {
            for run_before_ms in (0..=450).step_by(50) {
                let violations = run_cut(*kind, lead_ms, run_before_ms);
                if let Some(first) = violations.first() {
                    failures.push(format!(
                        "{kind:?}, {lead_ms} ms, {run_before_ms} ms: {first}"
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an owner that is cut off and takes refused connections for a proof that
/// its targets have no other owner, though the next one keeps their runs alive.
#[test]
fn a_run_behind_a_cut_that_refuses_connections_is_not_given_up_early() {
    check_cuts(&[CutKind::Silent, CutKind::Refusing]);
}

/// Guards against an owner that is cut off in one direction and gives up runs which the
/// next one keeps alive.
#[test]
fn a_run_behind_a_cut_in_one_direction_is_not_given_up_early() {
    check_cuts(&[CutKind::Deaf, CutKind::Unheard]);
}

/// Why a target gets a second new owner soon after the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The only instance of its domain was suspended and resumes.
    Resumed,
    /// The first new owner, which may be this one, leaves.
    Left(usize),
}

/// Guards against a second new owner that gives a run more time, though it does not follow
/// the failed owner: that one waits for the time of one new owner.
#[test]
fn a_run_that_is_taken_over_twice_is_not_given_up_early() {
    let mut failures = Vec::new();
    for cause in [Cause::Resumed, Cause::Left(0), Cause::Left(2)] {
        for kind in CutKind::ALL {
            for delay_ms in (0..=1_400).step_by(100) {
                for run_before_ms in [0, 100, 200, 300] {
                    let violations = run_taken_over_twice(cause, kind, delay_ms, run_before_ms);
                    if let Some(first) = violations.first() {
                        failures.push(format!(
                            "{cause:?}, {kind:?}, {delay_ms} ms, {run_before_ms} ms: {first}"
                        ));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Violations if `domain-1`, which owns targets of `domain-3`, is cut off, and `cause`
/// gives these a second new owner `delay_ms` later.
fn run_taken_over_twice(
    cause: Cause,
    kind: CutKind,
    delay_ms: u64,
    run_before_ms: u64,
) -> Vec<String> {
    runtime::paused(async move {
        let system = System::start(FOUR_SINGLES).await;
        match cause {
            Cause::Resumed => system.suspend(3),
            Cause::Left(_) => system.kill(3),
        }
        sleep_ms(1_500).await;
        for (job, rack) in [(1, "rack-6"), (2, "rack-7")] {
            let spec = JobSpec {
                job,
                run_ms: RUN_MS,
                deadline_ms: 20_000,
                rack: Some(rack),
                ..JobSpec::default()
            };
            system.submit(1, spec);
        }
        sleep_ms(RUN_BEFORE_MS + run_before_ms).await;
        system.cut_off("domain-1", Some(kind));
        sleep_ms(delay_ms).await;
        match cause {
            Cause::Resumed => system.resume(3),
            Cause::Left(number) => system.instances[number].node.leave(),
        }
        sleep_ms(3 * RUN_MS).await;
        system.violations()
    })
}
