//! Which set of evacuated domains an instance keeps, and which targets it uses.

use std::time::Duration;

use bluebellpath_fleet::{
    InjectedFault,
    evacuation::{
        EvacuationRow, EvacuationState, Evacuations, MissingChanges, RowPage, domain_id,
        used_permille,
    },
};
use bluebellpath_runtime::Instant;
use quickcheck::quickcheck;

fn at(ms: u64) -> Instant {
    Instant::from_nanos(ms * 1_000_000)
}

fn row(domain: &str, requested: bool) -> EvacuationRow {
    EvacuationRow {
        domain: domain_id(domain),
        requested,
    }
}

fn page(after: Option<u64>, version: u64, rows: &[(&str, bool)]) -> RowPage {
    RowPage {
        after,
        version,
        rows: rows.iter().map(|it| row(it.0, it.1)).collect(),
    }
}

fn announced(version: u64, domains: &[&str]) -> Evacuations {
    Evacuations {
        version,
        domains: domains.iter().map(|it| domain_id(it)).collect(),
    }
}

/// Rows that arrive at an instance that knows `a` and `b` at version 10.
struct Case {
    name: &'static str,
    after: Option<u64>,
    version: u64,
    rows: &'static [(&'static str, bool)],
    /// Known version and evacuated domains afterwards; `None` if changes are missing.
    known: Option<(u64, &'static [&'static str])>,
}

const CASES: [Case; 10] = [
    Case {
        name: "a full read replaces the set",
        after: None,
        version: 11,
        rows: &[("b", true), ("c", true)],
        known: Some((11, &["b", "c"])),
    },
    Case {
        name: "a full read of a stale view changes nothing",
        after: None,
        version: 9,
        rows: &[],
        known: Some((10, &["a", "b"])),
    },
    Case {
        name: "a read at the known version changes nothing",
        after: None,
        version: 10,
        rows: &[],
        known: Some((10, &["a", "b"])),
    },
    Case {
        name: "a full read may contain removed rows",
        after: None,
        version: 11,
        rows: &[("a", true), ("b", false)],
        known: Some((11, &["a"])),
    },
    Case {
        name: "changes since the known version are applied",
        after: Some(10),
        version: 12,
        rows: &[("a", false), ("c", true)],
        known: Some((12, &["b", "c"])),
    },
    Case {
        name: "changes since an earlier version are applied",
        after: Some(7),
        version: 12,
        rows: &[("a", true), ("b", false)],
        known: Some((12, &["a"])),
    },
    Case {
        name: "changes up to an earlier version change nothing",
        after: Some(7),
        version: 9,
        rows: &[("a", false)],
        known: Some((10, &["a", "b"])),
    },
    Case {
        name: "the last of repeated rows counts",
        after: Some(10),
        version: 12,
        rows: &[("a", false), ("a", true), ("b", true), ("b", false)],
        known: Some((12, &["a"])),
    },
    Case {
        name: "no rows confirm the set at a higher version",
        after: Some(10),
        version: 14,
        rows: &[],
        known: Some((14, &["a", "b"])),
    },
    Case {
        name: "changes are missing",
        after: Some(11),
        version: 12,
        rows: &[("c", true)],
        known: None,
    },
];

fn state_with_two_domains() -> EvacuationState {
    let mut state = EvacuationState::default();
    let first = page(None, 10, &[("a", true), ("b", true)]);
    state.apply(&first, at(0)).expect("a full read");
    state
}

/// Guards against a reader of a stale view that undoes an evacuation, and against a
/// set that lacks some changes.
#[test]
fn a_set_is_replaced_only_by_a_newer_and_complete_one() {
    for case in &CASES {
        let mut state = state_with_two_domains();
        let read = page(case.after, case.version, case.rows);
        let applied = state.apply(&read, at(1)).map(drop);
        let (expected, known) = match case.known {
            Some((version, domains)) => (Ok(()), announced(version, domains)),
            None => (Err(MissingChanges), announced(10, &["a", "b"])),
        };
        assert_eq!(applied, expected, "{}", case.name);
        assert_eq!(state.announcement(), known, "{}", case.name);
    }
}

