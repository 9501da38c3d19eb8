/*!
Simulated sessions of the configuration on a paused clock. Operators make
conflicting changes while the table, the network, clocks and instances fail.

`CONFIG_SEEDS=A..B` runs these seeds instead of the default 2,000.
*/

mod check;
mod plan;
mod session;

use std::{ops::Range, thread};

use self::{
    check::{Finding, Rule},
    session::{InjectedFault, Session},
};

/// Default seeds.
const SEEDS: Range<u64> = 0..2000;

/// Seeds that broke a rule in the past. They cover two versions in short
/// succession, of which the second switches the preset, and a reader that is cut
/// off while the table is slow.
const REGRESSION_SEEDS: [u64; 6] = [7801, 11544, 15948, 16972, 18293, 22164];

/// Number of sessions from which a run must cover accepted changes, lost races and
/// checked activations.
const MIN_SWEEP_SESSIONS: usize = 100;

/// Threads that run sessions.
const THREADS: u64 = 4;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("CONFIG_SEEDS") else {
        return SEEDS;
    };
    let parsed = text
        .split_once("..")
        .map(|(from, to)| (from.parse(), to.parse()));
    match parsed {
        Some((Ok(from), Ok(to))) => from..to,
        _ => panic!("CONFIG_SEEDS: found {text:?}, allowed A..B"),
    }
}

#[test]
fn regression_seeds_pass() {
    for seed in REGRESSION_SEEDS {
        assert_eq!(Session::run(seed, None).findings, [], "seed {seed}");
    }
}

fn run_all(seeds: Range<u64>, injected: Option<InjectedFault>) -> Vec<(u64, session::Report)> {
    let part = |thread: u64| {
        let seeds = seeds.clone().filter(move |it| it % THREADS == thread);
        thread::spawn(move || {
            let run = |seed| (seed, Session::run(seed, injected));
            seeds.map(run).collect::<Vec<_>>()
        })
    };
    let threads: Vec<_> = (0..THREADS).map(part).collect();
    let reports = threads
        .into_iter()
        .flat_map(|it| it.join().expect("no session panics"));
    reports.collect()
}

#[test]
fn no_session_breaks_a_rule() {
    let reports = run_all(seeds(), None);
    let broken: Vec<(u64, &Finding)> = reports
        .iter()
        .flat_map(|(seed, it)| it.findings.iter().map(move |it| (*seed, it)))
        .collect();
    let total = |of: fn(&session::Report) -> u64| reports.iter().map(|it| of(&it.1)).sum::<u64>();
    let slowest = reports.iter().map(|it| it.1.slowest_ms).max();
    println!(
        "{} sessions: {} accepted, {} lost races, {} unknown, {} restarts, {} samples \
         ({} unconfirmed), {} of {} activations checked, slowest {} ms",
        reports.len(),
        total(|it| it.accepted),
        total(|it| it.lost),
        total(|it| it.unknown),
        total(|it| it.restarts),
        total(|it| it.samples),
        total(|it| it.unconfirmed),
        total(|it| it.checked),
        total(|it| it.activations),
        slowest.unwrap_or_default(),
    );
    assert!(
        broken.is_empty(),
        "{} findings, first: {:?}",
        broken.len(),
        &broken[..broken.len().min(5)]
    );
    // A run without these cases would prove nothing. Runs of a few seeds, to
    // reproduce a failure, are exempt.
    let coverage = [
        total(|it| it.accepted),
        total(|it| it.lost),
        total(|it| it.checked),
    ];
    assert!(reports.len() < MIN_SWEEP_SESSIONS || coverage.iter().all(|it| *it > 0));
}

struct CheckerCase {
    injected: InjectedFault,
    rule: Rule,
}

/// Injected faults and the rules whose checks must detect them.
const CHECKER_CASES: &[CheckerCase] = &[
    CheckerCase {
        injected: InjectedFault::RollBack,
        rule: Rule::VersionNeverDecreases,
    },
    CheckerCase {
        injected: InjectedFault::RollBack,
        rule: Rule::AcceptedIsKept,
    },
    CheckerCase {
        injected: InjectedFault::ExcessiveSkew,
        rule: Rule::SinglePresetInForce,
    },
    CheckerCase {
        injected: InjectedFault::LongDelay,
        rule: Rule::InForceWithinBound,
    },
    CheckerCase {
        injected: InjectedFault::FalseRefusals,
        rule: Rule::RefusedHasNoEffect,
    },
    CheckerCase {
        injected: InjectedFault::NoReaders,
        rule: Rule::AllConverge,
    },
];

/// Seeds among which each injected fault must be detected.
const CHECKER_SEEDS: Range<u64> = 0..40;

#[test]
fn each_check_detects_its_injected_fault() {
    for case in CHECKER_CASES {
        let reports = run_all(CHECKER_SEEDS, Some(case.injected));
        let found = reports
            .iter()
            .any(|(_, it)| it.findings.iter().any(|it| it.rule == case.rule));
        assert!(
            found,
            "{:?} is not detected as {:?}",
            case.injected, case.rule
        );
    }
}

#[test]
fn sessions_are_deterministic() {
    for seed in 0..5 {
        assert_eq!(
            Session::run(seed, None),
            Session::run(seed, None),
            "seed {seed}"
        );
    }
}
