//! Promises of an instance not to take over from a peer.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use serde::{Deserialize, Serialize};

use super::ClaimRow;
use crate::job::{Incarnation, Key};

/// Claim that stands in memory only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Key.
    pub key: Key,
    /// What its row will say.
    pub claimed: ClaimRow,
}

/// Shard with the version of its lease row that the holder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Shard.
    pub shard: u16,
    /// Version of its lease row.
    pub version: Option<u64>,
}

/// Request of a holder that can't reach the table: not to take its shards over,
/// and to remember the claims that it makes meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExtensionRequest {
    /// Who asks.
    pub holder: Incarnation,
    /// Shards that it holds.
    pub shards: Vec<Holding>,
    /// Number of the outage at the holder.
    pub term: u64,
    /// Time for which the promise is to hold, in milliseconds.
    pub for_ms: u64,
    /// Place of the first claim among all of this outage.
    pub first: u64,
    /// Claims from that place on.
    pub claims: Vec<Held>,
}

/// Reply to a [`ExtensionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtensionReply {
    /// True when the promise is given.
    pub granted: bool,
    /// Claims of this outage that are remembered.
    pub have: u64,
}

#[derive(Default)]
struct Outage {
    term: u64,
    have: u64,
    until: Instant,
}

/// Promises of an instance, and the claims that it remembers for others.
#[derive(Default)]
pub(super) struct Promises {
    outages: RefCell<BTreeMap<Incarnation, Outage>>,
    claims: RefCell<BTreeMap<Key, ClaimRow>>,
    forget: bool,
}

impl Promises {
    /// No promises yet; with `forget`, none that would be kept.
    pub(super) fn new(forget: bool) -> Promises {
        Promises {
            forget,
            ..Promises::default()
        }
    }

    /// Gives the promise unless more than `limit` claims would be remembered.
    pub(super) fn give(&self, hold: ExtensionRequest, limit: usize) -> ExtensionReply {
        if self.forget {
            return ExtensionReply {
                granted: true,
                have: hold.first + hold.claims.len() as u64,
            };
        }
        let mut outages = self.outages.borrow_mut();
        let outage = outages.entry(hold.holder).or_default();
        if outage.term != hold.term {
            outage.term = hold.term;
            outage.have = 0;
        }
        let refused = ExtensionReply {
            granted: false,
            have: outage.have,
        };
        let mut claims = self.claims.borrow_mut();
        let fits = claims.len() + hold.claims.len() <= limit;
        if hold.first > outage.have || !fits {
            return refused;
        }
        let have = hold.first + hold.claims.len() as u64;
        outage.have = outage.have.max(have);
        for held in hold.claims {
            claims.entry(held.key).or_insert(held.claimed);
        }
        let until = clock::now() + Duration::from_millis(hold.for_ms);
        outage.until = outage.until.max(until);
        ExtensionReply {
            granted: true,
            have: outage.have,
        }
    }

    /// True while nothing may be taken over from `holder`.
    pub(super) fn binds(&self, holder: Incarnation) -> bool {
        let outages = self.outages.borrow();
        outages
            .get(&holder)
            .is_some_and(|it| clock::now() < it.until)
    }

    /// Remembers a claim that another instance remembers.
    pub(super) fn remember(&self, held: Held) {
        let mut claims = self.claims.borrow_mut();
        claims.entry(held.key).or_insert(held.claimed);
    }

    /// Claim of `key` that is remembered.
    pub(super) fn find(&self, key: &Key) -> Option<ClaimRow> {
        self.claims.borrow().get(key).cloned()
    }

    /// Claims that are remembered, of all holders or of one.
    pub(super) fn of(&self, holder: Option<Incarnation>) -> Vec<Held> {
        let claims = self.claims.borrow();
        let of_holder = claims
            .iter()
            .filter(|(_, it)| holder.is_none_or(|holder| it.incarnation == holder));
        of_holder
            .map(|(key, claimed)| Held {
                key: key.clone(),
                claimed: claimed.clone(),
            })
            .collect()
    }

    /// Forgets claims that were made before `wall_ms`.
    pub(super) fn expire(&self, wall_ms: u64) {
        let mut claims = self.claims.borrow_mut();
        claims.retain(|_, it| it.claimed_ms >= wall_ms);
    }
}
