/*!
The other entry instances: who lives, and how loaded each is.

Every instance sends a [`Heartbeat`] to each peer several times a second. A peer
that has been silent for [`Config::failure_timeout`] counts as gone: others take over
its targets, and owners stop what they run for it. Work travels in requests over
connections, see [`Request`].
*/

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock};
use serde::{Deserialize, Serialize};

use crate::{
    JobId, TaskId,
    config::Observation,
    messages::{ClockReading, Load, RunOutcome, RunRequest},
    ownership::{self, Candidate},
    target_list::Delta,
};

/// What one instance tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name.
    pub name: Rc<str>,
    /// Start of its process in wall time, which tells its lives apart.
    pub incarnation: u64,
    /// Its clocks at the time of sending.
    pub clocks: ClockReading,
    /// Rising number within the incarnation.
    pub sequence: u64,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Address for datagrams and connections.
    pub address: SocketAddr,
    /// Share of the work that it can carry.
    pub weight: u32,
    /// True once it gives up its targets.
    pub leaving: bool,
    /// Load of its targets.
    pub load: Load,
    /// Tags of the targets that it holds.
    pub target_tags: Vec<u32>,
    /// Configuration that it knows to be the newest.
    pub newest_config: Observation,
}

/// Request to another instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Run a task on a target of the receiver; the reply comes with its end.
    Run(RunRequest),
    /// Take charge of a run that another owner started; the reply comes with
    /// its end, or at once if it is not on any target of the receiver.
    Claim {
        /// Run.
        order: RunRequest,
        /// Tags of the targets where it may be.
        tags: Vec<u32>,
    },
    /// Stop a run for which the sender has no use any more.
    Cancel {
        /// Task.
        task: TaskId,
        /// Run.
        run: u32,
    },
    /// Say whether something of a job may have run, and else keep it from
    /// running for a while: it is about to be refused.
    Block(JobId),
    /// Take in what changed in the list of targets.
    Targets(Delta),
    /// Send the configuration document after this version.
    Config {
        /// Newest version that the sender knows.
        after: u64,
    },
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// End of the run, and the load of its owner now.
    Ended(RunOutcome, Load),
    /// No such run here, and none will start.
    NotFound {
        /// Tags of the targets of which this is certain.
        excluded: Vec<u32>,
    },
    /// Done.
    Accepted,
    /// Something of the job may have run.
    Started,
    /// Configuration document, as the operator wrote it.
    Config(Option<String>),
}

/// Failed request to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It certainly did not get the request.
    NotSent,
    /// It may have acted on it.
    Unknown,
}

/// Way to the other instances.
pub trait Transport {
    /// Sends a heartbeat, which may get lost.
    fn send_heartbeat(&self, to: SocketAddr, heartbeat: &Heartbeat);

    /// Makes a request and waits for its reply.
    fn call(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> LocalFuture<'static, Result<Reply, CallError>>;
}

/// Timing of membership.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two beacons to a peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer counts as gone.
    pub failure_timeout: Duration,
}

/// Peer as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When it came.
    pub received_at: Instant,
    /// False once it counted as gone.
    alive: bool,
}

/// Change of who lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A peer is heard that was not before, or again.
    Joined(Rc<str>),
    /// A peer has fallen silent, or a new life of it was heard.
    Lost(Rc<str>, SocketAddr),
    /// A peer gives up its targets, or takes them again.
    LeavingChanged(Rc<str>),
}

/// All peers of one instance.
pub struct Membership {
    config: Config,
    name: Rc<str>,
    addresses: RefCell<BTreeMap<SocketAddr, Instant>>,
    peers: RefCell<BTreeMap<Rc<str>, Peer>>,
    peer_lost: Notify,
}

impl Membership {
    /// Membership of the instance `name` without peers.
    pub fn new(name: Rc<str>, config: Config) -> Membership {
        Membership {
            config,
            name,
            addresses: RefCell::default(),
            peers: RefCell::default(),
            peer_lost: Notify::new(),
        }
    }

    /// Learns an address to which beacons go.
    pub fn add_address(&self, address: SocketAddr) {
        let mut addresses = self.addresses.borrow_mut();
        addresses.entry(address).or_insert_with(clock::now);
    }

