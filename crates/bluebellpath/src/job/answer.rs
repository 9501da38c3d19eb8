//! What a caller gets back.

use serde::{Deserialize, Serialize};

use super::{Id, Outcome, RefusalReason};

/// Whole answer to a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Job that is answered.
    pub id: Id,
    /// What became of the job.
    pub outcome: Outcome,
    /// Why, for all but complete jobs.
    pub detail: Option<String>,
    /// Why it was refused at the door, where it was.
    #[serde(default)]
    pub reason: Option<RefusalReason>,
    /// Time after which asking again may help, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// What became of each task, in the order of the submission.
    pub parts: Vec<TaskAnswer>,
    /// Preset in force when the job was admitted.
    pub preset: String,
    /// Configuration version in force when the job was admitted.
    pub config_version: u64,
}

/// What became of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Whom the result is for.
    pub caller: String,
    /// What became of the task.
    pub outcome: Outcome,
    /// Target that the task was handed to.
    pub target: Option<String>,
    /// Result; present only in complete answers.
    pub result: Option<String>,
    /// Time from hand-over to reply, in microseconds.
    pub elapsed_us: Option<u64>,
}
