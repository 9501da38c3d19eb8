//! Tasks of a job.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Id;

/// Task as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Caller that the result is for.
    pub caller: String,
    /// Kind of work; interpreted by the targets.
    pub kind: String,
    /// Input, passed to the target unchanged.
    #[serde(default)]
    pub payload: String,
    /// Declared run time in milliseconds.
    #[serde(default)]
    pub run_time_ms: Option<u64>,
    /// Declared number of target slots that the task occupies.
    #[serde(default = "one_slot")]
    pub size: u32,
    /// True if the task may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
}

fn one_slot() -> u32 {
    1
}

/// Id of a task.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// Id of the job.
    pub job: Id,
    /// Index in the job, from 0.
    pub index: u32,
}
