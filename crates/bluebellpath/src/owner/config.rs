//! Configuration of ownership.

use std::time::Duration;

/// Configuration of ownership.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of shards of a domain's keys.
    pub shard_count: u16,
    /// Time for which a lease row must stay unchanged before others take over.
    pub lease_duration: Duration,
    /// Part of the lease that the holder doesn't use, to allow for clock drift.
    pub clock_margin: Duration,
    /// Interval between renewals of all leases.
    pub renewal_interval: Duration,
    /// Interval between reads of the lease rows.
    pub poll_interval: Duration,
    /// Time after the start in which shards are left to peers not yet heard of.
    pub join_delay: Duration,
    /// Limit on claim transactions per second of all instances together.
    pub max_writes_per_s: u32,
    /// Maximum number of claims in one transaction.
    pub max_batch_claims: usize,
    /// Maximum number of claims that wait for a transaction.
    pub max_pending_claims: usize,
    /// Time after which a transaction without a response is sent again.
    pub table_timeout: Duration,
    /// Time for which claims are kept and protect against resubmission.
    pub retention: Duration,
    /// Interval between searches for claims past their retention.
    pub sweep: Duration,
    /// Time after its start from which an instance is known to all its peers.
    pub discovery_time: Duration,
    /// Time after a takeover with an unknown predecessor state in which keys
    /// without a row are answered as unknown.
    pub indeterminate_period: Duration,
    /// Maximum number of claimed keys kept in memory.
    pub max_claimed_keys: usize,
    /// Maximum number of claims kept for peers that can't reach the table.
    pub max_replicated_claims: usize,
    /// Number of tickets whose state is tracked; older ones count as used.
    pub max_tickets: u64,
    /// Injects a fault to test the checkers: granted extensions are ignored.
    pub forget_promises: bool,
}

impl Default for Config {
    /// 4 shards; leases of 3 s with a margin of 500 ms, renewed each second
    /// and read every 500 ms; 300 transactions per second; claims kept for 1 h;
    /// instances known after 6 s, 10 min of indeterminate keys; 500,000 claimed
    /// keys in memory, 50,000 replicated claims, 1,000,000 tickets.
    fn default() -> Config {
        Config {
            shard_count: 4,
            lease_duration: Duration::from_secs(3),
            clock_margin: Duration::from_millis(500),
            renewal_interval: Duration::from_secs(1),
            poll_interval: Duration::from_millis(500),
            join_delay: Duration::from_millis(700),
            max_writes_per_s: 300,
            max_batch_claims: 500,
            max_pending_claims: 10_000,
            table_timeout: Duration::from_secs(3),
            retention: Duration::from_secs(3_600),
            sweep: Duration::from_secs(60),
            discovery_time: Duration::from_secs(6),
            indeterminate_period: Duration::from_secs(600),
            max_claimed_keys: 500_000,
            max_replicated_claims: 50_000,
            max_tickets: 1_000_000,
            forget_promises: false,
        }
    }
}
