//! Plays one case.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath::entry::Planted;
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Fleet, Layout};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{Case, History, Outcomes, Plan, Report, check, strike::Strike, submitter::Submitter};

/// Time in which all requests of a plan have been made.
const ASKED: Duration = Duration::from_secs(17);

/// Time after which a request without an answer will never get one.
const END: Duration = Duration::from_secs(45);

/// Time between two looks at what is outstanding.
const LOOK: Duration = Duration::from_millis(500);

/// Longest delay that a message gets on top of its way.
const JITTER: Duration = Duration::from_millis(3);

/// Time that a connection to a target takes, long enough for instances to be
/// paused with a start in hand.
const CONNECT: Duration = Duration::from_millis(15);

/// Retention of answers in sessions that ask for what was forgotten.
const SHORT_RETENTION: Duration = Duration::from_secs(1);

/// Sizes of the fleet.
fn layout() -> Layout {
    Layout {
        domains: 2,
        entries: 2,
        targets: 2,
        slots: 4,
        ..Layout::default()
    }
}

/// Plays `case` on a fleet of two domains and checks what came of it.
pub fn run(case: Case) -> Report {
    run_planted(case, None)
}

/// Plays `case` with a fault planted in every entry instance.
pub fn run_planted(case: Case, planted: Option<Planted>) -> Report {
    runtime::paused(play(case, planted))
}

async fn play(case: Case, planted: Option<Planted>) -> Report {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let fleet = Fleet::start_with(layout(), move |config| {
        config.planted = planted;
        if case.forgets() {
            config.retention = SHORT_RETENTION;
        }
    });
    let fleet = Rc::new(fleet);
    fleet.targets.set_connect(CONNECT);
    fleet.network.set_jitter(JITTER, rng.random());
    let history = Rc::new(History::default());
    let began = clock::now();
    let plan = Plan::new(&case, fleet.members.len(), &mut rng);
    for job in plan.jobs {
        Rc::new(Submitter::new(fleet.clone(), history.clone(), began, job)).start();
    }
    let struck: Vec<_> = case
        .faults()
        .map(|it| (it, Rc::new(Cell::new(0))))
        .collect();
    for (fault, struck) in &struck {
        let strike = Strike::new(fleet.clone(), history.clone(), rng.random(), struck.clone());
        drop(spawn(strike.run(*fault)));
    }
    clock::sleep(ASKED).await;
    while history.outstanding() > 0 && clock::now() < began + END {
        clock::sleep(LOOK).await;
    }
    // What still runs after the last answer counts as well.
    clock::sleep(ASKED).await;
    let (seen, runs) = (history.all(), fleet.targets.runs());
    let mut violations = check::all(&case, &seen, &runs);
    violations.extend(check::recorded(&fleet, &seen).await);
    Report {
        case,
        violations,
        struck: struck.into_iter().map(|(it, n)| (it, n.get())).collect(),
        outcomes: Outcomes::of(&seen),
        requests: seen.len(),
        starts: runs.len(),
    }
}
