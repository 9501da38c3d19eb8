//! Writes claims and lease renewals, many in one transaction.
//!
//! Only one transaction is in flight at a time, because the versions that the
//! next one depends on are known only after its response. New claims are queued
//! meanwhile, so a slow table leads to larger transactions, not to more.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, clock};
use futures_util::future::{Either, select};

use super::{
    Claims, Holder,
    batch::Batch,
    claim::Grant,
    outage,
    write_queue::{Op, PendingWrite},
};
use crate::platform::{Commit, Conflict, Write};

/// Initial backoff before a transaction without a definite answer is sent again.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Writes claims and renewals; never returns.
pub(super) async fn run(claims: Rc<Claims>) {
    let mut last_renewal = clock::now();
    let mut last_started = Instant::default();
    loop {
        wait_for_writes(&claims, last_renewal, last_started).await;
        let renew = clock::now() >= last_renewal + claims.config.renewal_interval;
        last_started = clock::now();
        if renew {
            last_renewal = last_started;
        }
        let limit = claims.config.max_batch_claims;
        let mut pending = take_unwritten(&claims, limit);
        pending.extend(claims.queue.take(limit - pending.len()));
        let pending = one_write_per_key(&claims, pending);
        write(&claims, pending, renew).await;
    }
}

/// Takes claims that are held in memory since an outage.
fn take_unwritten(claims: &Claims, limit: usize) -> Vec<PendingWrite> {
    let mut unwritten = claims.outage.unwritten.borrow_mut();
    unwritten.retain(|it| !it.is_abandoned());
    let count = unwritten.len().min(limit);
    unwritten.drain(..count).collect()
}

/// Keeps the first write of each key and queues the others again: the table
/// doesn't define the effect of two writes of one row in a transaction.
fn one_write_per_key(claims: &Claims, pending: Vec<PendingWrite>) -> Vec<PendingWrite> {
    let mut keys = BTreeSet::new();
    let mut firsts = Vec::new();
    for pending in pending {
        let is_first = pending.key().is_none_or(|it| keys.insert(it.clone()));
        if is_first {
            firsts.push(pending);
        } else {
            claims.queue.push(pending.shard, pending.op);
        }
    }
    firsts
}

/// Waits for a write or a due renewal. Writes also wait for the minimum interval
/// since the last transaction.
async fn wait_for_writes(claims: &Claims, last_renewal: Instant, last_started: Instant) {
    loop {
        let arrived = claims.queue.arrived.notified();
        if !claims.queue.is_empty() || claims.outage.unwritten_count() > 0 {
            return clock::sleep_until(last_started + claims.write_interval()).await;
        }
        let renewal = last_renewal + claims.config.renewal_interval;
        if clock::now() >= renewal {
            return;
        }
        let arrived = std::pin::pin!(arrived);
        if let Either::Right(_) = select(arrived, clock::sleep_until(renewal)).await {
            return;
        }
    }
}

async fn write(claims: &Claims, mut pending: Vec<PendingWrite>, renew: bool) {
    loop {
        pending = reject_lost_shards(claims, pending);
        let mut shards: Vec<u16> = pending.iter().map(|it| it.shard).collect();
        if renew {
            shards.extend(claims.shards.held());
        }
        shards.sort_unstable();
        shards.dedup();
        if shards.is_empty() {
            return;
        }
        let batch = Batch {
            tx_id: claims.next_tx_id(),
            shards,
            pending,
            claimed_ms: clock::wall(),
        };
        match commit(claims, &batch).await {
            Commit::Done(versions) => return apply_commit(claims, batch, &versions),
            Commit::Conflict(conflicts) => match apply_conflicts(claims, batch, &conflicts) {
                Some(rest) => pending = rest,
                None => return,
            },
        }
    }
}

/// Rejects writes for shards that are no longer held and returns the others.
fn reject_lost_shards(claims: &Claims, pending: Vec<PendingWrite>) -> Vec<PendingWrite> {
    let is_held = |it: &PendingWrite| claims.shards.get(it.shard).holder == Holder::Here;
    let (held, lost): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_held);
    for pending in &lost {
        claims.claimed_keys.remove_shard(pending.shard);
    }
    lost.into_iter().for_each(PendingWrite::shard_lost);
    held
}

