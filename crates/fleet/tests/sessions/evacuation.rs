//! Evacuations of a failure domain under load, with faults of the reader, the links
//! and the store.

use std::collections::BTreeSet;

use bluebellpath_fleet::{InjectedFault, Target, evacuation::used_permille, frontend::Answer};
use bluebellpath_runtime::{Instant, clock, runtime};

use crate::system::{JobSpec, Layout, SMALL, System, sleep_ms};

const LAYOUT: Layout = Layout {
    domains: 3,
    instances: 2,
    targets: 8,
};

const INSTANCES: usize = LAYOUT.domains * LAYOUT.instances;

/// Domain that is evacuated.
const DOMAIN: &str = "domain-1";

/// Instances of that domain.
const OF_DOMAIN: [usize; 2] = [2, 3];

/// Duration of a step, in milliseconds.
const STEP_MS: u64 = 100;

/// Step in which the evacuation is requested.
const REQUEST_STEP: u64 = 10;

/// Steps of a session.
const STEPS: u64 = 170;

/// Time after the request within which starts are allowed, in milliseconds.
const BOUND_MS: u64 = 5_000;

/// Extension of that time while the store is unstable, in milliseconds.
const UNSTABLE_MS: u64 = 6_000;

/// Jobs of two tasks that are submitted in each step: about a third of what the
/// targets of all domains can run.
const JOBS_PER_STEP: u64 = 3;

/// Evacuation of [`DOMAIN`] with something else that happens.
struct Case {
    name: &'static str,
    /// Is called before each step; the row is written in [`REQUEST_STEP`] after it.
    disturb: fn(&mut System, u64),
    /// Time after the request within which starts in the domain are allowed.
    bound_ms: u64,
    /// Jobs per step from the request on.
    jobs_per_step: u64,
    /// Whether all jobs that come after the bound must complete.
    completes: bool,
}

const ORDINARY: Case = Case {
    name: "nothing else happens",
    disturb: |_, _| {},
    bound_ms: BOUND_MS,
    jobs_per_step: JOBS_PER_STEP,
    completes: true,
};

const ALL_BUT_ONE_STALE: Case = Case {
    name: "all but the last reader see a stale view",
    disturb: |system, step| {
        if step == REQUEST_STEP - 1 {
            (0..INSTANCES - 1).for_each(|it| system.config_table.stand_still(it));
        }
    },
    ..ORDINARY
};

