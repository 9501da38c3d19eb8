//! Changes as they stand in the history.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{Change, Document};

/// Change in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Accepted")]
pub struct Revision {
    /// Version that the change made.
    pub version: u64,
    /// Operation that made it.
    pub operation: String,
    /// Operator.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// Wall time from which it is in force, in milliseconds since the epoch;
    /// `None` while the change is proposed and not yet accepted.
    pub effective_ms: Option<u64>,
    /// Digest of the whole content under this version.
    pub digest: String,
    /// What changed.
    pub changes: Vec<Change>,
}

/// Whole content under a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version.
    pub version: u64,
    /// Wall time from which it is in force, in milliseconds since the epoch.
    pub effective_ms: u64,
    /// Content.
    pub document: Rc<Document>,
}

/// What one instance sends another that knows less.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Content to start from, for a receiver that can't use the changes alone.
    pub snapshot: Option<Snapshot>,
    /// Accepted changes, by version.
    pub changes: Vec<Revision>,
    /// Wall time at which a reading of the head began that showed the last of
    /// the versions above.
    pub read_ms: Option<u64>,
    /// Newest version that the sender has heard of.
    pub heard: u64,
}
