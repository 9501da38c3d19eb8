//! Each checker finds the fault that it is there for.

use std::time::Duration;

use bluebellpath::entry::InjectedFault;
use bluebellpath_sessions::{
    Case, Fault,
    check::Checker,
    session::{self, Setup},
};

struct Plant {
    planted: InjectedFault,
    checker: Checker,
    /// Fault of the sessions; by seed from the table without one.
    fault: Option<Fault>,
    /// Seeds among which at least one shows the fault.
    seeds: std::ops::Range<u64>,
}

const PLANTS: &[Plant] = &[
    Plant {
        planted: InjectedFault::SkipFence,
        checker: Checker::Late,
        fault: Some(Fault::Pause),
        seeds: 0..500,
    },
    Plant {
        planted: InjectedFault::SkipClaim,
        checker: Checker::Once,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: InjectedFault::SkipClaim,
        checker: Checker::Same,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: InjectedFault::BreakPromise,
        checker: Checker::Once,
        fault: Some(Fault::StoreDown),
        seeds: 0..1_000,
    },
    Plant {
        planted: InjectedFault::ReuseId,
        checker: Checker::Once,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: InjectedFault::NotRunAfterSend,
        checker: Checker::NotRun,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: InjectedFault::AnswerOutOfOrder,
        checker: Checker::Order,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: InjectedFault::SwapCallers,
        checker: Checker::Complete,
        fault: None,
        seeds: 0..10,
    },
    Plant {
        planted: InjectedFault::PartialAnswer,
        checker: Checker::Complete,
        fault: None,
        seeds: 0..300,
    },
    Plant {
        planted: InjectedFault::DropAnswer,
        checker: Checker::Answered,
        fault: None,
        seeds: 0..300,
    },
];

impl Plant {
    fn setup(&self) -> Setup {
        let mut setup = Setup {
            planted: Some(self.planted),
            ..Setup::default()
        };
        // A pause must strike between the choice of a target and the start.
        if self.planted == InjectedFault::SkipFence {
            setup.connect = Duration::from_millis(150);
        }
        setup
    }
}

#[test]
fn each_checker_finds_its_planted_fault() {
    for plant in PLANTS {
        let found = plant.seeds.clone().find(|seed| {
            let case = plant.fault.map_or(Case::of(*seed), |fault| Case {
                first: Some(fault),
                second: None,
                seed: *seed,
            });
            let report = session::run_with(case, plant.setup());
            report
                .violations
                .iter()
                .any(|it| it.checker == plant.checker)
        });
        println!("{:?}: {} at seed {found:?}", plant.planted, plant.checker);
        assert!(found.is_some(), "{:?} was not found", plant.planted);
    }
}
