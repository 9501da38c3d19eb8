//! Writes claims and renewals, many in one transaction.
//!
//! One transaction is on its way at a time: the versions that the next one
//! depends on are known only then. While it is on its way, the claims of the
//! next one gather, so a slow table means larger transactions, not more.

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
    hold,
    pending::{Op, Pending},
};
use crate::platform::{Commit, Conflict, Write};

/// First pause before a transaction without a definite answer is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Writes for ever.
pub(super) async fn run(claims: Rc<Claims>) {
    let mut renewed = clock::now();
    let mut began = Instant::default();
    loop {
        wait(&claims, renewed, began).await;
        let is_due = clock::now() >= renewed + claims.config.renewal;
        began = clock::now();
        if is_due {
            renewed = began;
        }
        let limit = claims.config.max_batch;
        let mut pending = owed(&claims, limit);
        pending.extend(claims.queue.take(limit - pending.len()));
        let pending = first_of_each(&claims, pending);
        write(&claims, pending, is_due).await;
    }
}

/// Claims that stand in memory since an outage.
fn owed(claims: &Claims, limit: usize) -> Vec<Pending> {
    let mut owed = claims.hold.owed.borrow_mut();
    owed.retain(|it| !it.is_abandoned());
    let count = owed.len().min(limit);
    owed.drain(..count).collect()
}

/// Leaves one write for each key and puts the others back: what a transaction
/// does with two writes of one row is the table's affair.
fn first_of_each(claims: &Claims, pending: Vec<Pending>) -> Vec<Pending> {
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

/// Waits for something to write, and for the gap after the last transaction.
async fn wait(claims: &Claims, renewed: Instant, began: Instant) {
    loop {
        let arrived = claims.queue.arrived.notified();
        if !claims.queue.is_empty() || claims.hold.len() > 0 {
            return clock::sleep_until(began + claims.gap()).await;
        }
        let renewal = renewed + claims.config.renewal;
        if clock::now() >= renewal {
            return;
        }
        let arrived = std::pin::pin!(arrived);
        if let Either::Right(_) = select(arrived, clock::sleep_until(renewal)).await {
            return;
        }
    }
}

async fn write(claims: &Claims, mut pending: Vec<Pending>, renew: bool) {
    loop {
        pending = still_held(claims, pending);
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
            operation: claims.operation(),
            shards,
            pending,
            claimed_ms: clock::wall(),
        };
        match commit(claims, &batch).await {
            Commit::Done(versions) => return done(claims, batch, &versions),
            Commit::Conflict(conflicts) => match resolve(claims, batch, &conflicts) {
                Some(rest) => pending = rest,
                None => return,
            },
        }
    }
}

/// Turns away the writes for shards that are held no more.
fn still_held(claims: &Claims, pending: Vec<Pending>) -> Vec<Pending> {
    let is_held = |it: &Pending| claims.shards.get(it.shard).holder == Holder::Here;
    let (held, lost): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_held);
    for pending in &lost {
        claims.known.forget(pending.shard);
    }
    lost.into_iter().for_each(Pending::moved);
    held
}

/// Sends the transaction until the table gives a definite answer; goes on
/// without the table meanwhile where the peers allow it.
async fn commit(claims: &Claims, batch: &Batch) -> Commit {
    let writes = batch.writes(claims);
    if let Some(commit) = attempt(claims, &writes).await {
        return commit;
    }
    let again = std::pin::pin!(send_again(claims, &writes));
    let hold = std::pin::pin!(hold::run(claims, &batch.pending));
    match select(again, hold).await {
        Either::Left((commit, _)) => commit,
        Either::Right(((), again)) => again.await,
    }
}

async fn send_again(claims: &Claims, writes: &[Write]) -> Commit {
    let mut pause = RETRY_PAUSE;
    loop {
        clock::sleep(pause).await;
        pause = (pause * 2).min(RETRY_PAUSE_MAX);
        if let Some(commit) = attempt(claims, writes).await {
            return commit;
        }
    }
}

async fn attempt(claims: &Claims, writes: &[Write]) -> Option<Commit> {
    claims.transactions.set(claims.transactions.get() + 1);
    let commit = claims.table.commit(writes);
    clock::timeout(claims.config.timeout, commit).await?.ok()
}

fn done(claims: &Claims, batch: Batch, versions: &[u64]) {
    let (leases, rows) = versions.split_at(batch.shards.len().min(versions.len()));
    let released = batch.released();
    for (shard, version) in batch.shards.iter().zip(leases) {
        if released.contains(shard) {
            claims.known.forget(*shard);
            claims.shards.released(*shard, *version);
        } else {
            claims.shards.hold(*shard, *version);
        }
    }
    let mut rows = rows.iter();
    for pending in batch.pending {
        let version = match pending.op {
            Op::Release { .. } => None,
            Op::Claim { .. } | Op::Enter { .. } | Op::End { .. } => rows.next().copied(),
        };
        let grant = Grant {
            version: version.unwrap_or_default(),
            claimed_ms: batch.claimed_ms,
            in_memory: false,
        };
        pending.granted(claims, grant);
    }
}

/// Takes in what stood in the way; the writes that are left, or `None` when an
/// earlier sending had taken effect.
fn resolve(claims: &Claims, batch: Batch, conflicts: &[Conflict]) -> Option<Vec<Pending>> {
    let leases = batch.shards.len();
    let (lease_rows, claim_rows): (Vec<_>, Vec<_>) =
        conflicts.iter().partition(|it| it.index < leases);
    let took_effect = lease_rows.iter().any(|it| batch.wrote(claims, it));
    if took_effect {
        recover(claims, batch, conflicts);
        return None;
    }
    for conflict in &lease_rows {
        claims
            .shards
            .observe(batch.shards[conflict.index], conflict.row.as_ref());
    }
    let taken: BTreeMap<usize, &Conflict> = claim_rows
        .into_iter()
        .map(|it| (it.index - leases, it))
        .collect();
    let mut rest = Vec::new();
    let mut place = 0;
    for pending in batch.pending {
        let is_row = !matches!(pending.op, Op::Release { .. });
        match taken.get(&place).filter(|_| is_row) {
            Some(conflict) => pending.taken(conflict),
            None => rest.push(pending),
        }
        place += usize::from(is_row);
    }
    Some(rest)
}

/// Takes in a transaction that took effect though its answer was lost.
fn recover(claims: &Claims, batch: Batch, conflicts: &[Conflict]) {
    let version = |index: usize| {
        let conflict = conflicts.iter().find(|it| it.index == index)?;
        conflict.row.as_ref().map(|it| it.version)
    };
    // A row that is not in the way was deleted by the transaction itself.
    let rows = batch.shards.len() + batch.rows();
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
    done(claims, batch, &versions);
    for (shard, row) in lost {
        claims.shards.observe(shard, row.as_ref());
    }
}
