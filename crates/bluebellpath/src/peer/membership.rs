//! Entry instances that are there, from the list and from heartbeats.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, Notify, clock, spawn};
use serde::{Deserialize, Serialize};

use super::{Datagram, Heartbeat, Link, Source};
use crate::{
    job::Incarnation,
    platform::{Instance, Role},
    settings::Domain,
};

/// Timing of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Silence after which a peer counts as gone.
    pub timeout: Duration,
}

impl Default for Config {
    /// A heartbeat each 500 ms, gone after 2 s.
    fn default() -> Config {
        Config {
            interval: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
        }
    }
}

/// Who an entry instance is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name in the instance list.
    pub name: String,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Domain,
    /// Address for peers.
    pub address: SocketAddr,
}

/// Another entry instance of the domain.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// Its last heartbeat.
    pub heartbeat: Rc<Heartbeat>,
    /// When that came.
    pub heard: Instant,
}

/// Entry instances that are there.
pub struct Membership {
    identity: Identity,
    config: Config,
    link: Rc<dyn Link>,
    listed: RefCell<Vec<Instance>>,
    peers: RefCell<BTreeMap<String, Rc<Peer>>>,
    sequence: Cell<u64>,
    changed: Notify,
}

impl Membership {
    /// Membership as seen by `identity`.
    pub fn new(identity: Identity, link: Rc<dyn Link>, config: Config) -> Membership {
        Membership {
            identity,
            config,
            link,
            listed: RefCell::default(),
            peers: RefCell::default(),
            sequence: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Who this instance is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Takes in the platform's list.
    pub fn observe(&self, instances: &[Instance]) {
        let entries = instances.iter().filter(|it| it.role == Role::Entry);
        *self.listed.borrow_mut() = entries.cloned().collect();
    }

    /// Peers of this domain that were heard of lately.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        let now = clock::now();
        let peers = self.peers.borrow();
        peers
            .values()
            .filter(|it| now - it.heard <= self.config.timeout)
            .cloned()
            .collect()
    }

    /// Live peer of this domain with the given incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Rc<Peer>> {
        self.peers()
            .into_iter()
            .find(|it| it.identity.incarnation == incarnation)
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

    /// Sends heartbeats and takes in those of peers, for ever.
    pub async fn run(self: Rc<Self>, source: Rc<dyn Source>) {
        drop(spawn(self.clone().listen()));
        loop {
            self.beat(source.as_ref());
            clock::sleep(self.config.interval).await;
        }
    }

    fn beat(&self, source: &dyn Source) {
        self.sequence.set(self.sequence.get() + 1);
        let mut heartbeat = Heartbeat::new(self.identity.clone(), self.sequence.get());
        source.fill(&mut heartbeat);
        if let Ok(bytes) = postcard::to_stdvec(&heartbeat) {
            for address in self.entries(self.identity.domain) {
                self.link.send(address, &bytes);
            }
        }
    }

    async fn listen(self: Rc<Self>) {
        loop {
            let datagram = self.link.receive().await;
            self.take(&datagram);
        }
    }

    fn take(&self, datagram: &Datagram) {
        let Ok(heartbeat) = postcard::from_bytes::<Heartbeat>(&datagram.bytes) else {
            return;
        };
        let mut peers = self.peers.borrow_mut();
        let known = peers.get(&heartbeat.from.name);
        let newer = known.is_none_or(|it| {
            let known = (it.identity.incarnation, it.heartbeat.sequence);
            (heartbeat.from.incarnation, heartbeat.sequence) > known
        });
        if !newer || heartbeat.from.name == self.identity.name {
            return;
        }
        let identity = heartbeat.from.clone();
        let name = identity.name.clone();
        let peer = Peer {
            identity,
            heartbeat: Rc::new(heartbeat),
            heard: clock::now(),
        };
        peers.insert(name, Rc::new(peer));
        drop(peers);
        self.changed.notify();
    }
}
