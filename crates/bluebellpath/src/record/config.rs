//! Sizes and times of the record.

use std::time::Duration;

/// Sizes and times of the record.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two batches.
    pub interval: Duration,
    /// Entries in one batch; more of them don't wait for the interval.
    pub batch: usize,
    /// Bytes of entries that wait while the store is away.
    pub buffer_bytes: usize,
}

impl Default for Config {
    /// A batch each 2 s or 1,000 entries, 16 MiB in an outage.
    fn default() -> Config {
        Config {
            interval: Duration::from_secs(2),
            batch: 1_000,
            buffer_bytes: 16 << 20,
        }
    }
}
