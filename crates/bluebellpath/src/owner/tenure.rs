//! Finds out what a predecessor did with a shard.
//!
//! A predecessor that could not reach the table may have continued, but only
//! with an extension granted by every instance that it knew. An instance that it
//! had known for long enough when it last wrote the lease row was asked each
//! time, and so has copies of all claims that were not written. An instance that
//! it had not known asks its peers. If no instance has this knowledge, keys
//! without a row may have been used all the same. They are answered as unknown
//! for as long as callers resubmit.

use bluebellpath_runtime::clock;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use super::{Claims, Holder, ReplicatedClaim, write_queue::Op};
use crate::{
    job::Incarnation,
    peer::{Reply, Request},
};

/// Knowledge of an instance about what a peer did as holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenureReport {
    /// Shards for which the report is complete.
    pub complete_shards: Vec<u16>,
    /// Claims that may be missing from the table.
    pub claims: Vec<ReplicatedClaim>,
}

/// Knowledge of this instance about what `holder` did.
pub(super) fn report(claims: &Claims, holder: Incarnation) -> TenureReport {
    let complete = (0..claims.config.shard_count).filter(|it| is_complete(claims, *it, holder));
    TenureReport {
        complete_shards: complete.collect(),
        claims: claims.extensions.claims_of(Some(holder)),
    }
}

/// True if `holder` knew this instance when it last wrote the lease row.
fn is_complete(claims: &Claims, shard: u16, holder: Incarnation) -> bool {
    let shard = claims.shards.get(shard);
    let known_since = claims.started + claims.config.discovery_time;
    shard.holder == Holder::Other(holder) && shard.written_after >= known_since
}

/// Collects the claims of predecessors from the peers.
///
/// `shards` holds each shard with its predecessor. Returns the shards for which
/// no instance has a complete report.
pub(super) async fn incomplete_shards(claims: &Claims, shards: &[(u16, Incarnation)]) -> Vec<u16> {
    let open = shards
        .iter()
        .filter(|(it, holder)| !is_complete(claims, *it, *holder));
    let open: Vec<(u16, Incarnation)> = open.copied().collect();
    let mut holders: Vec<Incarnation> = open.iter().map(|it| it.1).collect();
    holders.sort_unstable();
    holders.dedup();
    let mut complete = Vec::new();
    for holder in holders {
        for report in ask_peers(claims, holder).await {
            complete.extend(report.complete_shards);
            report
                .claims
                .into_iter()
                .for_each(|it| claims.extensions.add_claim(it));
        }
    }
    let incomplete = open.into_iter().map(|it| it.0);
    incomplete.filter(|it| !complete.contains(it)).collect()
}

async fn ask_peers(claims: &Claims, holder: Incarnation) -> Vec<TenureReport> {
    let peers = claims.membership.peers();
    let calls = peers.iter().map(|it| async {
        let link = claims.membership.link();
        let call = link.call(it.identity.address, Request::ReportTenure { holder });
        match clock::timeout(claims.config.poll_interval, call).await {
            Some(Ok(Reply::Tenure(report))) => Some(report),
            _ => None,
        }
    });
    join_all(calls).await.into_iter().flatten().collect()
}

/// Queues the replicated claims of the predecessors of `shards` for the table.
pub(super) fn import_claims(claims: &Claims, shards: &[u16]) {
    for replicated in claims.extensions.claims_of(None) {
        let shard = replicated.key.shard(claims.config.shard_count);
        let is_home = replicated.key.home_domain(claims.domains) == claims.domain;
        if is_home && shards.contains(&shard) {
            let op = Op::Import {
                key: replicated.key,
                row: replicated.row,
            };
            claims.queue.push(shard, op);
        }
    }
}
