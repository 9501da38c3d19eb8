//! Refusal of a job at the door.

use std::time::Duration;

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No target takes tasks of such a size.
    TooLarge,
    /// The deadline is below the least possible time.
    Deadline,
    /// The team is over its quota.
    Quota,
    /// Too much work waits already.
    Overload,
}

/// Refusal of a job before anything of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Time after which asking again may help; `None` when it never will.
    pub retry_after: Option<Duration>,
}
