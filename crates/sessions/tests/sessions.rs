//! Sessions under each fault and each pair of faults.

use bluebellpath_sessions::{Fault, Sweep};

/// Sessions that are played.
const SESSIONS: u64 = 2_000;

/// Threads that play them.
const THREADS: usize = 4;

#[test]
fn no_promise_is_broken_and_each_fault_strikes() {
    let sweep = Sweep::run(0..SESSIONS, THREADS);
    for report in &sweep.violated {
        println!("{}: {:#?}", report.case, report.violations);
    }
    assert_eq!(sweep.sessions, SESSIONS);
    assert_eq!(sweep.violated.len(), 0);
    for fault in Fault::ALL {
        assert!(
            sweep.struck.get(&fault).is_some_and(|it| *it > 0),
            "{fault}"
        );
    }
}
