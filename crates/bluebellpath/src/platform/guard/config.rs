//! Policy of a guarded platform.

use std::time::Duration;

/// Policy of a [`Guarded`](super::Guarded) platform.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Table writes of all entry instances together, in a second.
    pub commits_per_s: f64,
    /// Object writes of all entry instances together, in a second.
    pub puts_per_s: f64,
    /// Table, object and list reads of all entry instances together, in a
    /// second, each.
    pub reads_per_s: f64,
    /// Requests that an instance may make at once after a pause.
    pub burst: f64,
    /// Entry instances that share the rates until the list is known.
    pub entries: usize,
    /// Longest wait for a turn; beyond it a request is refused unsent.
    pub queue: Duration,
    /// Longest wait for one answer.
    pub attempt: Duration,
    /// Time from the first attempt in which another may begin.
    pub retry_for: Duration,
    /// Shortest pause before a retry.
    pub backoff: Duration,
    /// Longest pause before a retry.
    pub backoff_max: Duration,
    /// Retries for each request in the long run.
    pub retry_ratio: f64,
    /// Retries that may come at once.
    pub retry_burst: f64,
    /// Failures in a row after which nothing is sent for a while.
    pub breaker_failures: u32,
    /// First time for which nothing is sent; doubles with each failed probe.
    pub breaker_pause: Duration,
    /// Longest time for which nothing is sent.
    pub breaker_pause_max: Duration,
}

impl Default for Config {
    /// 220 commits, 80 puts and 600 reads of each kind a second for the fleet;
    /// bursts of 20; shared by 84 until the list is known; 1 s in the queue,
    /// 4 s an attempt, retries for 1 s after 20 ms to 500 ms, one for ten
    /// requests; circuit open after 5 failures for 200 ms to 1 s.
    fn default() -> Config {
        Config {
            commits_per_s: 220.0,
            puts_per_s: 80.0,
            reads_per_s: 600.0,
            burst: 20.0,
            entries: 84,
            queue: Duration::from_secs(1),
            attempt: Duration::from_secs(4),
            retry_for: Duration::from_secs(1),
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
