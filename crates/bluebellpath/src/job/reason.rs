//! Refusals at the door.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a job was refused before anything of it ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No target takes tasks of such a size.
    #[display("too_large")]
    TooLarge,
    /// The deadline is below the least possible time.
    #[display("deadline")]
    Deadline,
    /// The team is over its quota.
    #[display("quota")]
    Quota,
    /// The instance has no configuration yet.
    #[display("starting")]
    Starting,
    /// Too much work waits already.
    #[display("overload")]
    Overload,
}
