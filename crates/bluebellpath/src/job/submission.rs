//! What a caller submits.

use serde::{Deserialize, Serialize};

use super::TaskSpec;

/// Job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Team that pays for the job.
    pub team: String,
    /// Time from submission within which the answer is of use, in milliseconds.
    pub deadline_ms: u64,
    /// Tasks, which run in parallel.
    pub tasks: Vec<TaskSpec>,
}

impl Submission {
    /// Most tasks in one job.
    pub const MAX_TASKS: usize = 190;
}