#[test]
fn changes_are_no_first_set() {
    let mut state = EvacuationState::default();
    let changes = page(Some(0), 10, &[("a", true)]);
    assert_eq!(state.apply(&changes, at(0)).err(), Some(MissingChanges));
    assert!(!state.allows("c", 1, at(0)), "no set is known");
    assert!(state.merge(&announced(0, &[]), at(0)).is_empty());
    assert!(!state.allows("c", 1, at(0)), "version 0 tells nothing");
    assert!(state.merge(&announced(7, &[]), at(0)).first);
    assert!(state.allows("c", 1, at(0)));
}

#[test]
fn a_set_that_is_too_large_is_not_announced() {
    let mut state = EvacuationState::default();
    for (count, version) in [(8, 8), (9, 0), (1_000, 0)] {
        let names: Vec<String> = (0..count).map(|it| format!("domain-{it}")).collect();
        let rows: Vec<_> = names.iter().map(|it| (it.as_str(), true)).collect();
        let read = page(None, count, &rows);
        state.apply(&read, at(0)).expect("a full read");
        assert_eq!(state.announcement().version, version, "{count}");
        assert!(!state.allows("domain-0", 1, at(0)), "{count}");
        assert!(state.allows("another", 1, at(0)), "{count}");
    }
}

/// Share of the targets used at a time after the cancellation.
struct Step {
    after_ms: u64,
    permille: u32,
}

const RETURN: [Step; 8] = [
    Step {
        after_ms: 0,
        permille: 250,
    },
    Step {
        after_ms: 999,
        permille: 250,
    },
    Step {
        after_ms: 1_000,
        permille: 500,
    },
    Step {
        after_ms: 1_999,
        permille: 500,
    },
    Step {
        after_ms: 2_000,
        permille: 750,
    },
    Step {
        after_ms: 2_999,
        permille: 750,
    },
    Step {
        after_ms: 3_000,
        permille: 1_000,
    },
    Step {
        after_ms: u64::MAX,
        permille: 1_000,
    },
];

#[test]
fn targets_return_in_steps() {
    for step in &RETURN {
        let after = Duration::from_millis(step.after_ms);
        assert_eq!(used_permille(after), step.permille, "{after:?}");
    }
    let mut state = state_with_two_domains();
    let cancelled = page(Some(10), 11, &[("a", false)]);
    let difference = state.apply(&cancelled, at(5_000)).expect("complete");
    assert_eq!(difference.cancelled, [domain_id("a")]);
    let used = |state: &EvacuationState, domain: &str, at_ms: u64| {
        let targets = (0..10_000).filter(|it| state.allows(domain, it * 7_919, at(at_ms)));
        targets.count()
    };
    assert_eq!(used(&state, "a", 5_000), 2_500);
    assert_eq!(used(&state, "a", 7_500), 7_500);
    assert_eq!(used(&state, "b", 7_500), 0);
    assert_eq!(used(&state, "c", 5_000), 10_000);
    // A new evacuation ends the return at once.
    state.merge(&announced(12, &["a"]), at(7_600));
    assert_eq!(used(&state, "a", 7_600), 0);
    assert_eq!(used(&state, "b", 7_600), 2_500);
    state.merge(&announced(13, &[]), at(7_700));
    assert_eq!(used(&state, "a", 7_700), 2_500);
    assert_eq!(state.end_returns(at(10_600)), [domain_id("b")]);
    assert_eq!(state.end_returns(at(10_700)), [domain_id("a")]);
    assert_eq!(used(&state, "a", 10_700), 10_000);
}

#[test]
fn injected_faults_change_the_rules() {
    let mut state = EvacuationState::new(Some(InjectedFault::AcceptOlderEvacuations));
    state.merge(&announced(10, &["a"]), at(0));
    state.merge(&announced(9, &[]), at(0));
    assert!(state.is_empty());
    let mut state = EvacuationState::new(Some(InjectedFault::IgnoreEvacuations));
    state.merge(&announced(10, &["a"]), at(0));
    assert!(state.allows("a", 1, at(0)));
}

quickcheck! {
    /// Guards against instances that disagree for good, whatever the order in which
    /// sets reach them.
    fn the_set_of_the_highest_version_is_kept(versions: Vec<u8>) -> bool {
        let set_at = |version: u8| Evacuations {
            version: version.into(),
            domains: [u32::from(version)].into(),
        };
        let mut state = EvacuationState::default();
        for version in &versions {
            state.merge(&set_at(*version), at(1));
        }
        let newest = versions.iter().copied().filter(|it| *it > 0).max();
        state.announcement() == newest.map(set_at).unwrap_or_default()
    }
}
