//! Choice of the receivers and updates of the next datagrams.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
};

use rand::{Rng, seq::SliceRandom};

use super::gossip::PeerUpdate;

/// Maximum number of updates in one datagram.
const MAX_UPDATES: usize = 2;

/// Maximum number of updates that wait to be passed on.
const MAX_QUEUED: usize = 256;

/// Schedule of receivers and updates.
#[derive(Default)]
pub(super) struct GossipSchedule {
    known: BTreeSet<SocketAddr>,
    order: Vec<SocketAddr>,
    queue: VecDeque<QueuedUpdate>,
}

/// Update with the number of datagrams that still carry it.
struct QueuedUpdate {
    update: PeerUpdate,
    remaining: u32,
}

impl GossipSchedule {
    /// Next `fanout` of `addresses`, and all that are new since the last call.
    pub(super) fn next_receivers(
        &mut self,
        addresses: &BTreeSet<SocketAddr>,
        fanout: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut receivers: Vec<SocketAddr> = addresses.difference(&self.known).copied().collect();
        self.known = addresses.clone();
        self.order.retain(|it| addresses.contains(it));
        let wanted = fanout.min(addresses.len());
        while receivers.len() < wanted {
            let next = match self.order.pop() {
                Some(next) => next,
                None => {
                    self.order = addresses.iter().copied().collect();
                    self.order.shuffle(rng);
                    continue;
                }
            };
            if !receivers.contains(&next) {
                receivers.push(next);
            }
        }
        receivers
    }

    /// Updates for the next datagram.
    pub(super) fn next_updates(&mut self) -> Vec<PeerUpdate> {
        let mut updates = Vec::new();
        for _ in 0..MAX_UPDATES.min(self.queue.len()) {
            let Some(mut queued) = self.queue.pop_front() else {
                break;
            };
            updates.push(queued.update.clone());
            queued.remaining -= 1;
            if queued.remaining > 0 {
                self.queue.push_back(queued);
            }
        }
        updates
    }

    /// Queues `update` for as many datagrams as it takes to reach all `peers`.
    pub(super) fn enqueue(&mut self, update: PeerUpdate, peers: usize) {
        self.queue
            .retain(|it| it.update.identity.name != update.identity.name);
        if self.queue.len() < MAX_QUEUED {
            // Gossip reaches all peers in about log n rounds; doubled because datagrams get lost.
            let remaining = 2 * (usize::BITS - peers.leading_zeros()).max(1);
            self.queue.push_front(QueuedUpdate { update, remaining });
        }
    }
}
