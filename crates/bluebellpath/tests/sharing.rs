//! Entry instances that share the targets of their domain, on the paused clock.

use std::time::Duration;

use bluebellpath::job::{Answer, Id, Outcome, Submission, TaskSpec};
use bluebellpath_runtime::{Instant, clock, runtime, spawn};
use bluebellpath_standin::{Behaviour, Fleet, Layout, Run, Trouble};

/// Time in which two entry instances hear of each other.
const SETTLE: Duration = Duration::from_millis(50);
/// Silence after which a peer is gone, and the next heartbeats.
const GONE: Duration = Duration::from_secs(5);
const SLOTS: usize = 4;
const TARGETS: usize = 3;

fn layout() -> Layout {
    Layout {
        domains: 1,
        entries: 2,
        targets: TARGETS as u16,
        slots: SLOTS as u32,
        ..Layout::default()
    }
}

fn submission(tasks: usize, run_ms: u64, deadline_ms: u64) -> Submission {
    let spec = TaskSpec {
        caller: "crew-1".to_owned(),
        kind: "quote".to_owned(),
        payload: format!("{{\"run_ms\": {run_ms}}}"),
        run_time_ms: Some(run_ms),
        size: 1,
        idempotent: true,
    };
    Submission {
        team: "default".to_owned(),
        deadline_ms,
        tasks: vec![spec; tasks],
    }
}

/// Submits one job at a member, which runs it itself, and waits for its answer.
async fn submit(fleet: &Fleet, member: usize, job: Submission) -> Outcome {
    let entry = fleet.members[member].entry();
    let answer = entry.submit(Id::Ticket(entry.ticket()), job).await;
    answer.map_or(Outcome::NotRun, |it: std::rc::Rc<Answer>| it.outcome)
}

