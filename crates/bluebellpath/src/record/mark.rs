//! Rows of the record in the table: how far a chain goes, and where a job is.

use serde::{Deserialize, Serialize};

use super::Hash;
use crate::job::{Id, Incarnation};

/// Beginning of the keys of all marks.
pub(super) const MARKS: &str = "record/mark/";

/// How far the chain of one incarnation goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Instance that writes the chain.
    pub instance: String,
    /// Number of the last batch, 0 before the first.
    pub number: u64,
    /// Hash of that batch.
    pub hash: Hash,
    /// Wall time of this row, in milliseconds since the epoch.
    pub at_ms: u64,
    /// True once the incarnation stopped as planned.
    pub closed: bool,
}

impl Mark {
    /// Key of the row for `incarnation`.
    pub fn key(incarnation: Incarnation) -> String {
        format!("{MARKS}{incarnation}")
    }

    /// Incarnation of the row under `key`.
    pub fn incarnation(key: &str) -> Option<Incarnation> {
        let text = key.strip_prefix(MARKS)?;
        let raw = u64::from_str_radix(text, 16).ok()?;
        Some(Incarnation::from_u64(raw))
    }
}

/// Beginning of the keys of all rows that say where `job` is.
pub(super) fn places(job: &Id) -> String {
    format!("record/job/{job}/")
}

/// Key of the row that says that `job` is in batch `number` of `incarnation`.
pub(super) fn place(job: &Id, incarnation: Incarnation, number: u64) -> String {
    format!("{}{incarnation}/{number:010}", places(job))
}

/// Incarnation and number in the key of a place of `job`.
pub(super) fn parse_place(job: &Id, key: &str) -> Option<(Incarnation, u64)> {
    let rest = key.strip_prefix(&places(job))?;
    let (incarnation, number) = rest.split_once('/')?;
    let raw = u64::from_str_radix(incarnation, 16).ok()?;
    Some((Incarnation::from_u64(raw), number.parse().ok()?))
}