    /// Addresses to which beacons go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.borrow().keys().copied().collect()
    }

    /// Takes a heartbeat in; says what it changes.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat) -> Vec<Change> {
        if heartbeat.name == self.name {
            return Vec::new();
        }
        self.add_address(heartbeat.address);
        let mut peers = self.peers.borrow_mut();
        let name = heartbeat.name.clone();
        let mut changes = Vec::new();
        let known = peers.get(&name);
        let newer = |it: &Peer| {
            (heartbeat.incarnation, heartbeat.sequence)
                > (it.heartbeat.incarnation, it.heartbeat.sequence)
        };
        match known {
            // A new life whose clock is behind is heard once the old one is gone.
            Some(it)
                if !newer(it)
                    && (it.alive || it.heartbeat.incarnation == heartbeat.incarnation) =>
            {
                return changes;
            }
            Some(it) if it.alive && it.heartbeat.incarnation != heartbeat.incarnation => {
                changes.push(Change::Lost(name.clone(), it.heartbeat.address));
                changes.push(Change::Joined(name.clone()));
            }
            Some(it) if !it.alive => changes.push(Change::Joined(name.clone())),
            Some(it) if it.heartbeat.leaving != heartbeat.leaving => {
                changes.push(Change::LeavingChanged(name.clone()));
            }
            Some(_) => {}
            None => changes.push(Change::Joined(name.clone())),
        }
        let peer = Peer {
            heartbeat,
            received_at: clock::now(),
            alive: true,
        };
        peers.insert(name, peer);
        if matches!(changes.first(), Some(Change::Lost(..))) {
            self.peer_lost.notify();
        }
        changes
    }

    /// Notices peers that have fallen silent.
    pub fn expire_silent_peers(&self) -> Vec<Change> {
        let now = clock::now();
        let mut changes = Vec::new();
        for (name, peer) in self.peers.borrow_mut().iter_mut() {
            if peer.alive && now - peer.received_at > self.config.failure_timeout {
                peer.alive = false;
                changes.push(Change::Lost(name.clone(), peer.heartbeat.address));
            }
        }
        if !changes.is_empty() {
            self.peer_lost.notify();
        }
        changes
    }

    /// Waits until the present life of the peer at `address` is gone.
    pub async fn wait_until_gone(&self, address: SocketAddr) {
        let incarnation_of = |it: &Membership| {
            let peers = it.peers.borrow();
            let peer = peers.values().find(|it| it.heartbeat.address == address);
            peer.filter(|it| it.alive)
                .map(|it| it.heartbeat.incarnation)
        };
        let current = incarnation_of(self);
        while current.is_some() && incarnation_of(self) == current {
            self.peer_lost.notified().await;
        }
    }

    /// Peers that live.
    pub fn live_peers(&self) -> Vec<Heartbeat> {
        let peers = self.peers.borrow();
        let alive = peers.values().filter(|it| it.alive);
        alive.map(|it| it.heartbeat.clone()).collect()
    }

    /// Peers in `domain` that live and stay, by name.
    pub fn domain_peers(&self, domain: &str) -> Vec<(Rc<str>, SocketAddr)> {
        let peers = self.peers.borrow();
        let domain_peers = peers.iter().filter(|(_, it)| {
            it.alive && !it.heartbeat.leaving && it.heartbeat.domain.as_ref() == domain
        });
        domain_peers
            .map(|(name, it)| (name.clone(), it.heartbeat.address))
            .collect()
    }

    /// Number of peers that live and come before `name`.
    pub fn rank_of(&self, name: &str) -> usize {
        let peers = self.peers.borrow();
        let alive = peers.iter().filter(|it| it.1.alive);
        alive.filter(|it| **it.0 < *name).count()
    }

    /// Age of the oldest load of a peer that lives.
    pub fn oldest_load_age(&self) -> Duration {
        let now = clock::now();
        let peers = self.peers.borrow();
        let ages = peers
            .values()
            .filter(|it| it.alive)
            .map(|it| now - it.received_at);
        ages.max().unwrap_or_default()
    }

    /// Clocks of the peer at `address` now, as far as is known.
    pub fn clocks_of(&self, address: SocketAddr) -> ClockReading {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|it| it.heartbeat.address == address);
        let reading = peer.map(|it| it.heartbeat.clocks.after(clock::now() - it.received_at));
        reading.unwrap_or_default()
    }

    /// Tags of the targets that the peer at `address` holds.
    pub fn target_tags_of(&self, address: SocketAddr) -> Vec<u32> {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|it| it.heartbeat.address == address);
        peer.map(|it| it.heartbeat.target_tags.clone())
            .unwrap_or_default()
    }

    /// Notes the load that a reply of `address` told.
    pub fn update_load(&self, address: SocketAddr, load: Load) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .values_mut()
            .find(|it| it.heartbeat.address == address);
        if let Some(peer) = peer {
            peer.heartbeat.load = load;
        }
    }

    /// Instance that should own the target `id` in `domain`, as `own` sees it.
    ///
    /// A whole domain that fell silent may be cut off rather than gone. Who
    /// hears nobody outside its own domain either is on the wrong side of the
    /// cut, and leaves that domain's targets alone.
    pub fn preferred_owner(
        &self,
        id: &str,
        domain: &str,
        own: Candidate<'_>,
        leaving: bool,
    ) -> Option<Rc<str>> {
        let peers = self.peers.borrow();
        let outside = |it: &&Peer| it.heartbeat.domain.as_ref() != own.domain;
        let domain_known = peers
            .values()
            .any(|it| it.heartbeat.domain.as_ref() == domain);
        let isolated = !peers.values().filter(outside).any(|it| it.alive);
        if own.domain != domain && domain_known && isolated {
            return None;
        }
        let others = peers
            .values()
            .filter(|it| it.alive && !it.heartbeat.leaving);
        let others = others.map(|it| Candidate {
            name: &it.heartbeat.name,
            domain: &it.heartbeat.domain,
            weight: it.heartbeat.weight,
        });
        let own = (!leaving).then_some(own);
        ownership::choose(id, domain, others.chain(own)).map(Rc::from)
    }
}
