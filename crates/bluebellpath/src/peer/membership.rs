/*!
Membership of the entry instances of a failure domain.

In every interval an instance sends its heartbeat to a few peers, in a shuffled
order that reaches each peer once per round. The datagram also relays when the
sender last heard from some other peers. The bytes sent per second are bounded
regardless of the size of the domain: in a larger domain a round takes longer,
and relays make up for it. A silent peer is probed directly before it counts as
gone.

A peer is accepted by its authenticated heartbeat, whether it is in the
platform's instance list or not, because the list lags by half a minute. An
instance that starts sends its heartbeat to all listed instances at once, and
each replies. Instances that are not listed yet are learned from gossip updates.
*/

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Notify, clock, spawn};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{
    Config, Datagram, Heartbeat, Identity, Link, Peer, Phase, Source, Traffic, frame,
    gossip::{Gossip, PeerUpdate, Relay},
    gossip_schedule::GossipSchedule,
    roster::{Change, Refusal, Roster},
    state::{PeerState, SilenceLimits},
};
use crate::{
    job::Incarnation,
    platform::{Instance, Role},
    settings::Domain,
};

/// Maximum number of silent peers that are probed in one interval.
const MAX_PROBES: usize = 2;

/// Factor by which relays shorten the time until a sign of life reaches all peers.
const RELAY_SPEEDUP: usize = 3;

/// Live entry instances of a failure domain, as seen by one of them.
pub struct Membership {
    identity: Identity,
    config: Config,
    link: Rc<dyn Link>,
    listed: RefCell<Vec<Instance>>,
    roster: RefCell<Roster>,
    schedule: RefCell<GossipSchedule>,
    traffic: RefCell<Traffic>,
    rng: RefCell<StdRng>,
    sequence: Cell<u64>,
    changed: Notify,
}

impl Membership {
    /// Creates the membership of the instance `identity`.
    pub fn new(identity: Identity, link: Rc<dyn Link>, config: Config) -> Membership {
        let seed = identity.incarnation.to_u64();
        Membership {
            roster: RefCell::new(Roster::new(identity.clone(), clock::now())),
            identity,
            config,
            link,
            listed: RefCell::default(),
            schedule: RefCell::default(),
            traffic: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            sequence: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Identity of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Network to the peers.
    pub fn link(&self) -> &Rc<dyn Link> {
        &self.link
    }

    /// Replaces the listed entry instances by those in the platform's list.
    pub fn observe(&self, instances: &[Instance]) {
        let entries = instances.iter().filter(|it| it.role == Role::Entry);
        *self.listed.borrow_mut() = entries.cloned().collect();
    }

    /// Peers of this domain that are live or silent.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.expire_peers();
        let roster = self.roster.borrow();
        let present = roster.iter().filter(|it| it.is_present());
        let peer = |it: &PeerState| {
            Rc::new(Peer {
                identity: it.identity().clone(),
                heartbeat: it.heartbeat().clone(),
                heard: it.last_heard(),
            })
        };
        present.map(peer).collect()
    }

    /// Live or silent peer of this domain with the given incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Rc<Peer>> {
        self.peers()
            .into_iter()
            .find(|it| it.identity.incarnation == incarnation)
    }

    /// State of every known peer, including those that are gone.
    pub fn peer_states(&self) -> Vec<PeerState> {
        self.expire_peers();
        self.roster.borrow().iter().cloned().collect()
    }

    /// Addresses of the listed entry instances of `domain`, except this one.
    pub fn entries(&self, domain: Domain) -> Vec<SocketAddr> {
        let listed = self.listed.borrow();
        let others = listed
            .iter()
            .filter(|it| it.domain == domain && it.name != self.identity.name);
        others.map(|it| it.address).collect()
    }

