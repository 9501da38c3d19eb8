//! Counts of a guarded platform.

/// Counts of one service of a guarded platform since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that were asked for.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that were not the first of their request.
    pub retries: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Requests refused unsent because too many waited.
    pub crowded: u64,
    /// Requests refused unsent because the circuit was open.
    pub broken: u64,
    /// Requests that ended with an unknown effect.
    pub unknown: u64,
}
