//! Revisions of the configuration.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{Change, Document};

/// Entry of the history: the changes that made one version. It is proposed while
/// `effective_ms` is `None`, and accepted after that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Accepted")]
pub struct Revision {
    /// Version that the revision made.
    pub version: u64,
    /// Operation that made it.
    pub operation: String,
    /// Operator.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// Wall time from which it is in force, in milliseconds since the epoch;
    /// `None` while the revision is proposed and not yet accepted.
    pub effective_ms: Option<u64>,
    /// Digest of the whole document at this version.
    pub digest: String,
    /// Changes from the previous version.
    pub changes: Vec<Change>,
}

/// Whole document at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version.
    pub version: u64,
    /// Wall time from which it is in force, in milliseconds since the epoch.
    pub effective_ms: u64,
    /// Document.
    pub document: Rc<Document>,
}

/// Update that an instance sends to a peer with older versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Document to start from, for a receiver that can't use the changes alone.
    pub snapshot: Option<Snapshot>,
    /// Accepted revisions, ordered by version.
    pub changes: Vec<Revision>,
    /// Wall time at which a read of the head began that showed the last of the
    /// versions above, in milliseconds since the epoch.
    pub read_ms: Option<u64>,
    /// Newest version that the sender has seen mentioned.
    pub heard: u64,
}