    /// Notifies when a heartbeat is accepted or the state of a peer changes.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Traffic counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.borrow().clone()
    }

    /// Sends heartbeats and processes those of peers, forever.
    pub async fn run(self: Rc<Self>, source: Rc<dyn Source>) {
        drop(spawn(self.clone().listen(source.clone())));
        loop {
            self.send_heartbeat(source.as_ref());
            clock::sleep(self.config.interval).await;
        }
    }

    /// Sends the next heartbeat at once, for an instance that has just read its
    /// first instance list.
    pub(crate) fn announce(&self, source: &dyn Source) {
        self.send_heartbeat(source);
    }

    /// Tells all peers that this instance stops.
    pub fn leave(&self, source: &dyn Source) {
        let mut gossip = self.compose(source, 1, false);
        gossip.heartbeat.phase = Phase::Left;
        self.send(&gossip, &self.addresses());
    }

    /// Applies the silence limits to all peers; true if a state changed.
    fn expire_peers(&self) -> bool {
        let mut roster = self.roster.borrow_mut();
        let propagation = self.propagation_time(roster.addresses().count());
        let limits = SilenceLimits {
            suspect: self.config.suspect + propagation,
            timeout: self.config.timeout + propagation * 3 / 2,
        };
        roster.expire(clock::now(), limits)
    }

    /// Time that a sign of life may take to spread among `peers` through relays.
    fn propagation_time(&self, peers: usize) -> Duration {
        let intervals = peers.div_ceil(self.config.fanout.max(1));
        self.config.interval * (intervals / RELAY_SPEEDUP) as u32
    }

    fn send_heartbeat(&self, source: &dyn Source) {
        if self.expire_peers() {
            self.changed.notify();
        }
        let addresses = self.addresses();
        let receivers = {
            let mut rng = self.rng.borrow_mut();
            let mut schedule = self.schedule.borrow_mut();
            schedule.next_receivers(&addresses, self.config.fanout, &mut *rng)
        };
        let gossip = self.compose(source, self.config.fanout.min(receivers.len()), false);
        self.send(&gossip, &receivers);
        let silent = self.sample_silent();
        if !silent.is_empty() {
            let probe = self.compose(source, self.config.fanout, true);
            self.send(&probe, &silent);
        }
    }

    /// Addresses of the domain's other instances, from the list and from heartbeats.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let listed = self.entries(self.identity.domain);
        let roster = self.roster.borrow();
        let heard = roster.addresses();
        let all = listed.into_iter().chain(heard);
        all.filter(|it| *it != self.identity.address).collect()
    }

    /// Random sample of the silent peers.
    fn sample_silent(&self) -> Vec<SocketAddr> {
        let mut silent = self.roster.borrow().silent();
        silent.shuffle(&mut *self.rng.borrow_mut());
        silent.truncate(MAX_PROBES);
        silent
    }

    /// Gossip that fits the byte budget if it goes to `receivers` peers per interval.
    fn compose(&self, source: &dyn Source, receivers: usize, probe: bool) -> Gossip {
        self.sequence.set(self.sequence.get() + 1);
        let mut heartbeat = Heartbeat::new(self.identity.clone(), self.sequence.get());
        source.fill(&mut heartbeat);
        let limit = self.config.frame_bytes(receivers);
        let mut gossip = Gossip::new(heartbeat, probe, limit);
        for update in self.schedule.borrow_mut().next_updates() {
            gossip.add_update(update, limit);
        }
        gossip.relays = self.pick_relays(gossip.free_bytes(limit) / Relay::BYTES);
        gossip
    }

    /// Relays of up to `count` live peers.
    fn pick_relays(&self, count: usize) -> Vec<Relay> {
        let mut rng = self.rng.borrow_mut();
        self.roster
            .borrow()
            .pick_relays(count, clock::now(), &mut *rng)
    }

    fn send<'a>(&self, gossip: &Gossip, to: impl IntoIterator<Item = &'a SocketAddr>) {
        let Ok(bytes) = frame::seal(&self.config.key, clock::wall(), gossip) else {
            return;
        };
        let mut traffic = self.traffic.borrow_mut();
        for address in to {
            traffic.sent += 1;
            traffic.sent_bytes += bytes.len() as u64;
            self.link.send(*address, &bytes);
        }
    }

    async fn listen(self: Rc<Self>, source: Rc<dyn Source>) {
        loop {
            let datagram = self.link.receive().await;
            self.handle_datagram(&datagram, source.as_ref());
        }
    }

    fn handle_datagram(&self, datagram: &Datagram, source: &dyn Source) {
        let opened = frame::open::<Gossip>(&self.config.key, clock::wall(), &datagram.bytes);
        let gossip = match opened {
            Ok(gossip) => gossip,
            Err(fault) => {
                *self.traffic.borrow_mut().dropped.entry(fault).or_default() += 1;
                return;
            }
        };
        let from = gossip.heartbeat.from.address;
        let update = PeerUpdate {
            identity: gossip.heartbeat.from.clone(),
            phase: gossip.heartbeat.phase,
            sequence: gossip.heartbeat.sequence,
        };
        let change = match self.accept(gossip.heartbeat) {
            Ok(change) => change,
            Err(refusal) => {
                *self
                    .traffic
                    .borrow_mut()
                    .refused
                    .entry(refusal)
                    .or_default() += 1;
                return;
            }
        };
        self.traffic.borrow_mut().accepted += 1;
        self.enqueue_update(change, update);
        self.apply_updates(&gossip.updates);
        let now = clock::now();
        self.roster.borrow_mut().apply_relays(&gossip.relays, now);
        if gossip.probe || change == Change::Joined {
            let reply = self.compose(source, self.config.fanout, false);
            self.send(&reply, [&from]);
        }
        self.changed.notify();
    }

    fn accept(&self, heartbeat: Heartbeat) -> Result<Change, Refusal> {
        self.roster.borrow_mut().accept(heartbeat, clock::now())
    }

    fn apply_updates(&self, updates: &[PeerUpdate]) {
        for update in updates {
            let applied = self.roster.borrow_mut().apply_update(update, clock::now());
            if let Ok(change) = applied {
                self.enqueue_update(change, update.clone());
            }
        }
    }

    /// Queues an update for the peers if a peer joined or changed its phase.
    fn enqueue_update(&self, change: Change, update: PeerUpdate) {
        if change != Change::Alive {
            let peers = self.roster.borrow().iter().count();
            self.schedule.borrow_mut().enqueue(update, peers);
        }
    }
}
