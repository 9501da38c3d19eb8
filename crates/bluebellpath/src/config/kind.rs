//! Kinds of task.

use serde::{Deserialize, Serialize};

/// Kind of task that targets can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// True if the task may safely run more than once.
    pub idempotent: bool,
    /// Maximum slots that a task may declare.
    pub max_size: u32,
    /// Maximum run time that a task may declare, in milliseconds.
    pub max_run_ms: u64,
}