/// Sends the transaction until the table gives a definite answer. Meanwhile,
/// grants claims without the table where the peers allow it.
async fn commit(claims: &Claims, batch: &Batch) -> Commit {
    let rows = batch.rows(claims);
    if let Some(commit) = attempt(claims, &rows).await {
        return commit;
    }
    let retries = std::pin::pin!(retry(claims, &rows));
    let outage = std::pin::pin!(outage::run(claims, &batch.pending));
    match select(retries, outage).await {
        Either::Left((commit, _)) => commit,
        Either::Right(((), retries)) => retries.await,
    }
}

async fn retry(claims: &Claims, rows: &[Write]) -> Commit {
    let mut backoff = MIN_BACKOFF;
    loop {
        clock::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if let Some(commit) = attempt(claims, rows).await {
            return commit;
        }
    }
}

async fn attempt(claims: &Claims, rows: &[Write]) -> Option<Commit> {
    claims.transactions.set(claims.transactions.get() + 1);
    let commit = claims.table.commit(rows);
    clock::timeout(claims.config.table_timeout, commit)
        .await?
        .ok()
}

fn apply_commit(claims: &Claims, batch: Batch, versions: &[u64]) {
    let (leases, rows) = versions.split_at(batch.shards.len().min(versions.len()));
    let released = batch.released_shards();
    for (shard, version) in batch.shards.iter().zip(leases) {
        if released.contains(shard) {
            claims.claimed_keys.remove_shard(*shard);
            claims.shards.set_released(*shard, *version);
        } else {
            claims.shards.set_held(*shard, *version);
        }
    }
    let mut rows = rows.iter();
    for pending in batch.pending {
        let version = match pending.op {
            Op::Release { .. } => None,
            Op::Claim { .. } | Op::Import { .. } | Op::Outcome { .. } => rows.next().copied(),
        };
        let grant = Grant {
            version: version.unwrap_or_default(),
            claimed_ms: batch.claimed_ms,
            in_memory: false,
        };
        pending.committed(claims, grant);
    }
}

/// Applies conflicting rows and returns the remaining writes; `None` if an
/// earlier attempt had taken effect.
fn apply_conflicts(
    claims: &Claims,
    batch: Batch,
    conflicts: &[Conflict],
) -> Option<Vec<PendingWrite>> {
    let leases = batch.shards.len();
    let (lease_conflicts, claim_conflicts): (Vec<_>, Vec<_>) =
        conflicts.iter().partition(|it| it.index < leases);
    let took_effect = lease_conflicts.iter().any(|it| batch.wrote(claims, it));
    if took_effect {
        apply_lost_commit(claims, batch, conflicts);
        return None;
    }
    for conflict in &lease_conflicts {
        claims
            .shards
            .apply_conflict(batch.shards[conflict.index], conflict.row.as_ref());
    }
    let by_row: BTreeMap<usize, &Conflict> = claim_conflicts
        .into_iter()
        .map(|it| (it.index - leases, it))
        .collect();
    let mut rest = Vec::new();
    let mut row = 0;
    for pending in batch.pending {
        let has_row = !matches!(pending.op, Op::Release { .. });
        match by_row.get(&row).filter(|_| has_row) {
            Some(conflict) => pending.conflicted(conflict),
            None => rest.push(pending),
        }
        row += usize::from(has_row);
    }
    Some(rest)
}

/// Applies a transaction that took effect although its response was lost.
fn apply_lost_commit(claims: &Claims, batch: Batch, conflicts: &[Conflict]) {
    let version = |index: usize| {
        let conflict = conflicts.iter().find(|it| it.index == index)?;
        conflict.row.as_ref().map(|it| it.version)
    };
    // A row without a conflict was deleted by the transaction itself.
    let rows = batch.shards.len() + batch.claim_row_count();
    let versions: Vec<u64> = (0..rows)
        .map(|it| version(it).unwrap_or_default())
        .collect();
    let lost: Vec<&Conflict> = conflicts
        .iter()
        .filter(|it| it.index < batch.shards.len() && !batch.wrote(claims, it))
        .collect();
    let lost: Vec<(u16, Option<crate::platform::Row>)> = lost
        .into_iter()
        .map(|it| (batch.shards[it.index], it.row.clone()))
        .collect();
    apply_commit(claims, batch, &versions);
    for (shard, row) in lost {
        claims.shards.apply_conflict(shard, row.as_ref());
    }
}
