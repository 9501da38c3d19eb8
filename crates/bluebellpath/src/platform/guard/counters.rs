//! Request counters of a guarded platform.

/// Request counters of one platform service since the instance started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests made by callers.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts after the first one of a request.
    pub retries: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Attempts refused unsent because the wait for the rate limit was too long.
    pub rate_limited: u64,
    /// Attempts refused unsent because the circuit breaker was open.
    pub circuit_open: u64,
    /// Requests that failed and may have taken effect.
    pub unknown: u64,
}
