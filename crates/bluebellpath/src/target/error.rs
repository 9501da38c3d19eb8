//! Errors of targets.

use derive_more::{Display, Error};

/// Part of a start that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Getting a connection.
    #[display("connect")]
    Connect,
    /// Test of the fence.
    #[display("fence")]
    Fence,
    /// Handing bytes to the socket.
    #[display("send")]
    Send,
    /// Waiting for the reply.
    #[display("receive")]
    Receive,
}

/// Why a task was certainly not started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// No connection could be made.
    #[display("unreachable")]
    Unreachable,
    /// All connections of the target are in use.
    #[display("no connection free")]
    Connections,
    /// The target refused: no slot free.
    #[display("full")]
    Full,
    /// The target refused: it is leaving.
    #[display("leaving")]
    Leaving,
    /// The target refused this kind or size of task.
    #[display("unsupported")]
    Unsupported,
    /// The right to start had lapsed.
    #[display("lease lapsed")]
    Lapsed,
}

/// What is known of a failed start.
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
    /// Part that failed.
    pub step: Step,
    /// Name of the target.
    pub target: String,
    /// What is known of the task.
    pub fault: Fault,
    /// Cause, for people.
    pub detail: String,
}
