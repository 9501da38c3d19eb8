//! Kinds of task.

use serde::{Deserialize, Serialize};

/// Kind of task, as the targets know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// True when a second run does no harm.
    pub idempotent: bool,
    /// Most slots that a task may declare.
    pub max_size: u32,
    /// Longest run time that a task may declare, in milliseconds.
    pub max_run_ms: u64,
}
