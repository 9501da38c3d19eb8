//! Answers to submitted jobs.

use serde::{Deserialize, Serialize};

use super::{Id, Outcome, RefusalReason};

/// Answer to a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the job.
    pub id: Id,
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Explanation of the outcome, for all but complete jobs.
    pub detail: Option<String>,
    /// Reason for which the job was refused on admission, if it was.
    #[serde(default)]
    pub reason: Option<RefusalReason>,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Answer of each task, in the order of the submission.
    pub parts: Vec<TaskAnswer>,
    /// Preset that was in force when the job was admitted.
    pub preset: String,
    /// Configuration version that was in force when the job was admitted.
    pub config_version: u64,
}

/// Answer of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Caller that the result is for.
    pub caller: String,
    /// Outcome of the task.
    pub outcome: Outcome,
    /// Target that the task was sent to.
    pub target: Option<String>,
    /// Output of the target; present only in answers of complete jobs.
    pub result: Option<String>,
    /// Time from the start request to its reply, in microseconds.
    pub elapsed_us: Option<u64>,
}
