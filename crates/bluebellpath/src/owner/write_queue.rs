//! Writes that wait for the next transaction.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
};

use bluebellpath_runtime::Notify;
use futures_channel::oneshot;

use super::{Claim, ClaimRow};
use crate::job::{Digest, Key, Outcome};

/// Operation on the table.
pub(super) enum Op {
    /// Claims a key.
    Claim {
        /// Key.
        key: Key,
        /// Digest of the job.
        digest: Digest,
        /// Receives the result.
        reply: ClaimReply,
    },
    /// Writes a predecessor's claim that was held in memory only.
    Import {
        /// Key.
        key: Key,
        /// Row of the claim.
        row: ClaimRow,
    },
    /// Records the outcome of a claimed job.
    Outcome {
        /// Key.
        key: Key,
        /// Digest of the job.
        digest: Digest,
        /// Version of the claim's row.
        version: u64,
        /// Wall time of the claim, in milliseconds since the epoch.
        claimed_ms: u64,
        /// Outcome; `None` deletes the claim, as the job did not run.
        outcome: Option<Outcome>,
    },
    /// Releases a shard.
    Release {
        /// Signalled after the release.
        reply: oneshot::Sender<()>,
    },
}

/// Sender of the result of a claim.
pub(super) struct ClaimReply(Cell<Option<oneshot::Sender<Claim>>>);

impl ClaimReply {
    pub(super) fn new(sender: oneshot::Sender<Claim>) -> ClaimReply {
        ClaimReply(Cell::new(Some(sender)))
    }

    /// Sends the result unless one was sent before. Returns false if the
    /// receiver was dropped without a result; the job will then never start.
    pub(super) fn send(&self, claim: Claim) -> bool {
        let sender = self.0.take();
        sender.is_none_or(|it| it.send(claim).is_ok())
    }

    /// True while the receiver waits for the result.
    pub(super) fn is_waiting(&self) -> bool {
        self.inspect(|it| it.is_some_and(|it| !it.is_canceled()))
    }

    /// True if the receiver was dropped without a result.
    fn is_abandoned(&self) -> bool {
        self.inspect(|it| it.is_some_and(|it| it.is_canceled()))
    }

    fn inspect(&self, predicate: impl FnOnce(Option<&oneshot::Sender<Claim>>) -> bool) -> bool {
        let sender = self.0.take();
        let result = predicate(sender.as_ref());
        self.0.set(sender);
        result
    }
}

/// Write with the shard whose lease it depends on.
pub(super) struct PendingWrite {
    pub(super) shard: u16,
    pub(super) op: Op,
}

/// Writes that wait for the next transaction.
#[derive(Default)]
pub(super) struct WriteQueue {
    writes: RefCell<VecDeque<PendingWrite>>,
    pub(super) arrived: Notify,
}

impl WriteQueue {
    pub(super) fn push(&self, shard: u16, op: Op) {
        self.writes
            .borrow_mut()
            .push_back(PendingWrite { shard, op });
        self.arrived.notify();
    }

    pub(super) fn len(&self) -> usize {
        self.writes.borrow().len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes up to `limit` claims; other writes stay in the queue.
    pub(super) fn take_claims(&self, limit: usize) -> Vec<PendingWrite> {
        let is_claim = |it: &PendingWrite| matches!(it.op, Op::Claim { .. });
        let mut writes = self.writes.borrow_mut();
        let (claims, rest): (VecDeque<_>, VecDeque<_>) = writes.drain(..).partition(is_claim);
        *writes = rest;
        let mut claims = claims.into_iter();
        let taken: Vec<PendingWrite> = claims.by_ref().take(limit).collect();
        writes.extend(claims);
        taken
    }

    /// Removes up to `limit` writes; drops abandoned claims.
    pub(super) fn take(&self, limit: usize) -> Vec<PendingWrite> {
        let mut writes = self.writes.borrow_mut();
        let mut taken = Vec::new();
        while taken.len() < limit {
            let Some(write) = writes.pop_front() else {
                break;
            };
            if !write.is_abandoned() {
                taken.push(write);
            }
        }
        taken
    }
}

impl PendingWrite {
    /// Key whose row is written.
    pub(super) fn key(&self) -> Option<&Key> {
        match &self.op {
            Op::Claim { key, .. } | Op::Import { key, .. } | Op::Outcome { key, .. } => Some(key),
            Op::Release { .. } => None,
        }
    }

    /// True for a claim whose result nobody waits for.
    pub(super) fn is_abandoned(&self) -> bool {
        matches!(&self.op, Op::Claim { reply, .. } if reply.is_abandoned())
    }
}
