//! One task of a job.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Id;

/// What a caller says of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Whom the result is for.
    pub caller: String,
    /// Kind of work, as the targets know it.
    pub kind: String,
    /// Input, passed to the target as it is.
    #[serde(default)]
    pub payload: String,
    /// Declared run time in milliseconds.
    #[serde(default)]
    pub run_time_ms: Option<u64>,
    /// Declared slots that the task takes at once.
    #[serde(default = "one_slot")]
    pub size: u32,
    /// True when a second run would do no harm.
    #[serde(default)]
    pub idempotent: bool,
}

fn one_slot() -> u32 {
    1
}

/// Id of one task.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// Job of the task.
    pub job: Id,
    /// Place in the job, from 0.
    pub index: u32,
}
