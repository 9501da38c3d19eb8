//! Decision to start a task.

use std::time::Duration;

use crate::{JobId, TargetId};

/// Decision to start one task on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Job of the task.
    pub job: JobId,
    /// Place of the task in its job.
    pub task: u32,
    /// Target that is to run it.
    pub target: TargetId,
    /// Time that the task should take there.
    pub expected: Duration,
}
