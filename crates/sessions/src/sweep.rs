//! Plays many seeds on several threads.

use std::{
    collections::BTreeMap,
    ops::Range,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use crate::{Case, Fault, Outcomes, Report, session};

/// What came of many sessions.
#[derive(Debug, Default)]
pub struct Sweep {
    /// Sessions.
    pub sessions: u64,
    /// Requests that submitters made.
    pub requests: usize,
    /// Tasks that targets started.
    pub starts: usize,
    /// Answers to submissions.
    pub outcomes: Outcomes,
    /// How often each fault struck while requests were outstanding.
    pub struck: BTreeMap<Fault, u64>,
    /// Sessions with violations, by seed.
    pub violated: Vec<Report>,
}

impl Sweep {
    /// Plays `seeds` on `threads` threads.
    pub fn run(seeds: Range<u64>, threads: usize) -> Sweep {
        let next = AtomicU64::new(seeds.start);
        let sweep = Mutex::new(Sweep::default());
        let work = || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let report = session::run(Case::of(seed));
                sweep.lock().expect("adding never panics").add(report);
            }
        };
        thread::scope(|scope| (0..threads.max(1)).for_each(|_| drop(scope.spawn(work))));
        let mut sweep = sweep.into_inner().expect("adding never panics");
        sweep.violated.sort_by_key(|it| it.case.seed);
        sweep
    }

    fn add(&mut self, report: Report) {
        self.sessions += 1;
        self.requests += report.requests;
        self.starts += report.starts;
        self.outcomes += report.outcomes;
        for (fault, times) in &report.struck {
            *self.struck.entry(*fault).or_default() += times;
        }
        if !report.violations.is_empty() {
            self.violated.push(report);
        }
    }
}
