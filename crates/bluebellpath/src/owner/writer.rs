//! Writes claims and renewals, many in one transaction.
//!
//! One transaction is on its way at a time: the versions that the next one
//! depends on are known only then. While it is on its way, the claims of the
//! next one gather, so a slow table means larger transactions, not more.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use futures_util::future::{Either, select};

use super::{
    Claim, Claimed, Claims, Holder,
    claim::{self, Grant},
    lease::Lease,
    pending::{Op, Pending},
};
use crate::platform::{Commit, Conflict, Expect, Write};

/// First pause before a transaction without a definite answer is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Transaction in the making.
struct Batch {
    operation: u64,
    /// Lease rows that it rewrites, with the holder that they then name.
    shards: Vec<u16>,
    /// Writes of claims, in the order of the transaction's further rows.
    pending: Vec<Pending>,
    claimed_ms: u64,
}

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
        let pending = claims.queue.take(claims.config.max_batch);
        write(&claims, pending, is_due).await;
    }
}

/// Waits for something to write, and for the gap after the last transaction.
async fn wait(claims: &Claims, renewed: Instant, began: Instant) {
    loop {
        let arrived = claims.queue.arrived.notified();
        if !claims.queue.is_empty() {
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
    lost.into_iter().for_each(Pending::moved);
    held
}

/// Sends the transaction until the table gives a definite answer.
async fn commit(claims: &Claims, batch: &Batch) -> Commit {
    let writes = batch.writes(claims);
    let mut pause = RETRY_PAUSE;
    loop {
        claims.transactions.set(claims.transactions.get() + 1);
        let commit = claims.table.commit(&writes);
        if let Some(Ok(commit)) = clock::timeout(claims.config.timeout, commit).await {
            return commit;
        }
        clock::sleep(pause).await;
        pause = (pause * 2).min(RETRY_PAUSE_MAX);
    }
}

fn done(claims: &Claims, batch: Batch, versions: &[u64]) {
    let (leases, rows) = versions.split_at(batch.shards.len().min(versions.len()));
    let released = batch.released();
    for (shard, version) in batch.shards.iter().zip(leases) {
        if released.contains(shard) {
            claims.shards.released(*shard, *version);
        } else {
            claims.shards.hold(*shard, *version);
        }
    }
    let mut rows = rows.iter();
    for pending in batch.pending {
        let version = match pending.op {
            Op::Release { .. } => None,
            Op::Claim { .. } | Op::End { .. } => rows.next().copied(),
        };
        let grant = Grant {
            version: version.unwrap_or_default(),
            claimed_ms: batch.claimed_ms,
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

impl Batch {
    fn writes(&self, claims: &Claims) -> Vec<Write> {
        let released = self.released();
        let lease = |shard: &u16| {
            let lease = Lease {
                holder: Some(claims.incarnation).filter(|_| !released.contains(shard)),
                writer: claims.incarnation,
                operation: self.operation,
            };
            let version = claims.shards.get(*shard).version;
            Write {
                key: Lease::row_key(claims.domain, *shard),
                expect: version.map_or(Expect::Absent, Expect::Version),
                value: Some(lease.encode()),
            }
        };
        let leases = self.shards.iter().map(lease);
        let rows = self.pending.iter();
        leases
            .chain(rows.filter_map(|it| it.write(claims, self.claimed_ms)))
            .collect()
    }

    fn released(&self) -> Vec<u16> {
        let releases = |it: &&Pending| matches!(it.op, Op::Release { .. });
        let released = self.pending.iter().filter(releases);
        released.map(|it| it.shard).collect()
    }

    fn rows(&self) -> usize {
        let is_row = |it: &&Pending| !matches!(it.op, Op::Release { .. });
        self.pending.iter().filter(is_row).count()
    }

    /// True when the row in the way was written by this very transaction.
    fn wrote(&self, claims: &Claims, conflict: &Conflict) -> bool {
        let lease = conflict.row.as_ref().and_then(Lease::decode);
        lease.is_some_and(|it| it.writer == claims.incarnation && it.operation == self.operation)
    }
}

impl Pending {
    fn write(&self, claims: &Claims, claimed_ms: u64) -> Option<Write> {
        let (key, expect, value) = match &self.op {
            Op::Claim { key, digest, .. } => {
                let claimed = Claimed {
                    incarnation: claims.incarnation,
                    digest: *digest,
                    claimed_ms,
                    outcome: None,
                };
                (key, Expect::Absent, Some(claimed))
            }
            Op::End {
                key,
                digest,
                version,
                claimed_ms,
                outcome,
            } => {
                let claimed = outcome.map(|outcome| Claimed {
                    incarnation: claims.incarnation,
                    digest: *digest,
                    claimed_ms: *claimed_ms,
                    outcome: Some(outcome),
                });
                (key, Expect::Version(*version), claimed)
            }
            Op::Release { .. } => return None,
        };
        let value = value.map(|it| postcard::to_stdvec(&it).expect("a claim holds only numbers"));
        Some(Write {
            key: claim::row_key(claims.domain, self.shard, key),
            expect,
            value,
        })
    }

    fn granted(self, claims: &Claims, grant: Grant) {
        match self.op {
            Op::Claim { key, digest, reply } => {
                if reply.send(Claim::Granted(grant)).is_err() {
                    // Who asked has given up and will never start the job.
                    let op = Op::End {
                        key,
                        digest,
                        version: grant.version,
                        claimed_ms: grant.claimed_ms,
                        outcome: None,
                    };
                    claims.queue.push(self.shard, op);
                }
            }
            Op::Release { reply } => drop(reply.send(())),
            Op::End { .. } => {}
        }
    }

    fn taken(self, conflict: &Conflict) {
        let Op::Claim { reply, .. } = self.op else {
            // Somebody else has taken care of the row.
            return;
        };
        let row = conflict.row.as_ref();
        let claimed = row.and_then(|it| postcard::from_bytes(&it.value).ok());
        // A receiver that is gone needs no result.
        let _ = reply.send(claimed.map_or(Claim::Moved, Claim::Taken));
    }

    fn moved(self) {
        match self.op {
            // A receiver that is gone needs no result.
            Op::Claim { reply, .. } => drop(reply.send(Claim::Moved)),
            Op::Release { reply } => drop(reply.send(())),
            Op::End { .. } => {}
        }
    }
}
