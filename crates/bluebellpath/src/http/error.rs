//! Errors of HTTP exchanges.

use derive_more::{Display, Error};

/// Part of an exchange that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Getting a connection.
    #[display("connect")]
    Connect,
    /// Test of the fence.
    #[display("fence")]
    Fence,
    /// Reading a message.
    #[display("receive")]
    Receive,
    /// Writing a message.
    #[display("send")]
    Send,
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The other side closed the connection.
    #[display("connection closed")]
    Closed,
    /// Nobody listens at the address.
    #[display("connection refused")]
    Refused,
    /// Time ran out.
    #[display("timed out")]
    TimedOut,
    /// Error of the operating system.
    #[display("i/o error")]
    Io,
    /// Head larger than the limit.
    #[display("head too large")]
    HeadTooLarge,
    /// Body larger than the limit.
    #[display("body too large")]
    BodyTooLarge,
    /// Bytes that are no HTTP.
    #[display("malformed message")]
    Malformed,
    /// Callers hold all that they may.
    #[display("no room for the request now")]
    NoRoom,
    /// Path, query or header that HTTP can't carry.
    #[display("request can't be encoded")]
    Unencodable,
    /// All connections that the other side allows are in use.
    #[display("no connection free")]
    Connections,
    /// The right to send had lapsed.
    #[display("lease lapsed")]
    Lapsed,
}

/// Failed HTTP exchange.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} with {peer}: {fault}")]
pub struct Error {
    /// Part that failed.
    pub step: Step,
    /// Address of the other side.
    pub peer: String,
    /// Why it failed.
    pub fault: Fault,
    /// True when bytes of the request may have been handed to the socket.
    pub sent: bool,
}
