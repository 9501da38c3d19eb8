//! A transaction of claims: its rows, and the effect of its result on each write.

use super::{
    Claim, ClaimRow, Claims,
    claim::{self, Grant},
    lease::Lease,
    write_queue::{Op, PendingWrite},
};
use crate::platform::{Conflict, Expect, Write};

/// Transaction to be committed.
pub(super) struct Batch {
    /// Number of the transaction, written into its lease rows.
    pub(super) tx_id: u64,
    /// Shards whose lease rows it rewrites.
    pub(super) shards: Vec<u16>,
    /// Writes of claims, in the order of the rows after the lease rows.
    pub(super) pending: Vec<PendingWrite>,
    /// Wall time of its claims, in milliseconds since the epoch.
    pub(super) claimed_ms: u64,
}

impl Batch {
    /// Rows of the transaction: lease rows first, then those of `pending`.
    pub(super) fn rows(&self, claims: &Claims) -> Vec<Write> {
        let released = self.released_shards();
        let lease = |shard: &u16| {
            let lease = Lease {
                holder: Some(claims.incarnation).filter(|_| !released.contains(shard)),
                writer: claims.incarnation,
                tx_id: self.tx_id,
            };
            let version = claims.shards.get(*shard).version;
            Write {
                key: Lease::row_key(claims.domain, *shard),
                expect: version.map_or(Expect::Absent, Expect::Version),
                value: Some(lease.encode()),
            }
        };
        let leases = self.shards.iter().map(lease);
        let writes = self.pending.iter();
        leases
            .chain(writes.filter_map(|it| it.row(claims, self.claimed_ms)))
            .collect()
    }

    pub(super) fn released_shards(&self) -> Vec<u16> {
        let is_release = |it: &&PendingWrite| matches!(it.op, Op::Release { .. });
        let released = self.pending.iter().filter(is_release);
        released.map(|it| it.shard).collect()
    }

    /// Number of rows other than lease rows.
    pub(super) fn claim_row_count(&self) -> usize {
        let has_row = |it: &&PendingWrite| !matches!(it.op, Op::Release { .. });
        self.pending.iter().filter(has_row).count()
    }

    /// True if this transaction itself wrote the conflicting row.
    pub(super) fn wrote(&self, claims: &Claims, conflict: &Conflict) -> bool {
        let lease = conflict.row.as_ref().and_then(Lease::decode);
        lease.is_some_and(|it| it.writer == claims.incarnation && it.tx_id == self.tx_id)
    }
}

impl PendingWrite {
    /// Row to write; `None` for a release, which changes a lease row only.
    pub(super) fn row(&self, claims: &Claims, claimed_ms: u64) -> Option<Write> {
        let (key, expect, value) = match &self.op {
            Op::Claim { key, digest, .. } => {
                let row = ClaimRow {
                    incarnation: claims.incarnation,
                    digest: *digest,
                    claimed_ms,
                    outcome: None,
                };
                (key, Expect::Absent, Some(row))
            }
            Op::Import { key, row } => (key, Expect::Absent, Some(row.clone())),
            Op::Outcome {
                key,
                digest,
                version,
                claimed_ms,
                outcome,
            } => {
                let row = outcome.map(|outcome| ClaimRow {
                    incarnation: claims.incarnation,
                    digest: *digest,
                    claimed_ms: *claimed_ms,
                    outcome: Some(outcome),
                });
                (key, Expect::Version(*version), row)
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

    /// Completes a write that was committed.
    pub(super) fn committed(self, claims: &Claims, grant: Grant) {
        match self.op {
            Op::Claim { key, digest, reply } => {
                claims.add_claimed_key(self.shard, &key);
                if !reply.send(Claim::Granted(grant)) {
                    // The requester gave up and will never start the job, so the
                    // claim is withdrawn.
                    let op = Op::Outcome {
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
            Op::Import { .. } | Op::Outcome { .. } => {}
        }
    }

    /// Completes a write whose row conflicted with an existing row.
    pub(super) fn conflicted(self, conflict: &Conflict) {
        let Op::Claim { reply, .. } = self.op else {
            // Another instance has already updated the row.
            return;
        };
        let row = conflict.row.as_ref();
        let existing = row.and_then(|it| postcard::from_bytes(&it.value).ok());
        reply.send(existing.map_or(Claim::Moved, Claim::Taken));
    }

    /// Completes a write for a shard that is no longer held.
    pub(super) fn shard_lost(self) {
        match self.op {
            Op::Claim { reply, .. } => {
                reply.send(Claim::Moved);
            }
            // The receiver of a release may be gone.
            Op::Release { reply } => drop(reply.send(())),
            Op::Import { .. } | Op::Outcome { .. } => {}
        }
    }
}
