//! Reply of a target.

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// With a result.
    Complete,
    /// With an error of its own.
    Failed,
    /// Stopped on request.
    Stopped,
}

/// Reply to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// How the task ended.
    pub status: Status,
    /// Result, or the task's error.
    pub body: String,
}
