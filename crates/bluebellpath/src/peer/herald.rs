//! Whom to tell next, and which news.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
};

use rand::{Rng, seq::SliceRandom};

use super::gossip::PeerUpdate;

/// PeerUpdate in one datagram.
const NEWS: usize = 2;

/// PeerUpdate that wait to be passed on.
const MAX_WAITING: usize = 256;

/// Whom to tell next, and which news.
#[derive(Default)]
pub(super) struct Herald {
    told: BTreeSet<SocketAddr>,
    order: Vec<SocketAddr>,
    news: VecDeque<Rumour>,
}

/// PeerUpdate with the intervals for which they are still passed on.
struct Rumour {
    news: PeerUpdate,
    left: u32,
}

impl Herald {
    /// The next `fanout` of `addresses`, and all that were never told.
    pub(super) fn turn(
        &mut self,
        addresses: &BTreeSet<SocketAddr>,
        fanout: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut turn: Vec<SocketAddr> = addresses.difference(&self.told).copied().collect();
        self.told = addresses.clone();
        self.order.retain(|it| addresses.contains(it));
        let wanted = fanout.min(addresses.len());
        while turn.len() < wanted {
            let next = match self.order.pop() {
                Some(next) => next,
                None => {
                    self.order = addresses.iter().copied().collect();
                    self.order.shuffle(rng);
                    continue;
                }
            };
            if !turn.contains(&next) {
                turn.push(next);
            }
        }
        turn
    }

    /// PeerUpdate for the next datagram.
    pub(super) fn news(&mut self) -> Vec<PeerUpdate> {
        let mut news = Vec::new();
        for _ in 0..NEWS.min(self.news.len()) {
            let Some(mut rumour) = self.news.pop_front() else {
                break;
            };
            news.push(rumour.news.clone());
            rumour.left -= 1;
            if rumour.left > 0 {
                self.news.push_back(rumour);
            }
        }
        news
    }

    /// Passes `news` on among `peers` for as long as it takes to reach them all.
    pub(super) fn spread(&mut self, news: PeerUpdate, peers: usize) {
        self.news
            .retain(|it| it.news.identity.name != news.identity.name);
        if self.news.len() < MAX_WAITING {
            // Epidemics reach all in about log n rounds; twice that for losses.
            let left = 2 * (usize::BITS - peers.leading_zeros()).max(1);
            self.news.push_front(Rumour { news, left });
        }
    }
}
