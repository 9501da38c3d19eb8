//! What came of a session.

use std::ops::AddAssign;

use bluebellpath::job::Outcome;

use crate::{Case, Fault, Seen, check::Violation};

/// What came of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Session.
    pub case: Case,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// How often each fault struck while requests were outstanding.
    pub struck: Vec<(Fault, u64)>,
    /// Answers to submissions.
    pub outcomes: Outcomes,
    /// Requests that submitters made.
    pub requests: usize,
    /// Tasks that targets started.
    pub starts: usize,
}

/// Answers to submissions by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Complete.
    pub complete: u64,
    /// Failed.
    pub failed: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
    /// No answer of a job: a refusal, or the instance crashed.
    pub none: u64,
}

impl Outcomes {
    /// Answers to the submissions in `seen`.
    pub fn of(seen: &[Seen]) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for it in seen.iter().filter(|it| it.may_start()) {
            let count = match it.answer().map(|it| it.outcome) {
                Some(Outcome::Complete) => &mut outcomes.complete,
                Some(Outcome::Failed) => &mut outcomes.failed,
                Some(Outcome::NotRun) => &mut outcomes.not_run,
                Some(Outcome::Unknown) => &mut outcomes.unknown,
                None => &mut outcomes.none,
            };
            *count += 1;
        }
        outcomes
    }
}

impl AddAssign for Outcomes {
    fn add_assign(&mut self, other: Outcomes) {
        self.complete += other.complete;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.none += other.none;
    }
}
