//! Timing of revisions and reads of the head.

use std::time::Duration;

/// Timing of revisions and reads of the head, the same for all instances.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Delay from the acceptance of a revision to its effective time.
    pub activation_delay: Duration,
    /// Maximum error of a wall clock.
    pub max_skew: Duration,
    /// Interval between reads of the head.
    pub read_interval: Duration,
    /// Timeout of a read.
    pub read_timeout: Duration,
    /// Age of the last read after which an instance that is not a reader reads the
    /// head by itself.
    pub stale_after: Duration,
    /// Additional age for each rank behind the readers.
    pub stale_step: Duration,
    /// Time that an instance which has no configuration waits for its peers before
    /// it takes one that none of them can confirm.
    pub peer_wait: Duration,
    /// Time after which a reader sets the effective time of a revision whose
    /// proposer has not done so.
    pub undated_timeout: Duration,
    /// Timeout of a request for a peer's configuration.
    pub peer_timeout: Duration,
}

impl Default for Timing {
    /// Revisions take effect 3.4 s after acceptance, clocks are within 50 ms of true
    /// time, readers read every 500 ms, and others read after 1.7 s plus 0.5 s for
    /// each rank.
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
    /// Activation delay in milliseconds.
    pub(super) fn activation_delay_ms(&self) -> u64 {
        self.activation_delay.as_millis() as u64
    }

    /// Maximum clock skew in milliseconds.
    pub(super) fn max_skew_ms(&self) -> u64 {
        self.max_skew.as_millis() as u64
    }

    /// Wall time until which a read begun at `read_ms` confirms the version that it
    /// returned: the activation delay less the skew of each clock involved, and
    /// less one more skew, as instances whose clocks run ahead switch early.
    pub fn confirmed_until(&self, read_ms: u64) -> u64 {
        (read_ms + self.activation_delay_ms()).saturating_sub(4 * self.max_skew_ms())
    }
}
