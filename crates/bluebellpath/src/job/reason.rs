//! Reasons for refusing jobs on admission.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason for which a job was refused before any of its tasks started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No target accepts a task of this size.
    #[display("too_large")]
    TooLarge,
    /// The deadline is too short, or has passed already.
    #[display("deadline")]
    Deadline,
    /// The team is over its quota.
    #[display("quota")]
    Quota,
    /// The instance has no configuration yet.
    #[display("starting")]
    Starting,
    /// The backlog is too large.
    #[display("overload")]
    Overload,
}
