//! Limits on what a connection may send.

use std::time::Duration;

/// Limits on one side's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest wait for a first byte on a kept connection.
    pub idle: Duration,
    /// Longest time from the first byte of a message to its last.
    pub message: Duration,
    /// Longest time for writing a message.
    pub write: Duration,
}

impl Limits {
    /// Limits on requests that have no body worth mentioning: 1 KiB.
    pub fn for_probes() -> Limits {
        Limits {
            body_bytes: 1 << 10,
            ..Limits::default()
        }
    }
}

impl Default for Limits {
    /// 16 KiB heads, 4 MiB bodies, 60 s idle, 10 s per message and write.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(60),
            message: Duration::from_secs(10),
            write: Duration::from_secs(10),
        }
    }
}
