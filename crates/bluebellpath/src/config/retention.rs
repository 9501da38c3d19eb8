//! Retention times.

use serde::{Deserialize, Serialize};

/// Retention times of records and history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retention {
    /// Retention of record entries, in days.
    pub record_days: u32,
    /// Retention of the configuration history, in days.
    pub history_days: u32,
}

impl Default for Retention {
    /// Two years for both.
    fn default() -> Retention {
        Retention {
            record_days: 730,
            history_days: 730,
        }
    }
}
