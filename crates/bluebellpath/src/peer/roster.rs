//! Known peers of one failure domain and their states.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bluebellpath_runtime::Instant;
use derive_more::{Display, Error};
use rand::{Rng, seq::SliceRandom};

use super::{
    Heartbeat, Identity, Phase,
    gossip::{PeerUpdate, Relay, ShortId},
    state::{PeerState, SilenceLimits},
};

/// Maximum number of known peers, including those that are gone.
const MAX_PEERS: usize = 1_024;

/// Time for which a gone peer is kept, so that frames of a replaced incarnation
/// are refused; longer than the maximum age of a frame.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Reason why a heartbeat was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// Sent under this instance's own name.
    #[display("own name")]
    Own,
    /// Sent from another failure domain.
    #[display("other domain")]
    Domain,
    /// A later incarnation of the sender is known, or the sender has left.
    #[display("replaced incarnation")]
    Replaced,
    /// Sequence number not above that of the last accepted heartbeat.
    #[display("replayed")]
    Replayed,
    /// More peers than the maximum.
    #[display("too many peers")]
    Full,
}

/// What a heartbeat changed about its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// First heartbeat of an incarnation.
    Joined,
    /// The phase changed.
    Phase,
    /// Nothing but the time of the last sign of life.
    Alive,
}

/// Known peers of one failure domain.
pub(super) struct Roster {
    local: Identity,
    peers: BTreeMap<String, PeerState>,
    last_expired: Instant,
    silence_start: Instant,
}

impl Roster {
    /// Creates an empty roster for the instance `local`.
    pub(super) fn new(local: Identity, now: Instant) -> Roster {
        Roster {
            local,
            peers: BTreeMap::new(),
            last_expired: now,
            silence_start: now,
        }
    }

    /// Applies a heartbeat.
    ///
    /// Refuses one that fails the checks of [`Refusal`].
    pub(super) fn accept(&mut self, heartbeat: Heartbeat, now: Instant) -> Result<Change, Refusal> {
        let change = self.classify(&heartbeat)?;
        let name = heartbeat.from.name.clone();
        self.peers.insert(name, PeerState::new(heartbeat, now));
        Ok(change)
    }

    /// Applies another instance's report that a peer joined or changed its phase.
    pub(super) fn apply_update(
        &mut self,
        update: &PeerUpdate,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let known = self
            .peers
            .get(&update.identity.name)
            .map(|it| it.heartbeat());
        let known = known.filter(|it| it.from.incarnation == update.identity.incarnation);
        let heartbeat = match known {
            Some(known) => (**known).clone(),
            None => Heartbeat::new(update.identity.clone(), 0),
        };
        let heartbeat = Heartbeat {
            phase: update.phase,
            sequence: update.sequence,
            ..heartbeat
        };
        self.accept(heartbeat, now)
    }

    fn classify(&self, heartbeat: &Heartbeat) -> Result<Change, Refusal> {
        let from = &heartbeat.from;
        if from.name == self.local.name {
            return Err(Refusal::Own);
        }
        if from.domain != self.local.domain {
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
            // An incarnation that left stays gone, also if older datagrams arrive late.
            std::cmp::Ordering::Equal if last.phase == Phase::Left => Err(Refusal::Replaced),
            std::cmp::Ordering::Equal if heartbeat.phase != last.phase => Ok(Change::Phase),
            std::cmp::Ordering::Equal => Ok(Change::Alive),
        }
    }

    /// Applies the times at which another instance last heard from its peers.
    pub(super) fn apply_relays(&mut self, relays: &[Relay], now: Instant) {
        let ages: BTreeMap<ShortId, u8> = relays.iter().map(|it| (it.short_id, it.age)).collect();
        for peer in self.peers.values_mut() {
            let Some(age) = ages.get(&peer.short_id()) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(*age) * Relay::UNIT_MS);
            let nanos = now.as_nanos().saturating_sub(age.as_nanos() as u64);
            let at = Instant::from_nanos(nanos);
            if at > peer.last_heard() {
                *peer = peer.clone().with_relay(at);
            }
        }
    }

    /// Applies the silence limits to all peers; true if a state changed.
    ///
    /// Silence while this instance itself was paused does not count.
    pub(super) fn expire(&mut self, now: Instant, limits: SilenceLimits) -> bool {
        let paused = now.saturating_since(self.last_expired) > limits.suspect;
        if paused {
            let nanos = now.as_nanos() - limits.suspect.as_nanos() as u64;
            self.silence_start = Instant::from_nanos(nanos);
        }
        self.last_expired = now;
        let mut changed = false;
        for peer in self.peers.values_mut() {
            if peer.is_expired(now, self.silence_start, limits) {
                *peer = peer.clone().expired(now, self.silence_start, limits);
                changed = true;
            }
        }
        self.peers.retain(|_, it| !is_forgettable(it, now));
        changed
    }

    /// Relays of up to `count` live peers.
    pub(super) fn pick_relays(&self, count: usize, now: Instant, rng: &mut impl Rng) -> Vec<Relay> {
        let relay = |it: &PeerState| match it {
            PeerState::Live(it) => {
                let age_ms = now.saturating_since(it.last_heard).as_millis() as u64;
                let age = u8::try_from(age_ms.div_ceil(Relay::UNIT_MS)).ok()?;
                Some(Relay {
                    short_id: it.short_id,
                    age,
                })
            }
            PeerState::Silent(_) | PeerState::Gone(_) => None,
        };
        let mut relays: Vec<Relay> = self.peers.values().filter_map(relay).collect();
        relays.shuffle(rng);
        // Takes the fresher half of a random sample: receivers already know stale ages.
        relays.truncate(count * 2);
        relays.sort_by_key(|it| it.age);
        relays.truncate(count);
        relays
    }

    /// Addresses of silent peers.
    pub(super) fn silent(&self) -> Vec<SocketAddr> {
        let silent = self.peers.values().filter_map(|it| match it {
            PeerState::Silent(it) => Some(it.identity.address),
            PeerState::Live(_) | PeerState::Gone(_) => None,
        });
        silent.collect()
    }

    /// Peers sorted by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Addresses of live and silent peers.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let present = self.peers.values().filter(|it| it.is_present());
        present.map(|it| it.identity().address)
    }
}

fn is_forgettable(peer: &PeerState, now: Instant) -> bool {
    matches!(peer, PeerState::Gone(it) if now.saturating_since(it.state.since) > GONE_RETENTION)
}
