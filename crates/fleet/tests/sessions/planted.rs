//! Planted faults, each of which must be found.

use std::time::Duration;

use bluebellpath_fleet::InjectedFault;
use bluebellpath_runtime::runtime;
use bluebellpath_standin::Mishap;

use crate::{
    random,
    system::{SMALL, System, Work, wait},
};

/// Fault that random sessions find.
struct Case {
    planted: InjectedFault,
    /// Part of what is told of it.
    told: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        planted: InjectedFault::DenyClaims,
        told: "beside run",
    },
    Case {
        planted: InjectedFault::RenewUnresponsive,
        told: "beside run",
    },
    Case {
        planted: InjectedFault::RefuseAfterSend,
        told: "was refused and has run",
    },
];

/// Most sessions that it may take.
const SEEDS: std::ops::Range<u64> = 0..60;

#[test]
fn random_sessions_find_planted_faults() {
    for case in CASES {
        let finds = |seed: &u64| {
            let violations = random::session(*seed, Some(case.planted));
            violations.iter().any(|it| it.contains(case.told))
        };
        let found = SEEDS.clone().find(finds);
        println!("{:?}: found by seed {found:?}", case.planted);
        assert!(found.is_some(), "{:?} was not found", case.planted);
    }
}

/// Starts that are carried out late, yet within their lease.
fn late_starts(planted: Option<InjectedFault>) -> Vec<String> {
    runtime::paused(async move {
        let system = System::start_with(SMALL, planted).await;
        let targets: Vec<_> = system.yard.list().into_keys().collect();
        for id in targets.iter().step_by(2) {
            let late = Mishap::Late(Duration::from_millis(400));
            system.yard.set_mishap(id, late);
        }
        system.submit(0, Work::default());
        wait(9_000).await;
        system.violations()
    })
}

#[test]
fn a_late_start_is_fenced_off() {
    assert_eq!(late_starts(None), Vec::<String>::new());
    let planted = late_starts(Some(InjectedFault::KeepFencingToken));
    assert!(!planted.is_empty(), "the planted fault was not found");
}

/// Lowest versions that were in force at all instances once a newer one had
/// spread, and an older one came to one of them.
fn versions(planted: Option<InjectedFault>) -> Vec<u64> {
    runtime::paused(async move {
        let system = System::start_with(SMALL, planted).await;
        system.instances[0].node.apply_config("7", "store");
        wait(1_000).await;
        let mut lowest = system.versions();
        system.instances[1].node.apply_config("6", "store");
        for _ in 0..1_000 {
            let versions = system.versions().into_iter();
            lowest = lowest
                .into_iter()
                .zip(versions)
                .map(|it| it.0.min(it.1))
                .collect();
            wait(1).await;
        }
        lowest
    })
}

#[test]
fn a_configuration_spreads_and_is_never_taken_back() {
    assert_eq!(versions(None), [7; 4]);
    let planted = versions(Some(InjectedFault::AcceptOlderConfig));
    assert_ne!(planted, [7; 4], "the planted fault was not found");
}