const CASES: [Case; 15] = [
    ORDINARY,
    Case {
        name: "the reader is killed with the request",
        disturb: |system, step| {
            if step == REQUEST_STEP {
                system.kill(0);
            }
        },
        ..ORDINARY
    },
    Case {
        name: "the first three in rank are killed one after the other",
        disturb: |system, step| match step {
            9 => system.kill(0),
            10 => system.kill(1),
            12 => system.kill(4),
            _ => {}
        },
        ..ORDINARY
    },
    Case {
        name: "the reader is suspended, and resumed after the bound",
        disturb: |system, step| match step {
            REQUEST_STEP => system.suspend(0),
            70 => system.resume(0),
            _ => {}
        },
        // Jobs that were submitted to it meanwhile come as a burst.
        completes: false,
        ..ORDINARY
    },
    Case {
        name: "an owner of the domain is suspended, and resumed after the bound",
        disturb: |system, step| match step {
            REQUEST_STEP => system.suspend(2),
            70 => system.resume(2),
            _ => {}
        },
        completes: false,
        ..ORDINARY
    },
    Case {
        name: "the first reader sees a stale view",
        disturb: |system, step| {
            if step == REQUEST_STEP - 1 {
                system.config_table.stand_still(0);
            }
        },
        ..ORDINARY
    },
    ALL_BUT_ONE_STALE,
    Case {
        name: "the store answers neither of the first two readers",
        disturb: |system, step| {
            if step == REQUEST_STEP {
                system.config_table.lose([0, 1]);
            }
        },
        ..ORDINARY
    },
    Case {
        name: "the polls that wait at the store are lost, and its history is gone",
        disturb: |system, step| {
            if step == REQUEST_STEP {
                system.config_table.silence();
                system.config_table.compact();
            }
        },
        ..ORDINARY
    },
    Case {
        name: "the store is unavailable for 4 s from the request on",
        disturb: |system, step| match step {
            REQUEST_STEP => system.config_table.lose(0..INSTANCES),
            50 => system.config_table.answer(),
            _ => {}
        },
        bound_ms: BOUND_MS + UNSTABLE_MS,
        ..ORDINARY
    },
    Case {
        name: "the store is slow",
        disturb: |system, step| {
            if step == 5 {
                system
                    .config_table
                    .slow_down(std::time::Duration::from_millis(900));
            }
        },
        bound_ms: BOUND_MS + UNSTABLE_MS,
        ..ORDINARY
    },
    Case {
        name: "the domain is partitioned from its peers, but not from the store",
        disturb: |system, step| {
            if step == 5 {
                system.set_partitioned(DOMAIN, true);
            }
        },
        completes: false,
        ..ORDINARY
    },
    Case {
        name: "the domain is cut off from its peers and the store for 6 s",
        disturb: |system, step| match step {
            5 => {
                system.set_partitioned(DOMAIN, true);
                system.config_table.lose(OF_DOMAIN);
            }
            65 => {
                system.set_partitioned(DOMAIN, false);
                system.config_table.answer();
            }
            _ => {}
        },
        // The bound counts from the end of the cut.
        bound_ms: BOUND_MS + (65 - REQUEST_STEP) * STEP_MS,
        ..ORDINARY
    },
    Case {
        name: "the instances of the domain are down, and others own its targets",
        disturb: |system, step| {
            if step == 2 {
                OF_DOMAIN.iter().for_each(|it| system.kill(*it));
            }
        },
        ..ORDINARY
    },
    Case {
        name: "a burst of four times the jobs",
        jobs_per_step: 4 * JOBS_PER_STEP,
        completes: false,
        ..ORDINARY
    },
];

/// Submits the jobs of a step to the live instances in turn.
fn submit_jobs(system: &System, step: u64, jobs: u64) {
    for index in 0..jobs {
        let job = step * 100 + index;
        let number = usize::try_from(job).expect("small") % INSTANCES;
        let spec = JobSpec {
            job,
            tasks: 2,
            deadline_ms: 3_000,
            ..JobSpec::default()
        };
        if system.is_alive(number) {
            system.submit(number, spec);
        }
    }
}

/// Plays a case and returns what went wrong.
fn run(case: &'static Case, injected_fault: Option<InjectedFault>) -> Vec<String> {
    runtime::paused(async move {
        let mut system = System::start_with(LAYOUT, injected_fault).await;
        let mut requested_at = clock::now();
        for step in 0..STEPS {
            (case.disturb)(&mut system, step);
            if step == REQUEST_STEP {
                system.set_evacuated(DOMAIN, true);
                requested_at = clock::now();
            }
            let jobs = match step >= REQUEST_STEP {
                true => case.jobs_per_step,
                false => JOBS_PER_STEP,
            };
            submit_jobs(&system, step, jobs);
            sleep_ms(STEP_MS).await;
        }
        sleep_ms(3_500).await;
        let mut violations = system.violations();
        let starts = system.targets.starts_in(DOMAIN);
        if !starts.iter().any(|it| it.0 < requested_at) {
            violations.push("nothing was started in the domain before".to_owned());
        }
        let delay_ms = |at: Instant| (at - requested_at).as_millis();
        let last = starts.iter().map(|it| delay_ms(it.0)).max().unwrap_or(0);
        println!("{}: last start after {last} ms", case.name);
        if last > u128::from(case.bound_ms) {
            violations.push(format!("a start {last} ms after the request"));
        }
        let due_step = REQUEST_STEP + case.bound_ms / STEP_MS;
        for job in (due_step * 100..STEPS * 100).filter(|_| case.completes) {
            let number = usize::try_from(job).expect("small") % INSTANCES;
            let submitted = job % 100 < case.jobs_per_step && system.is_alive(number);
            if submitted && system.answer(job) != Some(Answer::Completed) {
                violations.push(format!("job {job} was answered {:?}", system.answer(job)));
            }
        }
        violations
    })
}

