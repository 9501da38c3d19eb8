//! Results of assignments.

use std::time::Duration;

use crate::Assignment;

/// Why a task certainly didn't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The target can't be reached.
    Unreachable,
    /// The target had no free slot or connection.
    Full,
    /// The target is leaving.
    Leaving,
    /// The target doesn't accept this kind or size.
    Unsupported,
    /// The lease under which this instance may start the task has expired.
    LeaseExpired,
}

/// How an assignment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The task returned a result.
    Complete,
    /// The task failed.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The task didn't start.
    NotStarted(NotStarted),
    /// The target didn't answer; the task may have run.
    Unknown,
}

/// Report on the end of one assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Assignment that ended.
    pub assignment: Assignment,
    /// How it ended.
    pub ending: Ending,
    /// Time from the start request to the end.
    pub elapsed: Duration,
}

/// What the dispatcher does with a task after a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The task waits again and will be retried.
    Requeued,
    /// The task is finished.
    Done,
}
