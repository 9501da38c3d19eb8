//! Refusal of a job at admission.

use std::time::Duration;

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No target accepts tasks of this size.
    TooLarge,
    /// The deadline is below the least possible time.
    Deadline,
    /// The team is over its quota.
    Quota,
    /// Too much work is waiting.
    Overload,
}

/// Refusal of a job before any of its tasks ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which a retry may succeed; `None` if it never will.
    pub retry_after: Option<Duration>,
}
