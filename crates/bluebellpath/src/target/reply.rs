//! Reply of a target.

/// Status of a task at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Ended with a result.
    Complete,
    /// Ended with an error of the task itself.
    Failed,
    /// Stopped on request.
    Stopped,
}

/// Reply to a start request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status of the task.
    pub status: Status,
    /// Result, or the error of the task.
    pub body: String,
}
