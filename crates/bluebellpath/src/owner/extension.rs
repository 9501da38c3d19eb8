//! Lease extensions that instances grant each other without the table.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use serde::{Deserialize, Serialize};

use super::ClaimRow;
use crate::job::{Incarnation, Key};

/// Claim that is kept in the memory of peers and not yet in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedClaim {
    /// Key.
    pub key: Key,
    /// Row that is to be written.
    pub row: ClaimRow,
}

/// Shard with the version of its lease row that the holder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// Shard.
    pub shard: u16,
    /// Version of its lease row.
    pub version: Option<u64>,
}

/// Request of a holder that can't reach the table. The receiver is not to take
/// its shards over, and is to keep copies of the claims made meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExtensionRequest {
    /// Incarnation that asks.
    pub holder: Incarnation,
    /// Shards that it holds.
    pub shards: Vec<ShardLease>,
    /// Number of the outage at the holder.
    pub term: u64,
    /// Duration of the extension, in milliseconds.
    pub for_ms: u64,
    /// Index of the first claim in `claims` among all claims of this outage.
    pub first: u64,
    /// Claims from that index on.
    pub claims: Vec<ReplicatedClaim>,
}

/// Reply to an [`ExtensionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtensionReply {
    /// True if the extension is granted.
    pub granted: bool,
    /// Number of claims of this outage that the peer has copies of.
    pub have: u64,
}

#[derive(Default)]
struct Extension {
    term: u64,
    have: u64,
    until: Instant,
}

/// Extensions that this instance granted, with copies of the holders' claims.
#[derive(Default)]
pub(super) struct Extensions {
    by_holder: RefCell<BTreeMap<Incarnation, Extension>>,
    claims: RefCell<BTreeMap<Key, ClaimRow>>,
    ignore: bool,
}

impl Extensions {
    /// Creates an empty set; with `ignore`, extensions are granted without effect.
    pub(super) fn new(ignore: bool) -> Extensions {
        Extensions {
            ignore,
            ..Extensions::default()
        }
    }

    /// Grants the extension unless a claim before the request's first is missing
    /// or more than `limit` claims would be kept.
    pub(super) fn grant(&self, request: ExtensionRequest, limit: usize) -> ExtensionReply {
        if self.ignore {
            return ExtensionReply {
                granted: true,
                have: request.first + request.claims.len() as u64,
            };
        }
        let mut by_holder = self.by_holder.borrow_mut();
        let extension = by_holder.entry(request.holder).or_default();
        if extension.term != request.term {
            extension.term = request.term;
            extension.have = 0;
        }
        let refused = ExtensionReply {
            granted: false,
            have: extension.have,
        };
        let mut claims = self.claims.borrow_mut();
        let fits = claims.len() + request.claims.len() <= limit;
        if request.first > extension.have || !fits {
            return refused;
        }
        let have = request.first + request.claims.len() as u64;
        extension.have = extension.have.max(have);
        for claim in request.claims {
            claims.entry(claim.key).or_insert(claim.row);
        }
        let until = clock::now() + Duration::from_millis(request.for_ms);
        extension.until = extension.until.max(until);
        ExtensionReply {
            granted: true,
            have: extension.have,
        }
    }

    /// True while an extension prevents a takeover of the shards of `holder`.
    pub(super) fn is_active(&self, holder: Incarnation) -> bool {
        let by_holder = self.by_holder.borrow();
        by_holder
            .get(&holder)
            .is_some_and(|it| clock::now() < it.until)
    }

    /// Adds a claim reported by another instance.
    pub(super) fn add_claim(&self, claim: ReplicatedClaim) {
        let mut claims = self.claims.borrow_mut();
        claims.entry(claim.key).or_insert(claim.row);
    }

    /// Row of the replicated claim of `key`.
    pub(super) fn find(&self, key: &Key) -> Option<ClaimRow> {
        self.claims.borrow().get(key).cloned()
    }

    /// Replicated claims of `holder`, or of all holders.
    pub(super) fn claims_of(&self, holder: Option<Incarnation>) -> Vec<ReplicatedClaim> {
        let claims = self.claims.borrow();
        let of_holder = claims
            .iter()
            .filter(|(_, it)| holder.is_none_or(|holder| it.incarnation == holder));
        of_holder
            .map(|(key, row)| ReplicatedClaim {
                key: key.clone(),
                row: row.clone(),
            })
            .collect()
    }

    /// Removes claims that were made before the wall time `oldest_ms`.
    pub(super) fn remove_claims_before(&self, oldest_ms: u64) {
        let mut claims = self.claims.borrow_mut();
        claims.retain(|_, it| it.claimed_ms >= oldest_ms);
    }
}
