//! Writes that wait for the next transaction.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
};

use bluebellpath_runtime::Notify;
use futures_channel::oneshot;

use super::{Claim, ClaimRow};
use crate::job::{Digest, Key, Outcome};

/// What is to be written.
pub(super) enum Op {
    /// Claim of a key.
    Claim {
        /// Key.
        key: Key,
        /// Job.
        digest: Digest,
        /// Who waits for the result.
        reply: Waiter,
    },
    /// Claim of a predecessor that stood in memory only.
    Enter {
        /// Key.
        key: Key,
        /// Its claim.
        claimed: ClaimRow,
    },
    /// End of a job that was claimed; one that did not run is claimed no more.
    End {
        /// Key.
        key: Key,
        /// Job.
        digest: Digest,
        /// Version of the claim's row.
        version: u64,
        /// Wall time of the claim, in milliseconds since the epoch.
        claimed_ms: u64,
        /// What became of it; `None` deletes the claim.
        outcome: Option<Outcome>,
    },
    /// Hand-over of a shard.
    Release {
        /// Who waits for it.
        reply: oneshot::Sender<()>,
    },
}

/// Who waits for the result of a claim.
pub(super) struct Waiter(Cell<Option<oneshot::Sender<Claim>>>);

impl Waiter {
    pub(super) fn new(sender: oneshot::Sender<Claim>) -> Waiter {
        Waiter(Cell::new(Some(sender)))
    }

    /// Sends the result; false when it had none yet and nobody waits any more,
    /// so that the job will never start.
    pub(super) fn send(&self, claim: Claim) -> bool {
        let sender = self.0.take();
        sender.is_none_or(|it| it.send(claim).is_ok())
    }

    /// True while somebody waits and has no result.
    pub(super) fn is_waiting(&self) -> bool {
        self.look(|it| it.is_some_and(|it| !it.is_canceled()))
    }

    /// True when nobody waits any more and there was no result.
    fn is_abandoned(&self) -> bool {
        self.look(|it| it.is_some_and(|it| it.is_canceled()))
    }

    fn look(&self, look: impl FnOnce(Option<&oneshot::Sender<Claim>>) -> bool) -> bool {
        let sender = self.0.take();
        let seen = look(sender.as_ref());
        self.0.set(sender);
        seen
    }
}

/// Write with the shard that it depends on.
pub(super) struct Pending {
    pub(super) shard: u16,
    pub(super) op: Op,
}

/// Writes that wait for the next transaction.
#[derive(Default)]
pub(super) struct Queue {
    waiting: RefCell<VecDeque<Pending>>,
    pub(super) arrived: Notify,
}

impl Queue {
    pub(super) fn push(&self, shard: u16, op: Op) {
        self.waiting.borrow_mut().push_back(Pending { shard, op });
        self.arrived.notify();
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes up to `limit` claims and leaves the other writes.
    pub(super) fn take_claims(&self, limit: usize) -> Vec<Pending> {
        let is_claim = |it: &Pending| matches!(it.op, Op::Claim { .. });
        let mut waiting = self.waiting.borrow_mut();
        let (claims, rest): (VecDeque<_>, VecDeque<_>) = waiting.drain(..).partition(is_claim);
        *waiting = rest;
        let mut claims = claims.into_iter();
        let taken: Vec<Pending> = claims.by_ref().take(limit).collect();
        waiting.extend(claims);
        taken
    }

    /// Takes up to `limit` writes, those of claims that nobody waits for left
    /// out.
    pub(super) fn take(&self, limit: usize) -> Vec<Pending> {
        let mut waiting = self.waiting.borrow_mut();
        let mut taken = Vec::new();
        while taken.len() < limit {
            let Some(pending) = waiting.pop_front() else {
                break;
            };
            if !pending.is_abandoned() {
                taken.push(pending);
            }
        }
        taken
    }
}

impl Pending {
    /// Key whose row is written.
    pub(super) fn key(&self) -> Option<&Key> {
        match &self.op {
            Op::Claim { key, .. } | Op::Enter { key, .. } | Op::End { key, .. } => Some(key),
            Op::Release { .. } => None,
        }
    }

    pub(super) fn is_abandoned(&self) -> bool {
        matches!(&self.op, Op::Claim { reply, .. } if reply.is_abandoned())
    }
}
