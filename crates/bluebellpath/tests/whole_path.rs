//! Sessions of one entry instance on the paused clock.

use std::{rc::Rc, time::Duration};

use bluebellpath::job::{Answer, Id, Outcome, Submission, TaskSpec};
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Behaviour, Fleet, Layout, Trouble};

/// Time in which entry instances read the instance list.
const SETTLE: Duration = Duration::from_millis(10);

fn submission(run_ms: &[u64]) -> Submission {
    let task = |run_ms: &u64| TaskSpec {
        caller: format!("crew-{run_ms}"),
        kind: "quote".to_owned(),
        payload: format!("{{\"run_ms\": {run_ms}}}"),
        run_time_ms: None,
        size: 1,
        idempotent: false,
    };
    Submission {
        team: "default".to_owned(),
        deadline_ms: 2_000,
        tasks: run_ms.iter().map(task).collect(),
    }
}

fn one_entry() -> Layout {
    Layout {
        domains: 1,
        entries: 1,
        targets: 2,
        slots: 2,
        ..Layout::default()
    }
}

fn key(text: &str) -> Id {
    text.parse().expect("test keys are valid")
}

struct Case {
    name: &'static str,
    run_ms: &'static [u64],
    trouble: Option<Trouble>,
    outcome: Outcome,
    runs: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "ordinary",
        run_ms: &[100, 200, 50],
        trouble: None,
        outcome: Outcome::Complete,
        runs: 3,
    },
    Case {
        name: "more tasks than slots",
        run_ms: &[100; 10],
        trouble: None,
        outcome: Outcome::Complete,
        runs: 10,
    },
    Case {
        name: "targets fail",
        run_ms: &[100, 100],
        trouble: Some(Trouble::Failing),
        outcome: Outcome::Failed,
        runs: 2,
    },
    Case {
        name: "targets never reply",
        run_ms: &[100],
        trouble: Some(Trouble::Silent),
        outcome: Outcome::Unknown,
        runs: 1,
    },
    Case {
        name: "targets refuse connections",
        run_ms: &[100],
        trouble: Some(Trouble::Dead),
        outcome: Outcome::NotRun,
        runs: 0,
    },
];

fn session(case: &'static Case) -> (Rc<Answer>, usize) {
    runtime::paused(async move {
        let fleet = Fleet::start(one_entry());
        clock::sleep(SETTLE).await;
        for target in ["target-0-0", "target-0-1"] {
            let behaviour = Behaviour {
                trouble: case.trouble,
                ..Behaviour::default()
            };
            fleet.targets.set(target, behaviour);
        }
        let entry = fleet.members[0].entry();
        let answer = entry.submit(key("order-1"), submission(case.run_ms)).await;
        (
            answer.expect("the submission is valid"),
            fleet.targets.runs().len(),
        )
    })
}

#[test]
fn answers_are_true() {
    for case in CASES {
        let (answer, runs) = session(case);
        assert_eq!(answer.outcome, case.outcome, "{}: {answer:?}", case.name);
        assert_eq!(runs, case.runs, "{}", case.name);
        let results = answer.parts.iter().filter(|it| it.result.is_some()).count();
        let whole = if case.outcome == Outcome::Complete {
            case.run_ms.len()
        } else {
            0
        };
        assert_eq!(results, whole, "{}", case.name);
    }
}

#[test]
fn a_resubmission_joins_the_first_job() {
    let (same, runs) = runtime::paused(async {
        let fleet = Fleet::start(one_entry());
        clock::sleep(SETTLE).await;
        let entry = fleet.members[0].entry();
        let submit = |entry: bluebellpath::entry::Entry| async move {
            entry.submit(key("order-1"), submission(&[100])).await
        };
        let first = spawn(submit(entry.clone()));
        let second = spawn(submit(entry.clone()));
        let (first, second) = (first.await, second.await);
        (
            first == second && first.is_some(),
            fleet.targets.runs().len(),
        )
    });
    assert!(same);
    assert_eq!(runs, 1);
}

#[test]
fn the_same_session_has_the_same_answers_each_time() {
    for case in CASES {
        assert_eq!(session(case), session(case), "{}", case.name);
    }
}
