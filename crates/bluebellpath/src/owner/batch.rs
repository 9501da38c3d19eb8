//! One transaction of claims: its rows, and what its result means for each.

use super::{
    Claim, ClaimRow, Claims,
    claim::{self, Grant},
    lease::Lease,
    pending::{Op, Pending},
};
use crate::platform::{Conflict, Expect, Write};

/// Transaction in the making.
pub(super) struct Batch {
    /// Number of the transaction, which its lease rows name.
    pub(super) operation: u64,
    /// Shards whose lease rows it rewrites.
    pub(super) shards: Vec<u16>,
    /// Writes of claims, in the order of the transaction's further rows.
    pub(super) pending: Vec<Pending>,
    /// Wall time of its claims, in milliseconds since the epoch.
    pub(super) claimed_ms: u64,
}

impl Batch {
    pub(super) fn writes(&self, claims: &Claims) -> Vec<Write> {
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

    pub(super) fn released(&self) -> Vec<u16> {
        let releases = |it: &&Pending| matches!(it.op, Op::Release { .. });
        let released = self.pending.iter().filter(releases);
        released.map(|it| it.shard).collect()
    }

    pub(super) fn rows(&self) -> usize {
        let is_row = |it: &&Pending| !matches!(it.op, Op::Release { .. });
        self.pending.iter().filter(is_row).count()
    }

    /// True when the row in the way was written by this very transaction.
    pub(super) fn wrote(&self, claims: &Claims, conflict: &Conflict) -> bool {
        let lease = conflict.row.as_ref().and_then(Lease::decode);
        lease.is_some_and(|it| it.writer == claims.incarnation && it.operation == self.operation)
    }
}

impl Pending {
    pub(super) fn write(&self, claims: &Claims, claimed_ms: u64) -> Option<Write> {
        let (key, expect, value) = match &self.op {
            Op::Claim { key, digest, .. } => {
                let claimed = ClaimRow {
                    incarnation: claims.incarnation,
                    digest: *digest,
                    claimed_ms,
                    outcome: None,
                };
                (key, Expect::Absent, Some(claimed))
            }
            Op::Enter { key, claimed } => (key, Expect::Absent, Some(claimed.clone())),
            Op::End {
                key,
                digest,
                version,
                claimed_ms,
                outcome,
            } => {
                let claimed = outcome.map(|outcome| ClaimRow {
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

    pub(super) fn granted(self, claims: &Claims, grant: Grant) {
        match self.op {
            Op::Claim { key, digest, reply } => {
                claims.know(self.shard, &key);
                if !reply.send(Claim::Granted(grant)) {
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
            Op::Enter { .. } | Op::End { .. } => {}
        }
    }

    pub(super) fn taken(self, conflict: &Conflict) {
        let Op::Claim { reply, .. } = self.op else {
            // Somebody else has taken care of the row.
            return;
        };
        let row = conflict.row.as_ref();
        let claimed = row.and_then(|it| postcard::from_bytes(&it.value).ok());
        reply.send(claimed.map_or(Claim::Moved, Claim::Taken));
    }

    pub(super) fn moved(self) {
        match self.op {
            Op::Claim { reply, .. } => {
                reply.send(Claim::Moved);
            }
            // Who waits for a hand-over may be gone.
            Op::Release { reply } => drop(reply.send(())),
            Op::Enter { .. } | Op::End { .. } => {}
        }
    }
}
