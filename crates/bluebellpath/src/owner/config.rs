//! Configuration of ownership.

use std::time::Duration;

/// Configuration of ownership.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Shards of a domain's keys.
    pub shards: u16,
    /// Time for which a lease row must stay unchanged before others take over.
    pub lease: Duration,
    /// Part of the lease that the holder gives up for clocks that drift.
    pub margin: Duration,
    /// Time between two renewals of all leases.
    pub renewal: Duration,
    /// Time between two readings of the lease rows.
    pub poll: Duration,
    /// Time after the start in which shards are left to peers not yet heard of.
    pub join: Duration,
    /// Transactions a second that all instances together may make for claims.
    pub writes_per_s: u32,
    /// Claims in one transaction.
    pub max_batch: usize,
    /// Claims that wait for a transaction.
    pub max_pending: usize,
    /// Time after which a transaction without an answer is sent again.
    pub timeout: Duration,
    /// Time for which claims are kept, and so protect against resubmission.
    pub retention: Duration,
    /// Time between two searches for claims past their retention.
    pub sweep: Duration,
    /// Tickets that are told apart; older ones count as used.
    pub max_tickets: u64,
}

impl Default for Config {
    /// 16 shards; leases of 3 s with a margin of 500 ms, renewed each second
    /// and read each 500 ms; 300 transactions a second; claims kept for 1 h; a
    /// million tickets.
    fn default() -> Config {
        Config {
            shards: 16,
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(500),
            renewal: Duration::from_secs(1),
            poll: Duration::from_millis(500),
            join: Duration::from_millis(700),
            writes_per_s: 300,
            max_batch: 500,
            max_pending: 10_000,
            timeout: Duration::from_secs(3),
            retention: Duration::from_secs(3_600),
            sweep: Duration::from_secs(60),
            max_tickets: 1_000_000,
        }
    }
}
