//! Each checker finds the fault that it is there for.

use bluebellpath::entry::Planted;
use bluebellpath_sessions::{Case, Fault, check::Checker, session};

struct Plant {
    planted: Planted,
    checker: Checker,
    /// Fault of the sessions; by seed from the table without one.
    fault: Option<Fault>,
    /// Seeds among which at least one shows the fault.
    seeds: std::ops::Range<u64>,
}

const PLANTS: &[Plant] = &[
    Plant {
        planted: Planted::SkipFence,
        checker: Checker::Late,
        fault: Some(Fault::Pause),
        seeds: 0..4_000,
    },
    Plant {
        planted: Planted::ForgetClaim,
        checker: Checker::Once,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: Planted::ForgetClaim,
        checker: Checker::Same,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: Planted::ForgetPromise,
        checker: Checker::Once,
        fault: Some(Fault::StoreDown),
        seeds: 0..2_000,
    },
    Plant {
        planted: Planted::ForgetTicket,
        checker: Checker::Once,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: Planted::NotRunAfterSend,
        checker: Checker::NotRun,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: Planted::ReleaseOrder,
        checker: Checker::Order,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: Planted::MixCallers,
        checker: Checker::Complete,
        fault: None,
        seeds: 0..10,
    },
    Plant {
        planted: Planted::Partial,
        checker: Checker::Complete,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: Planted::DropAnswer,
        checker: Checker::Answered,
        fault: None,
        seeds: 0..300,
    },
];

#[test]
fn each_checker_finds_its_planted_fault() {
    for plant in PLANTS {
        let found = plant.seeds.clone().find(|seed| {
            let case = plant.fault.map_or(Case::of(*seed), |fault| Case {
                first: Some(fault),
                second: None,
                seed: *seed,
            });
            let report = session::run_planted(case, Some(plant.planted));
            report
                .violations
                .iter()
                .any(|it| it.checker == plant.checker)
        });
        println!("{:?}: {} at seed {found:?}", plant.planted, plant.checker);
        assert!(found.is_some(), "{:?} was not found", plant.planted);
    }
}
