//! The head row.

use serde::{Deserialize, Serialize};

/// Value of the head row, on which all changes compare and set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: u64,
    /// Operation that made it.
    pub operation: String,
    /// Wall time from which it is in force, in milliseconds since the epoch;
    /// `None` while it is proposed.
    pub effective_ms: Option<u64>,
    /// Effective time of the version before, below which no later one may be.
    pub floor_ms: u64,
    /// Digest of the content.
    pub digest: String,
    /// Newest version that has a snapshot.
    pub snapshot: u64,
}

/// Head row with the version by which the table knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadRow {
    /// Value of the row.
    pub head: Head,
    /// Version of the row.
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
