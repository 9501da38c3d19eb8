//! Limits and timeouts of calls between instances.

use std::time::Duration;

/// Limits and timeouts of a [`Net`](super::Net).
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Timeout for a connection and its handshake.
    pub connect: Duration,
    /// Timeout for writing or reading one message.
    pub message: Duration,
    /// Maximum wait for a reply.
    pub call: Duration,
    /// Silence after which a connection with pending calls is probed.
    pub probe: Duration,
    /// Silence after which such a connection counts as lost. The server waits
    /// twice as long for a call or a probe.
    pub silence: Duration,
    /// Time without calls after which the calling side closes a connection. The
    /// other side waits three times as long, so that it does not close a
    /// connection that is about to be used.
    pub idle: Duration,
    /// Maximum message size in bytes.
    pub message_bytes: usize,
    /// Maximum number of pending calls on one connection.
    pub calls: usize,
    /// Maximum number of accepted connections open at the same time.
    pub connections: usize,
}

impl Default for Config {
    /// 1 s to connect, 5 s a message, 60 s a call, a probe after 1 s and
    /// a close after 4 s of silence, 30 s idle, 8 MiB a message, 4,096 calls on a connection, 512
    /// connections.
    fn default() -> Config {
        Config {
            connect: Duration::from_secs(1),
            message: Duration::from_secs(5),
            call: Duration::from_secs(60),
            probe: Duration::from_secs(1),
            silence: Duration::from_secs(4),
            idle: Duration::from_secs(30),
            message_bytes: 8 << 20,
            calls: 4_096,
            connections: 512,
        }
    }
}
