//! Errors of requests to targets.

use derive_more::{Display, Error};

/// Step of a request that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Obtaining a connection.
    #[display("connect")]
    Connect,
    /// Checking the fence.
    #[display("fence")]
    Fence,
    /// Writing bytes to the socket.
    #[display("send")]
    Send,
    /// Waiting for the reply.
    #[display("receive")]
    Receive,
}

/// Reason why a task was certainly not started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// No connection could be made.
    #[display("unreachable")]
    Unreachable,
    /// All connections to the target are in use.
    #[display("no connection free")]
    Connections,
    /// The target refused: no slot is free.
    #[display("full")]
    Full,
    /// The target refused: it is shutting down.
    #[display("leaving")]
    Leaving,
    /// The target refused this kind or size of task.
    #[display("unsupported")]
    Unsupported,
    /// The right to start tasks had lapsed.
    #[display("lease lapsed")]
    Lapsed,
}

/// Whether a task may have started despite the error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// Certainly not started.
    #[display("not started, {_0}")]
    NotStarted(Reason),
    /// May have started.
    #[display("outcome unknown")]
    Unknown,
}

/// Failed request to a target.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} at target {target}: {fault}: {detail}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Name of the target.
    pub target: String,
    /// Whether the task may have started.
    pub fault: Fault,
    /// Cause, in readable form.
    pub detail: String,
}
