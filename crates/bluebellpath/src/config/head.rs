//! The head row.

use serde::{Deserialize, Serialize};

/// Value of the head row. Every revision replaces it by compare-and-set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: u64,
    /// Id of the operation that made it.
    pub operation: String,
    /// Wall time from which it is in force, in milliseconds since the epoch;
    /// `None` while it is proposed.
    pub effective_ms: Option<u64>,
    /// Effective time of the previous version; the lower bound for this one.
    pub floor_ms: u64,
    /// Digest of the content.
    pub digest: String,
    /// Newest version that has a snapshot row.
    pub snapshot: u64,
}

/// Head with the version of its row in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadRow {
    /// Head stored in the row.
    pub head: Head,
    /// Version of the row, for compare-and-set.
    pub row_version: u64,
}

impl HeadRow {
    /// Newest accepted version.
    pub fn accepted_version(&self) -> u64 {
        match self.head.effective_ms {
            Some(_) => self.head.version,
            None => self.head.version - 1,
        }
    }
}