#[test]
fn nothing_starts_in_an_evacuated_domain() {
    for case in &CASES {
        let violations = run(case, None);
        assert!(violations.is_empty(), "{}: {violations:#?}", case.name);
    }
}

#[test]
fn ignored_and_older_evacuations_are_detected() {
    let ignored = run(&ORDINARY, Some(InjectedFault::IgnoreEvacuations));
    assert!(!ignored.is_empty(), "the injected fault was not detected");
    let older = run(
        &ALL_BUT_ONE_STALE,
        Some(InjectedFault::AcceptOlderEvacuations),
    );
    assert!(!older.is_empty(), "the injected fault was not detected");
}

/// Guards against tasks that wait for evacuated targets until their time is over. The
/// targets of the other domain have become free meanwhile.
#[test]
fn tasks_that_wait_for_evacuated_targets_are_moved_at_once() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        let fill = |job, instance, run_ms| {
            let spec = JobSpec {
                job,
                tasks: 8,
                run_ms,
                ..JobSpec::default()
            };
            system.submit(instance, spec);
        };
        fill(1, 0, 600);
        fill(2, 2, 3_000);
        sleep_ms(300).await;
        let waiting = JobSpec {
            job: 3,
            // Admission refuses a job that can't end within its goal.
            goal_ms: Some(8_000),
            ..JobSpec::default()
        };
        system.submit(2, waiting);
        sleep_ms(450).await;
        let waiting = || -> usize {
            let of_domain = system.instances.iter().filter(|it| it.domain == DOMAIN);
            let counts = of_domain.map(|it| it.node.scheduler().task_counts());
            counts.map(|it| it.1).sum()
        };
        assert_ne!(waiting(), 0, "tasks wait in the domain");
        system.set_evacuated(DOMAIN, true);
        sleep_ms(50).await;
        assert_eq!(waiting(), 0);
        sleep_ms(250).await;
        assert_eq!(system.answer(3), Some(Answer::Completed));
        sleep_ms(3_000).await;
        // What runs there ends normally.
        assert_eq!(system.answer(2), Some(Answer::Completed));
        assert_eq!(system.started_runs(2), 8);
        system.assert_no_violations();
    });
}

/// Guards against run requests to owners whose last load was sent before they knew of
/// the evacuation.
#[test]
fn a_frontend_sends_nothing_to_an_owner_of_evacuated_targets() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        let fill = JobSpec {
            tasks: 8,
            run_ms: 3_000,
            ..JobSpec::default()
        };
        system.submit(0, fill);
        sleep_ms(300).await;
        for owner in [2, 3] {
            let address = |number: usize| system.instances[number].address;
            system.mesh.drop_heartbeats(address(owner), address(0));
        }
        system.set_evacuated(DOMAIN, true);
        sleep_ms(100).await;
        let calls = system.mesh.calls();
        let job = JobSpec {
            job: 2,
            tasks: 2,
            run_ms: 2_000,
            // Admission refuses a job that can't end within its goal.
            goal_ms: Some(8_000),
            ..JobSpec::default()
        };
        system.submit(0, job);
        // Shorter than the time to the next call about the list of targets.
        sleep_ms(10).await;
        let sent = system.mesh.calls() - calls;
        let waiting = [0, 1].map(|it| system.instances[it].node.scheduler().task_counts().1);
        assert_eq!(waiting.iter().sum::<usize>(), 2);
        assert_eq!(sent, u64::try_from(waiting[1]).expect("small"));
        system.assert_no_violations();
    });
}

/// Changes of the row: the step and whether the evacuation is requested.
struct Sequence {
    name: &'static str,
    changes: &'static [(u64, bool)],
}

const SEQUENCES: [Sequence; 4] = [
    Sequence {
        name: "cancelled",
        changes: &[(10, true), (70, false)],
    },
    Sequence {
        name: "cancelled within the bound",
        changes: &[(10, true), (13, false)],
    },
    Sequence {
        name: "twice in a row",
        changes: &[(10, true), (70, false), (110, true)],
    },
    Sequence {
        name: "again while its targets return",
        changes: &[(10, true), (70, false), (85, true), (86, false), (87, true)],
    },
];

