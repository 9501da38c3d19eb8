//! Bodies of requests and responses about the configuration.

use serde::{Deserialize, Serialize};

use crate::config::{Change, Document, Revision};

/// Typed changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Id that the operator chose; the same id never acts twice.
    pub operation: String,
    /// Reason, for the history.
    pub reason: String,
    /// What shall change.
    pub changes: Vec<Change>,
}

/// Whole content in place of the present one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// Id that the operator chose; the same id never acts twice.
    pub operation: String,
    /// Reason, for the history.
    pub reason: String,
    /// Content.
    pub document: Document,
}

/// Roll forward to an earlier content. Keys stay as they are now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Restoration {
    /// Id that the operator chose; the same id never acts twice.
    pub operation: String,
    /// Reason, for the history.
    pub reason: String,
    /// Version whose content shall hold again.
    pub version: u64,
}

/// Content of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// Version.
    pub version: u64,
    /// Content.
    pub document: Document,
}

/// Changes between two versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Version before.
    pub from: u64,
    /// Version after.
    pub to: u64,
    /// Changes that lead from one to the other.
    pub changes: Vec<Change>,
}

/// What an accepted change did, or would do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changed {
    /// True when nothing was changed because only a trial was asked for.
    pub dry_run: bool,
    /// New version.
    pub version: u64,
    /// Wall time from which it is in force everywhere, in milliseconds since
    /// the epoch; `None` for a trial.
    pub effective_ms: Option<u64>,
    /// What changes.
    pub changes: Vec<Change>,
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Operation.
    pub operation: String,
    /// What it made; `None` when it has not been accepted.
    pub accepted: Option<Revision>,
}
