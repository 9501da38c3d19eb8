//! Whether a successor can account for what its predecessor did.
//!
//! A predecessor that could not reach the table may have gone on, but only with
//! the promise of every instance that it knew. An instance that had been known
//! for long when the lease row was last written was asked each time, so it
//! knows all the claims that the row does not show. One that was not asks its
//! peers. When nobody knows, keys that are not in the table may have been used
//! all the same, and are answered as unknown for as long as callers resubmit.

use bluebellpath_runtime::clock;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use super::{Claims, Held, Holder, pending::Op};
use crate::{
    job::Incarnation,
    peer::{Reply, Request},
};

/// What an instance knows of a peer's tenure.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenureReport {
    /// Shards for which the account is full.
    pub shards: Vec<u16>,
    /// Claims that stood in memory only.
    pub claims: Vec<Held>,
}

/// What this instance knows of the tenure of `holder`.
pub(super) fn of(claims: &Claims, holder: Incarnation) -> TenureReport {
    let shards = (0..claims.config.shards).filter(|it| is_full(claims, *it, holder));
    TenureReport {
        shards: shards.collect(),
        claims: claims.promises.of(Some(holder)),
    }
}

/// True when this instance was known to `holder` when it last wrote the row.
fn is_full(claims: &Claims, shard: u16, holder: Incarnation) -> bool {
    let shard = claims.shards.get(shard);
    let known_since = claims.began + claims.config.settle;
    shard.holder == Holder::Other(holder) && shard.written_after >= known_since
}

/// Shards out of `shards`, each with the holder that is to be followed, that
/// nobody can account for.
pub(super) async fn missing(claims: &Claims, shards: &[(u16, Incarnation)]) -> Vec<u16> {
    let open = shards.iter().filter(|(it, of)| !is_full(claims, *it, *of));
    let open: Vec<(u16, Incarnation)> = open.copied().collect();
    let mut holders: Vec<Incarnation> = open.iter().map(|it| it.1).collect();
    holders.sort_unstable();
    holders.dedup();
    let mut full = Vec::new();
    for holder in holders {
        for account in ask(claims, holder).await {
            full.extend(account.shards);
            account
                .claims
                .into_iter()
                .for_each(|it| claims.promises.remember(it));
        }
    }
    let missing = open.into_iter().map(|it| it.0);
    missing.filter(|it| !full.contains(it)).collect()
}

async fn ask(claims: &Claims, holder: Incarnation) -> Vec<TenureReport> {
    let peers = claims.membership.peers();
    let calls = peers.iter().map(|it| async {
        let link = claims.membership.link();
        let call = link.call(it.identity.address, Request::Account { holder });
        match clock::timeout(claims.config.poll, call).await {
            Some(Ok(Reply::Account(account))) => Some(account),
            _ => None,
        }
    });
    join_all(calls).await.into_iter().flatten().collect()
}

/// Enters the claims that are remembered for the predecessor of a shard.
pub(super) fn enter(claims: &Claims, shards: &[u16]) {
    for held in claims.promises.of(None) {
        let shard = held.key.shard(claims.config.shards);
        let is_ours = held.key.home_domain(claims.domains) == claims.domain;
        if is_ours && shards.contains(&shard) {
            let op = Op::Enter {
                key: held.key,
                claimed: held.claimed,
            };
            claims.queue.push(shard, op);
        }
    }
}
