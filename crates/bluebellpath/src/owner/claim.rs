//! Claims of callers' own keys.

use serde::{Deserialize, Serialize};

use crate::{
    job::{Digest, Incarnation, Key, Outcome},
    settings::Domain,
};

/// Row that stands for a claimed key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Incarnation that alone may start the job.
    pub incarnation: Incarnation,
    /// Job that was claimed.
    pub digest: Digest,
    /// Wall time of the claim, in milliseconds since the epoch.
    pub claimed_ms: u64,
    /// What became of the job, once that is known.
    pub outcome: Option<Outcome>,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// The key is this incarnation's; nobody else will ever start the job.
    Granted(Grant),
    /// The key was claimed before.
    Taken(ClaimRow),
    /// Another instance holds the shard of the key now.
    Moved,
    /// Too many claims wait already; nothing was written.
    Busy,
    /// The key may have been used by an instance that nobody can account for.
    Doubtful,
}

/// Whether a key was used.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// It was claimed.
    Used(ClaimRow),
    /// It was never claimed, or the claim was taken back unused.
    Unused,
    /// It can't be told.
    Unclear,
}

/// Row of a claim that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Version of the row.
    pub version: u64,
    /// Wall time of the claim, in milliseconds since the epoch.
    pub claimed_ms: u64,
    /// True while the claim stands in the memory of peers and not in the table.
    pub in_memory: bool,
}

/// Prefix of the claims of a shard.
pub(super) fn prefix(domain: Domain, shard: u16) -> String {
    format!("claim/{domain}/{shard:04}/")
}

/// Row key of a claim.
pub(super) fn row_key(domain: Domain, shard: u16, key: &Key) -> String {
    format!("{}{key}", prefix(domain, shard))
}
