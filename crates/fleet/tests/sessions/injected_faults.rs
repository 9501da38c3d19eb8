//! Injected faults, each of which the checks must detect.

use std::time::Duration;

use bluebellpath_fleet::InjectedFault;
use bluebellpath_runtime::runtime;
use bluebellpath_standin::Mishap;

use crate::{
    random,
    system::{JobSpec, SMALL, System, sleep_ms},
};

/// Fault that random sessions must detect.
struct Case {
    injected_fault: InjectedFault,
    /// Part of the violation that reveals it.
    violation: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        injected_fault: InjectedFault::DenyClaims,
        violation: "beside run",
    },
    Case {
        injected_fault: InjectedFault::RenewUnresponsive,
        violation: "beside run",
    },
    Case {
        injected_fault: InjectedFault::RefuseAfterSend,
        violation: "was refused and has run",
    },
];

/// Seeds among which each fault must be detected.
const SEEDS: std::ops::Range<u64> = 0..60;

#[test]
fn random_sessions_detect_injected_faults() {
    for case in CASES {
        let detects = |seed: &u64| {
            let violations = random::run_session(*seed, Some(case.injected_fault));
            violations.iter().any(|it| it.contains(case.violation))
        };
        let found = SEEDS.clone().find(detects);
        println!("{:?}: detected by seed {found:?}", case.injected_fault);
        assert!(
            found.is_some(),
            "{:?} was not detected",
            case.injected_fault
        );
    }
}

/// Violations in a session whose starts are executed late but within their lease.
fn run_late_starts(injected_fault: Option<InjectedFault>) -> Vec<String> {
    runtime::paused(async move {
        let system = System::start_with(SMALL, injected_fault).await;
        let targets: Vec<_> = system.targets.list().into_keys().collect();
        for id in targets.iter().step_by(2) {
            let late = Mishap::Late(Duration::from_millis(400));
            system.targets.set_mishap(id, late);
        }
        system.submit(0, JobSpec::default());
        sleep_ms(9_000).await;
        system.violations()
    })
}

#[test]
fn a_late_start_is_fenced_off() {
    assert_eq!(run_late_starts(None), Vec::<String>::new());
    let detected = run_late_starts(Some(InjectedFault::KeepFencingToken));
    assert!(!detected.is_empty(), "the injected fault was not detected");
}

/// Lowest version in force at each instance after a newer configuration has been
/// distributed and one instance has then received an older one.
fn lowest_versions(injected_fault: Option<InjectedFault>) -> Vec<u64> {
    runtime::paused(async move {
        let system = System::start_with(SMALL, injected_fault).await;
        system.instances[0].node.apply_config("7", "store");
        sleep_ms(1_000).await;
        let mut lowest = system.config_versions();
        system.instances[1].node.apply_config("6", "store");
        for _ in 0..1_000 {
            let versions = system.config_versions().into_iter();
            lowest = lowest
                .into_iter()
                .zip(versions)
                .map(|it| it.0.min(it.1))
                .collect();
            sleep_ms(1).await;
        }
        lowest
    })
}

#[test]
fn a_configuration_is_distributed_and_never_rolled_back() {
    assert_eq!(lowest_versions(None), [7; 4]);
    let detected = lowest_versions(Some(InjectedFault::AcceptOlderConfig));
    assert_ne!(detected, [7; 4], "the injected fault was not detected");
}
