//! Timing and size of a membership.

use std::time::Duration;

use super::{Key, frame};

/// Bytes that UDP and IP add to a datagram.
const HEADER_BYTES: usize = 28;

/// Timing and size of a [`Membership`](super::Membership).
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Silence after which a peer is probed.
    pub suspect: Duration,
    /// Silence after which a peer counts as gone.
    pub timeout: Duration,
    /// Number of peers that receive a heartbeat in one interval.
    pub fanout: usize,
    /// Bytes sent per second, headers included, while membership does not change.
    pub bytes_per_s: usize,
    /// Key shared by all entry instances.
    pub key: Key,
}

impl Default for Config {
    /// A heartbeat every 500 ms to 3 peers, within 1,200 bytes/s; silent after
    /// 1.5 s, gone after 3 s; the key of an empty secret.
    fn default() -> Config {
        Config {
            interval: Duration::from_millis(500),
            suspect: Duration::from_millis(1_500),
            timeout: Duration::from_secs(3),
            fanout: 3,
            bytes_per_s: 1_200,
            key: Key::new(""),
        }
    }
}

impl Config {
    /// Maximum size in bytes of a frame that goes to `receivers` peers in one interval.
    pub(super) fn frame_bytes(&self, receivers: usize) -> usize {
        let interval_ms = self.interval.as_millis() as usize;
        let bytes = self.bytes_per_s * interval_ms / 1_000 / receivers.max(1);
        bytes.saturating_sub(HEADER_BYTES).min(frame::MAX_BYTES)
    }
}
