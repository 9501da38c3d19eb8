//! Plays one case.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Fleet, Layout};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{Case, History, Plan, Report, check, strike::Strike, submitter::Submitter};

/// Time in which all requests of a plan have been made.
const ASKED: Duration = Duration::from_secs(17);

/// Time after which a request without an answer will never get one.
const END: Duration = Duration::from_secs(45);

/// Time between two looks at what is outstanding.
const LOOK: Duration = Duration::from_millis(500);

/// Longest delay that a message gets on top of its way.
const JITTER: Duration = Duration::from_millis(3);

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
    runtime::paused(play(case))
}

async fn play(case: Case) -> Report {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let fleet = Rc::new(Fleet::start(layout()));
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
    Report {
        case,
        violations: check::all(&case, &seen, &runs),
        struck: struck.into_iter().map(|(it, n)| (it, n.get())).collect(),
        requests: seen.len(),
        starts: runs.len(),
    }
}
