//! What became of an assignment.

use std::time::Duration;

use crate::Assignment;

/// Why a task was certainly not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The target can't be reached.
    Unreachable,
    /// The target had no slot or connection free.
    Full,
    /// The target is leaving.
    Leaving,
    /// The target doesn't take this kind or size.
    Unsupported,
    /// This instance may not start it any more.
    LeaseExpired,
}

/// How an assignment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a result.
    Complete,
    /// With a failure of the task.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Without ever starting.
    NotStarted(NotStarted),
    /// Without an answer; the task may have run.
    Unknown,
}

/// Report on one assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Assignment that ended.
    pub assignment: Assignment,
    /// How it ended.
    pub ending: Ending,
    /// Time from hand-over to the end.
    pub elapsed: Duration,
}

/// What the dispatcher does with a task after a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The task waits again and will be assigned once more.
    Requeued,
    /// The task is over.
    Done,
}
