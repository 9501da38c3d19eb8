//! Assignment of a task to a target.

use std::time::Duration;

use crate::{JobId, TargetId};

/// Decision to start one task on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task in its job.
    pub task: u32,
    /// Target that is to run it.
    pub target: TargetId,
    /// Expected run time on this target.
    pub expected_run_time: Duration,
}
