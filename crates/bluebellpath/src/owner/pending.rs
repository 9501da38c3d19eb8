//! Writes that wait for the next transaction.

use std::{cell::RefCell, collections::VecDeque};

use bluebellpath_runtime::Notify;
use futures_channel::oneshot;

use super::Claim;
use crate::job::{Digest, Key, Outcome};

/// What is to be written.
pub(super) enum Op {
    /// Claim of a key.
    Claim {
        /// Key.
        key: Key,
        /// Job.
        digest: Digest,
        /// Who waits for the result; one that is gone will not start the job.
        reply: oneshot::Sender<Claim>,
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
    fn is_abandoned(&self) -> bool {
        matches!(&self.op, Op::Claim { reply, .. } if reply.is_canceled())
    }
}