/// Most tasks that ran at once between two moments.
fn most_at_once(runs: &[Run], from: Instant, to: Instant) -> usize {
    let ran = |it: &&Run, at: Instant| it.began <= at && it.ended.is_none_or(|end| end > at);
    let begins = runs.iter().map(|it| it.began);
    let begins = begins.filter(|it| (from..=to).contains(it));
    begins
        .map(|at| runs.iter().filter(|it| ran(it, at)).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn two_entries_use_all_slots_and_are_never_refused() {
    runtime::paused(async {
        let fleet = Fleet::start(layout());
        clock::sleep(SETTLE).await;
        let from = clock::now();
        let jobs = [40, 25].map(|tasks| submission(tasks, 200, 60_000));
        let [large, small] = jobs;
        let (a, b) =
            futures_util::future::join(submit(&fleet, 0, large), submit(&fleet, 1, small)).await;
        assert_eq!((a, b), (Outcome::Complete, Outcome::Complete));
        let runs = fleet.targets.runs();
        // Two messages for each start, so that none was refused.
        assert_eq!((runs.len(), fleet.targets.messages()), (65, 130));
        let most = most_at_once(&runs, from, clock::now());
        assert_eq!(most, TARGETS * SLOTS);
    });
}

#[test]
fn slots_of_a_crashed_entry_are_taken_over_and_given_back() {
    runtime::paused(async {
        let fleet = Fleet::start(layout());
        clock::sleep(SETTLE).await;
        fleet.kill(1);
        let from = clock::now();
        assert_eq!(
            submit(&fleet, 0, submission(190, 500, 60_000)).await,
            Outcome::Complete
        );
        let runs = fleet.targets.runs();
        let half = most_at_once(&runs, from, from + Duration::from_secs(2));
        assert_eq!(half, TARGETS * SLOTS / 2, "not before the timeout");
        let all = most_at_once(&runs, from + GONE, clock::now());
        assert_eq!(all, TARGETS * SLOTS, "all after it");
        fleet.restart(1);
        clock::sleep(GONE).await;
        let job = submission(20, 200, 60_000);
        assert_eq!(submit(&fleet, 1, job).await, Outcome::Complete);
        let runs = fleet.targets.runs();
        assert_eq!((runs.len() as u64) * 2, fleet.targets.messages());
    });
}

#[test]
fn a_paused_entry_starts_nothing_on_slots_that_others_took_over() {
    runtime::paused(async {
        let fleet = Fleet::start(layout());
        clock::sleep(SETTLE).await;
        fleet.members[1].scope().freeze();
        clock::sleep(GONE).await;
        let entry = fleet.members[1].entry();
        fleet.members[1].scope().thaw();
        let id = Id::Ticket(entry.ticket());
        let late = spawn(async move { entry.submit(id, submission(20, 200, 60_000)).await });
        let busy = submit(&fleet, 0, submission(60, 200, 60_000)).await;
        assert_eq!(busy, Outcome::Complete);
        assert!(late.await.is_some_and(|it| it.is_ok()));
        let runs = fleet.targets.runs().len() as u64;
        assert_eq!(runs * 2, fleet.targets.messages(), "no start was refused");
    });
}

struct Leaving {
    name: &'static str,
    /// Lag of the list.
    lag: Duration,
    /// A call for the list just before is lost.
    lost: bool,
    /// The target refuses what it gets.
    refuses: bool,
    /// Starts at the target that may come after the grace.
    refused: u64,
}

const LEAVINGS: &[Leaving] = &[
    Leaving {
        name: "the list shows it",
        lag: Duration::ZERO,
        lost: false,
        refuses: false,
        refused: 0,
    },
    Leaving {
        name: "the list shows it, after an answer was lost",
        lag: Duration::ZERO,
        lost: true,
        refuses: false,
        refused: 0,
    },
    Leaving {
        name: "the list lags, the target refuses",
        lag: Duration::from_secs(30),
        lost: false,
        refuses: true,
        // What each entry instance had sent before its first refusal came back.
        refused: SLOTS as u64,
    },
];

#[test]
fn a_leaving_target_gets_nothing_after_three_seconds() {
    for case in LEAVINGS {
        runtime::paused(async {
            let fleet = Fleet::start(layout());
            clock::sleep(SETTLE).await;
            fleet.instances.set_lag(case.lag);
            if case.lost {
                let read = &fleet.instances.faults().read;
                let usual = read.replace(Duration::from_secs(3_600));
                clock::sleep(Duration::from_millis(1_100)).await;
                read.set(usual);
            }
            fleet.instances.leave("target-0-1");
            if case.refuses {
                let behaviour = Behaviour {
                    trouble: Some(Trouble::Leaving),
                    ..Behaviour::default()
                };
                fleet.targets.set("target-0-1", behaviour);
            }
            let from = clock::now() + Duration::from_secs(3);
            for _ in 0..20 {
                for member in 0..2 {
                    let outcome = submit(&fleet, member, submission(6, 150, 20_000)).await;
                    assert_eq!(outcome, Outcome::Complete, "{}", case.name);
                }
            }
            let runs = fleet.targets.runs();
            let late = |it: &&Run| it.target == "target-0-1" && it.began > from;
            assert_eq!(runs.iter().filter(late).count(), 0, "{}", case.name);
            let refused = fleet.targets.messages() / 2 - runs.len() as u64;
            assert!(refused <= case.refused, "{}: {refused}", case.name);
        });
    }
}

#[test]
fn one_entrys_finding_spares_the_other_its_own() {
    runtime::paused(async {
        let fleet = Fleet::start(layout());
        clock::sleep(SETTLE).await;
        let failing = Behaviour {
            trouble: Some(Trouble::Failing),
            ..Behaviour::default()
        };
        fleet.targets.set("target-0-1", failing);
        let failed = |fleet: &Fleet| {
            let runs = fleet.targets.runs();
            runs.iter().filter(|it| it.target == "target-0-1").count()
        };
        for _ in 0..5 {
            submit(&fleet, 0, submission(4, 100, 20_000)).await;
        }
        clock::sleep(Duration::from_millis(600)).await;
        let before = failed(&fleet);
        assert!((1..=3).contains(&before), "{before}");
        let outcome = submit(&fleet, 1, submission(5, 100, 20_000)).await;
        assert_eq!(outcome, Outcome::Complete);
        assert_eq!(failed(&fleet), before);
    });
}
