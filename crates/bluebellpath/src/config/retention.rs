//! How long records are kept.

use serde::{Deserialize, Serialize};

/// How long records are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retention {
    /// Time for which entries of the record are kept, in days.
    pub record_days: u32,
    /// Time for which the history of the configuration is kept, in days.
    pub history_days: u32,
}

impl Default for Retention {
    /// Two years of each.
    fn default() -> Retention {
        Retention {
            record_days: 730,
            history_days: 730,
        }
    }
}
