//! Allocations of one decision.

use std::{alloc::System, hint::black_box};

use bluebellpath_bench::{deployment::SLOTS, steady::Steady};
use bluebellpath_dispatch::Assignment;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Decisions that are counted.
const DECISIONS: usize = 10_000;
/// Allocations of one decision on average: a node of a tree now and then, and
/// nothing that grows with the targets, the teams or the queue.
const MOST: f64 = 1.0;

struct Case {
    targets: u32,
    teams: u32,
}

const CASES: &[Case] = &[
    Case {
        targets: 12,
        teams: 30,
    },
    Case {
        targets: 500,
        teams: 750,
    },
];

#[test]
fn a_decision_allocates_little() {
    // Behind a pointer, so that the compiler can't move the allocations out of
    // the region, whose counters it takes for independent of them.
    let decide = black_box(Steady::decide as fn(&mut Steady) -> Option<Assignment>);
    for case in CASES {
        let mut steady = Steady::new(case.targets, case.teams);
        let slots = (case.targets * SLOTS) as usize;
        assert!(
            steady.running() > slots / 2,
            "{} of {slots}",
            steady.running()
        );
        let mut allocations = 0;
        let mut made = 0;
        let whole = Region::new(GLOBAL);
        for _ in 0..DECISIONS {
            steady.advance();
            let region = Region::new(GLOBAL);
            let assignment = decide(&mut steady);
            allocations += region.change().allocations;
            made += usize::from(assignment.is_some());
            steady.started(assignment);
        }
        let each = allocations as f64 / made.max(1) as f64;
        println!(
            "{} targets, {} teams: {each:.3} allocations",
            case.targets, case.teams
        );
        // Submissions allocate, so a counter that stands still counts nothing.
        assert!(whole.change().allocations >= DECISIONS);
        assert!(made > DECISIONS / 4, "only {made} decisions");
        assert!(each <= MOST, "{} targets: {each}", case.targets);
    }
}
