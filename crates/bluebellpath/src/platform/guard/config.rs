//! Configuration of rate limits, retries and circuit breakers.

use std::time::Duration;

/// Configuration of a [`Guarded`](super::Guarded) platform.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Table writes of all entry instances together, in a second.
    pub commits_per_s: f64,
    /// Object writes of all entry instances together, in a second.
    pub puts_per_s: f64,
    /// Table, object and list reads of all entry instances together, in a
    /// second, each.
    pub reads_per_s: f64,
    /// Requests that an idle instance may send in one burst.
    pub burst: f64,
    /// Entry instances that share the rates until the instance list is read.
    pub entries: usize,
    /// Longest wait for the rate limit; a request that would wait longer is
    /// refused unsent.
    pub max_queue_time: Duration,
    /// Timeout of one attempt.
    pub attempt_timeout: Duration,
    /// Time after the start of a request in which a retry is allowed.
    pub retry_window: Duration,
    /// Shortest backoff before a retry.
    pub backoff: Duration,
    /// Longest backoff before a retry.
    pub backoff_max: Duration,
    /// Retries allowed for each request on average.
    pub retry_ratio: f64,
    /// Retries allowed in one burst.
    pub retry_burst: f64,
    /// Consecutive failures after which the breaker opens.
    pub breaker_failures: u32,
    /// Time for which the breaker first stays open; doubles with each failed
    /// probe.
    pub breaker_pause: Duration,
    /// Longest time for which the breaker stays open.
    pub breaker_pause_max: Duration,
}

impl Default for Config {
    /// 220 commits, 80 puts and 600 reads of each kind a second for the fleet;
    /// bursts of 20; shared by 84 instances until the list is read; at most 1 s
    /// in the queue and 4 s an attempt; retries for 1 s with a backoff of 20 ms
    /// to 500 ms, one for ten requests; breaker open after 5 failures for
    /// 200 ms to 1 s.
    fn default() -> Config {
        Config {
            commits_per_s: 220.0,
            puts_per_s: 80.0,
            reads_per_s: 600.0,
            burst: 20.0,
            entries: 84,
            max_queue_time: Duration::from_secs(1),
            attempt_timeout: Duration::from_secs(4),
            retry_window: Duration::from_secs(1),
            backoff: Duration::from_millis(20),
            backoff_max: Duration::from_millis(500),
            retry_ratio: 0.1,
            retry_burst: 10.0,
            breaker_failures: 5,
            breaker_pause: Duration::from_millis(200),
            breaker_pause_max: Duration::from_secs(1),
        }
    }
}
