//! Submitted jobs.

use serde::{Deserialize, Serialize};

use super::TaskSpec;

/// Job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Team whose quota the job counts against.
    pub team: String,
    /// Time limit for the answer, from submission, in milliseconds.
    pub deadline_ms: u64,
    /// Tasks; they run in parallel.
    pub tasks: Vec<TaskSpec>,
}

impl Submission {
    /// Maximum number of tasks in one job.
    pub const MAX_TASKS: usize = 190;
}
