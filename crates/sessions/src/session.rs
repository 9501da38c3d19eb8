//! Plays one case.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath::entry::InjectedFault;
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

/// Retention of answers in sessions that ask for what was forgotten.
const SHORT_RETENTION: Duration = Duration::from_secs(1);

/// Sizes of the fleet: two entry instances in a domain, in each fourth round of
/// the table three.
fn layout(case: &Case) -> Layout {
    Layout {
        domains: 2,
        entries: 2 + u16::from((case.seed / Case::TABLE) % 4 == 2),
        targets: 2,
        slots: 4,
        ..Layout::default()
    }
}

/// How a session differs from its case.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Fault planted in every entry instance.
    pub planted: Option<InjectedFault>,
    /// Time that a connection to a target takes.
    pub connect: Duration,
}

impl Default for Setup {
    /// No fault; 15 ms, long enough for instances to be paused with a start in
    /// hand.
    fn default() -> Setup {
        Setup {
            planted: None,
            connect: Duration::from_millis(15),
        }
    }
}

/// Plays `case` on a fleet of two domains and checks what came of it.
pub fn run(case: Case) -> Report {
    run_with(case, Setup::default())
}

/// Plays `case` as `setup` has it.
pub fn run_with(case: Case, setup: Setup) -> Report {
    runtime::paused(play(case, setup))
}

async fn play(case: Case, setup: Setup) -> Report {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let fleet = Fleet::start_with(layout(&case), move |config| {
        config.injected_fault = setup.planted;
        if case.forgets() {
            config.answer_retention = SHORT_RETENTION;
        }
    });
    let fleet = Rc::new(fleet);
    fleet.targets.set_connect(setup.connect);
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
