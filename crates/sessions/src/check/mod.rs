/*!
Checkers: each compares what submitters saw with what targets truly ran.
*/

mod answered;
mod complete;
mod late;
mod not_run;
mod once;
mod order;
mod recorded;
mod same;

pub use recorded::check as recorded;

use bluebellpath::job::Id;
use bluebellpath_standin::Run;
use derive_more::Display;

use crate::{Case, Seen};

/// Promise that a checker tests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Checker {
    /// No task starts twice (P1, P5).
    #[display("once")]
    Once,
    /// An answer is complete or marked failed (P2), with the right callers (P3).
    #[display("complete")]
    Complete,
    /// Answers to one caller come in order (P3).
    #[display("order")]
    Order,
    /// What is said not to have run did not run (P4).
    #[display("not run")]
    NotRun,
    /// All submitters of one job get the same answer.
    #[display("same")]
    Same,
    /// Nothing starts after its deadline.
    #[display("late")]
    Late,
    /// Each request gets an answer.
    #[display("answered")]
    Answered,
    /// Each answer is in the record (P9).
    #[display("recorded")]
    Recorded,
}

/// Promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{checker}: {detail}")]
pub struct Violation {
    /// Which checker found it.
    pub checker: Checker,
    /// What it found.
    pub detail: String,
}

impl Violation {
    fn new(checker: Checker, detail: String) -> Violation {
        Violation { checker, detail }
    }
}

/// Violations in a whole session.
pub fn all(case: &Case, seen: &[Seen], runs: &[Run]) -> Vec<Violation> {
    [
        once::check(runs),
        complete::check(seen, runs),
        order::check(seen),
        not_run::check(seen, runs),
        same::check(case, seen),
        late::check(case, seen, runs),
        answered::check(seen),
    ]
    .concat()
}

/// Ids of a session, each once.
fn ids(seen: &[Seen]) -> Vec<&Id> {
    let mut ids: Vec<&Id> = seen.iter().map(|it| &it.id).collect();
    ids.sort();
    ids.dedup();
    ids
}
