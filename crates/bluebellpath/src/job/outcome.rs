//! What became of a job or a task.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What became of a job or of one of its tasks.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to its end and the result is here.
    #[display("complete")]
    Complete,
    /// Ran and failed, or ran only in part.
    #[display("failed")]
    Failed,
    /// Never started and never will.
    #[display("not_run")]
    NotRun,
    /// May or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Name, as answers and metrics have it.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Outcome of a job whose tasks ended as `tasks`.
    pub fn of_job(tasks: impl IntoIterator<Item = Outcome>) -> Outcome {
        tasks
            .into_iter()
            .reduce(Outcome::join)
            .unwrap_or(Outcome::NotRun)
    }

    fn join(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (a, b) if a == b => a,
            _ => Outcome::Failed,
        }
    }
}
