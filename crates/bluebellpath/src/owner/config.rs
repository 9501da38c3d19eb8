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
    /// Time after its start from which an instance is known to all its peers.
    pub settle: Duration,
    /// Time after a take-over that nobody can account for in which keys that
    /// are not in the table are answered as unknown.
    pub doubt: Duration,
    /// Claimed keys that are known without the table.
    pub max_known: usize,
    /// Claims that are remembered for peers that go on without the table.
    pub max_held: usize,
    /// Tickets that are told apart; older ones count as used.
    pub max_tickets: u64,
    /// Plants a fault for a test of the checkers: promises are not kept.
    pub forget_promises: bool,
}

impl Default for Config {
    /// 4 shards; leases of 3 s with a margin of 500 ms, renewed each second
    /// and read each 500 ms; 300 transactions a second; claims kept for 1 h;
    /// instances known after 6 s, 10 min of doubt; 500,000 known keys, 50,000
    /// remembered claims, a million tickets.
    fn default() -> Config {
        Config {
            shards: 4,
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
            settle: Duration::from_secs(6),
            doubt: Duration::from_secs(600),
            max_known: 500_000,
            max_held: 50_000,
            max_tickets: 1_000_000,
            forget_promises: false,
        }
    }
}
