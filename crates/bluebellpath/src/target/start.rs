//! Request to start a task.

use std::time::Duration;

use crate::{job::TaskId, platform::Instance};

/// Request to start one task on one target.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Task.
    pub task: &'a TaskId,
    /// Target that is to run it.
    pub target: &'a Instance,
    /// Kind of work.
    pub kind: &'a str,
    /// Input.
    pub payload: &'a str,
    /// Number of slots that the task takes.
    pub size: u32,
    /// Time after which the target stops the task unless renewed.
    pub lease: Duration,
    /// Maximum wait for the reply.
    pub timeout: Duration,
}
