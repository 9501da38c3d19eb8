//! Errors of a daemon.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Part of a start that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Listening on an address.
    #[display("listen")]
    Listen,
    /// Reading the key shared with peers.
    #[display("key for peers")]
    Key,
    /// Hearing the signals of a planned stop.
    #[display("signals")]
    Signals,
}

/// Daemon that can't run.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} on {peer}: {detail}")]
pub struct Error {
    /// Part that failed.
    pub step: Step,
    /// Address.
    pub peer: SocketAddr,
    /// Cause.
    pub detail: String,
}
