//! Claims of keys that callers chose.

use serde::{Deserialize, Serialize};

use crate::{
    job::{Digest, Incarnation, Key, Outcome},
    settings::Domain,
};

/// Table row of a claimed key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The only incarnation that may start the job.
    pub incarnation: Incarnation,
    /// Digest of the claimed job.
    pub digest: Digest,
    /// Wall time of the claim, in milliseconds since the epoch.
    pub claimed_ms: u64,
    /// Outcome of the job, once known.
    pub outcome: Option<Outcome>,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// This incarnation owns the key; no other will ever start the job.
    Granted(Grant),
    /// The key was claimed before.
    Taken(ClaimRow),
    /// Another instance holds the shard of the key now.
    Moved,
    /// Too many claims wait already; nothing was written.
    Busy,
    /// The key may have been used by a predecessor whose claims are unknown.
    Doubtful,
}

/// Whether a key was used.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// The key was claimed.
    Used(ClaimRow),
    /// The key was never claimed, or its claim was withdrawn unused.
    Unused,
    /// Not known.
    Unclear,
}

/// Granted claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Version of the claim's row.
    pub version: u64,
    /// Wall time of the claim, in milliseconds since the epoch.
    pub claimed_ms: u64,
    /// True if the claim is held in the memory of peers and not in the table.
    pub in_memory: bool,
}

/// Row key prefix of the claims of a shard.
pub(super) fn prefix(domain: Domain, shard: u16) -> String {
    format!("claim/{domain}/{shard:04}/")
}

/// Row key of a claim.
pub(super) fn row_key(domain: Domain, shard: u16, key: &Key) -> String {
    format!("{}{key}", prefix(domain, shard))
}
