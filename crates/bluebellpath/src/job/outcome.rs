//! Outcomes of jobs and tasks.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Outcome of a job or of one of its tasks.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to completion, and the result is known.
    #[display("complete")]
    Complete,
    /// Ran and failed, or ran only partly.
    #[display("failed")]
    Failed,
    /// Did not start and never will.
    #[display("not_run")]
    NotRun,
    /// May or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns the name in answers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Returns the outcome of a job from the outcomes of its tasks.
    pub fn of_job(tasks: impl IntoIterator<Item = Outcome>) -> Outcome {
        tasks
            .into_iter()
            .reduce(Outcome::combine)
            .unwrap_or(Outcome::NotRun)
    }

    fn combine(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (a, b) if a == b => a,
            _ => Outcome::Failed,
        }
    }
}
