/*!
Entry instances that are there, from the list and from heartbeats.

Every interval an instance sends its heartbeat to a few peers, in an order that
reaches each of them in turn, and tells along how lately it heard of some
others. What it sends is bounded in bytes a second whatever the size of the
domain: a larger domain makes the turn longer, and relays fill the gap. A peer
that stays silent is asked directly before it is given up.

A peer is accepted by its authenticated heartbeat, listed or not, as the list
lags by half a minute. Whoever starts tells all listed instances at once and is
answered by each; those that are not listed either come as news.
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
    herald::Herald,
    roster::{Change, Refusal, Roster},
    state::{Limits, PeerState},
};
use crate::{
    job::Incarnation,
    platform::{Instance, Role},
    settings::Domain,
};

/// Silent peers that are asked directly in one interval.
const PROBES: usize = 2;

/// Factor by which relays shorten the time until all have heard of an instance.
const RELAY_GAIN: usize = 3;

/// Entry instances that are there.
pub struct Membership {
    identity: Identity,
    config: Config,
    link: Rc<dyn Link>,
    listed: RefCell<Vec<Instance>>,
    roster: RefCell<Roster>,
    herald: RefCell<Herald>,
    traffic: RefCell<Traffic>,
    rng: RefCell<StdRng>,
    sequence: Cell<u64>,
    changed: Notify,
}

impl Membership {
    /// Membership as seen by `identity`.
    pub fn new(identity: Identity, link: Rc<dyn Link>, config: Config) -> Membership {
        let seed = identity.incarnation.to_u64();
        Membership {
            roster: RefCell::new(Roster::new(identity.clone(), clock::now())),
            identity,
            config,
            link,
            listed: RefCell::default(),
            herald: RefCell::default(),
            traffic: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            sequence: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Who this instance is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Network to the peers.
    pub fn link(&self) -> &Rc<dyn Link> {
        &self.link
    }

    /// Takes in the platform's list.
    pub fn observe(&self, instances: &[Instance]) {
        let entries = instances.iter().filter(|it| it.role == Role::Entry);
        *self.listed.borrow_mut() = entries.cloned().collect();
    }

    /// Peers of this domain that were heard of lately.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.age();
        let roster = self.roster.borrow();
        let there = roster.iter().filter(|it| it.is_there());
        let peer = |it: &PeerState| {
            Rc::new(Peer {
                identity: it.identity().clone(),
                heartbeat: it.heartbeat().clone(),
                heard: it.last(),
            })
        };
        there.map(peer).collect()
    }

    /// Live peer of this domain with the given incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Rc<Peer>> {
        self.peers()
            .into_iter()
            .find(|it| it.identity.incarnation == incarnation)
    }

    /// Every peer that is remembered, with its standing.
    pub fn peer_states(&self) -> Vec<PeerState> {
        self.age();
        self.roster.borrow().iter().cloned().collect()
    }

    /// Addresses of the listed entry instances of `domain`, without this one.
    pub fn entries(&self, domain: Domain) -> Vec<SocketAddr> {
        let listed = self.listed.borrow();
        let others = listed
            .iter()
            .filter(|it| it.domain == domain && it.name != self.identity.name);
        others.map(|it| it.address).collect()
    }

    /// Signals that a peer came, went or said something new.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Counts since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.borrow().clone()
    }

    /// Sends heartbeats and takes in those of peers, for ever.
    pub async fn run(self: Rc<Self>, source: Rc<dyn Source>) {
        drop(spawn(self.clone().listen(source.clone())));
        loop {
            self.beat(source.as_ref());
            clock::sleep(self.config.interval).await;
        }
    }

    /// Tells the peers of this turn at once, for an instance that has just read
    /// its first list.
    pub(crate) fn announce(&self, source: &dyn Source) {
        self.beat(source);
    }

    /// Tells all peers that this instance stops now.
    pub fn leave(&self, source: &dyn Source) {
        let mut gossip = self.compose(source, 1, false);
        gossip.heartbeat.phase = Phase::Left;
        self.send(&gossip, &self.addresses());
    }

    fn age(&self) -> bool {
        let mut roster = self.roster.borrow_mut();
        let spread = self.spread_time(roster.addresses().count());
        let limits = Limits {
            suspect: self.config.suspect + spread,
            timeout: self.config.timeout + spread * 3 / 2,
        };
        roster.age(clock::now(), limits)
    }

    /// Time that a sign of life of one of `peers` may be under way in relays.
    fn spread_time(&self, peers: usize) -> Duration {
        let turns = peers.div_ceil(self.config.fanout.max(1));
        self.config.interval * (turns / RELAY_GAIN) as u32
    }

    fn beat(&self, source: &dyn Source) {
        if self.age() {
            self.changed.notify();
        }
        let addresses = self.addresses();
        let turn = {
            let mut rng = self.rng.borrow_mut();
            let mut herald = self.herald.borrow_mut();
            herald.turn(&addresses, self.config.fanout, &mut *rng)
        };
        let gossip = self.compose(source, self.config.fanout.min(turn.len()), false);
        self.send(&gossip, &turn);
        let silent = self.silent();
        if !silent.is_empty() {
            let probe = self.compose(source, self.config.fanout, true);
            self.send(&probe, &silent);
        }
    }

    /// Addresses of the domain's instances, listed or heard of.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let listed = self.entries(self.identity.domain);
        let roster = self.roster.borrow();
        let heard = roster.addresses();
        let all = listed.into_iter().chain(heard);
        all.filter(|it| *it != self.identity.address).collect()
    }

    /// Some of the silent peers, others each time.
    fn silent(&self) -> Vec<SocketAddr> {
        let mut silent = self.roster.borrow().silent();
        silent.shuffle(&mut *self.rng.borrow_mut());
        silent.truncate(PROBES);
        silent
    }

    /// Gossip that fits the budget when it is sent to `receivers` an interval.
    fn compose(&self, source: &dyn Source, receivers: usize, probe: bool) -> Gossip {
        self.sequence.set(self.sequence.get() + 1);
        let mut heartbeat = Heartbeat::new(self.identity.clone(), self.sequence.get());
        source.fill(&mut heartbeat);
        let limit = self.config.frame_bytes(receivers);
        let mut gossip = Gossip::new(heartbeat, probe, limit);
        for news in self.herald.borrow_mut().news() {
            gossip.tell(news, limit);
        }
        gossip.relays = self.relays(gossip.room(limit) / Relay::BYTES);
        gossip
    }

    /// Up to `count` peers that were heard of lately.
    fn relays(&self, count: usize) -> Vec<Relay> {
        let mut rng = self.rng.borrow_mut();
        self.roster.borrow().relays(count, clock::now(), &mut *rng)
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
            self.take(&datagram, source.as_ref());
        }
    }

    fn take(&self, datagram: &Datagram, source: &dyn Source) {
        let opened = frame::open::<Gossip>(&self.config.key, clock::wall(), &datagram.bytes);
        let gossip = match opened {
            Ok(gossip) => gossip,
            Err(fault) => {
                *self.traffic.borrow_mut().dropped.entry(fault).or_default() += 1;
                return;
            }
        };
        let from = gossip.heartbeat.from.address;
        let news = PeerUpdate {
            identity: gossip.heartbeat.from.clone(),
            phase: gossip.heartbeat.phase,
            sequence: gossip.heartbeat.sequence,
        };
        let change = match self.note(gossip.heartbeat) {
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
        self.traffic.borrow_mut().taken += 1;
        self.spread(change, news);
        self.learn(&gossip.updates);
        let now = clock::now();
        self.roster.borrow_mut().relay(&gossip.relays, now);
        if gossip.probe || change == Change::Joined {
            let reply = self.compose(source, self.config.fanout, false);
            self.send(&reply, [&from]);
        }
        self.changed.notify();
    }

    fn note(&self, heartbeat: Heartbeat) -> Result<Change, Refusal> {
        self.roster.borrow_mut().take(heartbeat, clock::now())
    }

    fn learn(&self, news: &[PeerUpdate]) {
        for news in news {
            let learned = self.roster.borrow_mut().learn(news, clock::now());
            if let Ok(change) = learned {
                self.spread(change, news.clone());
            }
        }
    }

    /// Passes on that a peer came or changed its phase.
    fn spread(&self, change: Change, news: PeerUpdate) {
        if change != Change::Heard {
            let peers = self.roster.borrow().iter().count();
            self.herald.borrow_mut().spread(news, peers);
        }
    }
}
