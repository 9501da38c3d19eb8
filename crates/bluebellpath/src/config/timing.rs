//! Timing of changes and readings.

use std::time::Duration;

/// Timing of changes and readings, the same for all instances.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time from the acceptance of a change to its effect.
    pub activation_delay: Duration,
    /// Most that a wall clock is off true time.
    pub max_skew: Duration,
    /// Time between two readings of the head.
    pub read_interval: Duration,
    /// Longest wait for a reading.
    pub read_timeout: Duration,
    /// Age of the last reading from which an instance reads by itself.
    pub stale_after: Duration,
    /// Further age for each rank behind the readers.
    pub stale_step: Duration,
    /// Time for which an instance without the table listens to its peers before
    /// it takes a configuration that none of them can confirm.
    pub peer_wait: Duration,
    /// Time after which a change without effective time is dated by a reader.
    pub undated_timeout: Duration,
    /// Longest wait for a peer's configuration.
    pub peer_timeout: Duration,
}

impl Default for Timing {
    /// In force 3.4 s after acceptance, clocks within 50 ms, a reading each
    /// 500 ms, taken over after 1.7 s and 0.5 s for each rank.
    fn default() -> Timing {
        Timing {
            activation_delay: Duration::from_millis(3400),
            max_skew: Duration::from_millis(50),
            read_interval: Duration::from_millis(500),
            read_timeout: Duration::from_secs(4),
            stale_after: Duration::from_millis(1700),
            stale_step: Duration::from_millis(500),
            peer_wait: Duration::from_secs(2),
            undated_timeout: Duration::from_millis(600),
            peer_timeout: Duration::from_secs(1),
        }
    }
}

impl Timing {
    /// Delay in milliseconds.
    pub(super) fn activation_delay_ms(&self) -> u64 {
        self.activation_delay.as_millis() as u64
    }

    /// Bound on the skew in milliseconds.
    pub(super) fn max_skew_ms(&self) -> u64 {
        self.max_skew.as_millis() as u64
    }

    /// Wall time until which a reading begun at `read_ms` confirms what it
    /// showed: the delay less one skew for each clock that took part, and one
    /// for instances whose clock runs ahead and which switch early.
    pub fn confirmed_until(&self, read_ms: u64) -> u64 {
        (read_ms + self.activation_delay_ms()).saturating_sub(4 * self.max_skew_ms())
    }
}