/// Evacuations and cancellations one after the other, with so many jobs that all
/// targets are in use whenever they may be.
#[test]
fn targets_return_in_steps_after_a_cancellation() {
    const MANY: Layout = Layout {
        domains: 3,
        instances: 2,
        targets: 16,
    };
    for sequence in SEQUENCES {
        runtime::paused(async move {
            let system = System::start(MANY).await;
            let mut changed_at = Vec::new();
            for step in 0..STEPS {
                if let Some(change) = sequence.changes.iter().find(|it| it.0 == step) {
                    system.set_evacuated(DOMAIN, change.1);
                    changed_at.push((clock::now(), change.1));
                }
                submit_jobs(&system, step, 24);
                sleep_ms(STEP_MS).await;
            }
            let end = clock::now();
            for (index, (at, requested)) in changed_at.iter().enumerate() {
                let until = changed_at.get(index + 1).map_or(end, |it| it.0);
                let mut starts = system.targets.starts_in(DOMAIN);
                starts.retain(|it| (*at..until).contains(&it.0));
                let name = sequence.name;
                if *requested {
                    let late = starts
                        .iter()
                        .find(|it| (it.0 - *at).as_millis() > BOUND_MS.into());
                    assert_eq!(late, None, "{name}, change {index}");
                    continue;
                }
                for (started_at, target) in &starts {
                    let used = used_permille(*started_at - *at);
                    let known = changed_at[index - 1].0 + std::time::Duration::from_secs(1) < *at;
                    assert!(
                        !known || Target::short_id(target) % 1_000 < used,
                        "{name}, change {index}: {target} after {:?}",
                        *started_at - *at
                    );
                }
                if until - *at > std::time::Duration::from_secs(5) {
                    let used: BTreeSet<_> = starts.iter().map(|it| &it.1).collect();
                    assert_eq!(used.len(), MANY.targets, "{name}, change {index}");
                }
            }
            system.assert_no_violations();
        });
    }
}

/// All instances lose power while a domain is evacuated, and the store is away when
/// they are back.
#[test]
fn nothing_starts_after_a_power_loss_before_the_evacuations_are_known() {
    runtime::paused(async {
        let mut system = System::start(LAYOUT).await;
        let mut back_at = clock::now();
        let mut store_back_at = clock::now();
        for step in 0..STEPS {
            match step {
                REQUEST_STEP => system.set_evacuated(DOMAIN, true),
                70 => {
                    (0..INSTANCES).for_each(|it| system.kill(it));
                    system.config_table.lose(0..INSTANCES);
                }
                75 => {
                    (0..INSTANCES).for_each(|it| system.start_instance(it, it / 2));
                    back_at = clock::now();
                }
                110 => {
                    system.config_table.answer();
                    store_back_at = clock::now();
                }
                _ => {}
            }
            submit_jobs(&system, step, JOBS_PER_STEP);
            sleep_ms(STEP_MS).await;
        }
        let starts = |domain| system.targets.starts_in(domain).into_iter().map(|it| it.0);
        for domain in ["domain-0", "domain-1", "domain-2"] {
            let early = starts(domain).find(|it| (back_at..store_back_at).contains(it));
            assert_eq!(early, None, "{domain}");
        }
        assert_eq!(starts(DOMAIN).find(|it| *it >= back_at), None);
        assert!(starts("domain-0").any(|it| it > store_back_at));
        system.assert_no_violations();
    });
}

/// More domains than a heartbeat names: each instance then reads the table itself.
#[test]
fn any_number_of_evacuations_is_enforced() {
    runtime::paused(async {
        let system = System::start(LAYOUT).await;
        for number in 0..40 {
            system.set_evacuated(&format!("unknown-{number}"), true);
        }
        sleep_ms(3_000).await;
        system.set_evacuated(DOMAIN, true);
        let requested_at = clock::now();
        for step in 0..80 {
            submit_jobs(&system, step, JOBS_PER_STEP);
            sleep_ms(STEP_MS).await;
        }
        let starts = system.targets.starts_in(DOMAIN);
        let late = starts
            .iter()
            .find(|it| (it.0 - requested_at).as_millis() > BOUND_MS.into());
        assert_eq!(late, None);
        assert!(!system.targets.starts_in("domain-2").is_empty());
        system.assert_no_violations();
    });
}
