//! Peers of one domain, each with its standing.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bluebellpath_runtime::Instant;
use derive_more::{Display, Error};
use rand::{Rng, seq::SliceRandom};

use super::{
    Heartbeat, Identity, Phase,
    gossip::{PeerUpdate, Relay, Tag},
    state::{Limits, PeerState},
};

/// Most peers that are remembered, those that have gone included.
const MAX_PEERS: usize = 1_024;

/// Time for which a peer that has gone is remembered, so that frames of an
/// incarnation that was replaced are refused; longer than a frame may be old.
const MEMORY: Duration = Duration::from_secs(600);

/// Why a heartbeat was not taken in.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// Sent by this instance's own name.
    #[display("own name")]
    Own,
    /// Sent from another failure domain.
    #[display("other domain")]
    Domain,
    /// A later incarnation of the sender is known.
    #[display("replaced incarnation")]
    Replaced,
    /// No later than one that was taken in before.
    #[display("replayed")]
    Replayed,
    /// More peers than can be true.
    #[display("too many peers")]
    Full,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// First word of an incarnation.
    Joined,
    /// Other phase than before.
    Phase,
    /// Nothing but a sign of life.
    Heard,
}

/// Peers of one domain.
pub(super) struct Roster {
    own: Identity,
    peers: BTreeMap<String, PeerState>,
    aged: Instant,
    floor: Instant,
}

impl Roster {
    /// Roster as kept by `own`.
    pub(super) fn new(own: Identity, now: Instant) -> Roster {
        Roster {
            own,
            peers: BTreeMap::new(),
            aged: now,
            floor: now,
        }
    }

    /// Takes in a heartbeat that came from its sender.
    pub(super) fn take(&mut self, heartbeat: Heartbeat, now: Instant) -> Result<Change, Refusal> {
        let change = self.judge(&heartbeat)?;
        let name = heartbeat.from.name.clone();
        self.peers.insert(name, PeerState::new(heartbeat, now));
        Ok(change)
    }

    /// Takes in what another instance says of a peer's coming or phase.
    pub(super) fn learn(&mut self, news: &PeerUpdate, now: Instant) -> Result<Change, Refusal> {
        let known = self.peers.get(&news.identity.name).map(|it| it.heartbeat());
        let known = known.filter(|it| it.from.incarnation == news.identity.incarnation);
        let heartbeat = match known {
            Some(known) => (**known).clone(),
            None => Heartbeat::new(news.identity.clone(), 0),
        };
        let heartbeat = Heartbeat {
            phase: news.phase,
            sequence: news.sequence,
            ..heartbeat
        };
        self.take(heartbeat, now)
    }

    fn judge(&self, heartbeat: &Heartbeat) -> Result<Change, Refusal> {
        let from = &heartbeat.from;
        if from.name == self.own.name {
            return Err(Refusal::Own);
        }
        if from.domain != self.own.domain {
            return Err(Refusal::Domain);
        }
        let Some(known) = self.peers.get(&from.name) else {
            return match self.peers.len() < MAX_PEERS {
                true => Ok(Change::Joined),
                false => Err(Refusal::Full),
            };
        };
        let last = known.heartbeat();
        match from.incarnation.cmp(&known.identity().incarnation) {
            std::cmp::Ordering::Less => Err(Refusal::Replaced),
            std::cmp::Ordering::Greater => Ok(Change::Joined),
            std::cmp::Ordering::Equal if heartbeat.sequence <= last.sequence => {
                Err(Refusal::Replayed)
            }
            // Its last word stands, whatever was still under way.
            std::cmp::Ordering::Equal if last.phase == Phase::Left => Err(Refusal::Replaced),
            std::cmp::Ordering::Equal if heartbeat.phase != last.phase => Ok(Change::Phase),
            std::cmp::Ordering::Equal => Ok(Change::Heard),
        }
    }

    /// Takes in when others last heard of their peers.
    pub(super) fn relay(&mut self, relays: &[Relay], now: Instant) {
        let ages: BTreeMap<Tag, u8> = relays.iter().map(|it| (it.tag, it.age)).collect();
        for standing in self.peers.values_mut() {
            let Some(age) = ages.get(&standing.tag()) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(*age) * Relay::UNIT_MS);
            let nanos = now.as_nanos().saturating_sub(age.as_nanos() as u64);
            let at = Instant::from_nanos(nanos);
            if at > standing.last() {
                *standing = standing.clone().relayed(at);
            }
        }
    }

    /// Moves peers on that said nothing for too long; true when one did.
    ///
    /// Silence while this instance itself was paused is not held against them.
    pub(super) fn age(&mut self, now: Instant, limits: Limits) -> bool {
        let paused = now.saturating_since(self.aged) > limits.suspect;
        if paused {
            let nanos = now.as_nanos() - limits.suspect.as_nanos() as u64;
            self.floor = Instant::from_nanos(nanos);
        }
        self.aged = now;
        let mut changed = false;
        for standing in self.peers.values_mut() {
            if standing.is_due(now, self.floor, limits) {
                *standing = standing.clone().aged(now, self.floor, limits);
                changed = true;
            }
        }
        self.peers.retain(|_, it| !forgotten(it, now));
        changed
    }

    /// Up to `count` peers that were heard of lately.
    pub(super) fn relays(&self, count: usize, now: Instant, rng: &mut impl Rng) -> Vec<Relay> {
        let relay = |it: &PeerState| match it {
            PeerState::Live(it) => {
                let age_ms = now.saturating_since(it.heard).as_millis() as u64;
                let age = u8::try_from(age_ms.div_ceil(Relay::UNIT_MS)).ok()?;
                Some(Relay { tag: it.tag, age })
            }
            PeerState::Silent(_) | PeerState::Gone(_) => None,
        };
        let mut relays: Vec<Relay> = self.peers.values().filter_map(relay).collect();
        relays.shuffle(rng);
        // The fresher half of a sample: stale ages are news to nobody.
        relays.truncate(count * 2);
        relays.sort_by_key(|it| it.age);
        relays.truncate(count);
        relays
    }

    /// Addresses of peers that say nothing.
    pub(super) fn silent(&self) -> Vec<SocketAddr> {
        let silent = self.peers.values().filter_map(|it| match it {
            PeerState::Silent(it) => Some(it.identity.address),
            PeerState::Live(_) | PeerState::Gone(_) => None,
        });
        silent.collect()
    }

    /// Peers in the order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Addresses of peers that are there.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let there = self.peers.values().filter(|it| it.is_there());
        there.map(|it| it.identity().address)
    }
}

fn forgotten(standing: &PeerState, now: Instant) -> bool {
    matches!(standing, PeerState::Gone(it) if now.saturating_since(it.state.since) > MEMORY)
}
