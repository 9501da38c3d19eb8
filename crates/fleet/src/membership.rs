/*!
The other entry instances: which are alive, and their load.

Every instance sends a [`Heartbeat`] to each peer of its failure domain several
times a second, and to the peers of other domains in turn, so that the number of
heartbeats per second does not grow with theirs. A peer that stays silent for
[`Config::failure_timeout`], or longer in proportion to the time between its
heartbeats, counts as failed: other instances take over its targets, and owners
stop what they run for its jobs. Work is sent as a [`Request`] over a connection,
which detects the loss of the other side by itself.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock, suspension::Detector};
use serde::{Deserialize, Serialize};

use crate::{
    JobId, TaskId,
    config::Observation,
    crash_history::LossReport,
    evacuation::Evacuations,
    identity::Identity,
    messages::{ClockReading, Load, RunOutcome, RunRequest},
    orphans,
    ownership::{Assignment, Candidate},
    takeover::{Hearing, Streak},
    target_list::Delta,
};

/// Most heartbeats to peers of other domains in one interval.
const REMOTE_HEARTBEATS_PER_INTERVAL: usize = 16;

/// Smallest number of intervals for one heartbeat to each peer of another domain.
/// [`Config::failure_timeout`] is meant for this number.
const MIN_REMOTE_PERIOD: u16 = 2;

/// Silence after which a peer is taken to be gone rather than unreachable. Several
/// times the longest backoff after which an owner takes a target over again.
const GONE_TIMEOUT: Duration = Duration::from_secs(30);

/// State that an instance announces to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub name: Rc<str>,
    /// Wall time of the process start in milliseconds, which tells incarnations
    /// apart.
    pub incarnation: u64,
    /// Clocks of the sender when it sent this.
    pub clocks: ClockReading,
    /// Number that rises with each heartbeat of the incarnation.
    pub sequence: u64,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Address for datagrams and connections.
    pub address: SocketAddr,
    /// Share of the targets that it should own, relative to its peers.
    pub weight: u32,
    /// True once it gives up its targets.
    pub leaving: bool,
    /// Load of its targets.
    pub load: Load,
    /// Short ids of the targets that it holds.
    pub target_short_ids: Vec<u32>,
    /// Newest configuration that it knows.
    pub newest_config: Observation,
    /// Evacuated domains that it knows.
    pub evacuations: Evacuations,
    /// Number of heartbeat intervals in which each peer of another domain gets one
    /// heartbeat.
    pub remote_period: u16,
    /// Identity of the sender, once it has one.
    pub identity: Option<Identity>,
    /// Last identity of the recipient that the sender remembers, if the recipient is
    /// new to it.
    pub recipient_identity: Option<Identity>,
}

/// Request to another instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Run a task on a target of the receiver. The reply comes when the run
    /// ends.
    Run(RunRequest),
    /// Adopt a run that another owner started. The reply comes when the run
    /// ends, or at once if no target of the receiver has it.
    Claim {
        /// Run to adopt, without its specification.
        run_request: RunRequest,
        /// Short ids of the targets that may have it.
        short_ids: Vec<u32>,
    },
    /// Stop a run that the sender no longer needs.
    Cancel {
        /// Task.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Report whether any task of a job may have run. If none has, reject the
    /// job for a while, because the sender is about to refuse it.
    Block(JobId),
    /// Apply changes of the list of targets.
    Targets(Delta),
    /// Remember under which tasks targets were lost.
    Losses(Vec<LossReport>),
    /// Remember the runs that no frontend waits for.
    Orphans(orphans::Report),
    /// Send the configuration document if it is newer than this version.
    Config {
        /// Newest version that the sender knows.
        after: u64,
    },
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// How the run ended, and the load of its owner now.
    Ended(RunOutcome, Load),
    /// The receiver doesn't have the run and won't start it.
    NotFound {
        /// Short ids of the targets that certainly don't have it.
        excluded: Vec<u32>,
    },
    /// The request was carried out.
    Accepted,
    /// A task of the job may have run.
    Started,
    /// Configuration document as the operator wrote it, if it is newer.
    Config(Option<String>),
}

/// Failure of a request to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The peer certainly did not receive the request.
    NotSent,
    /// The peer may have acted on the request.
    Unknown,
}

/// Connection to the other instances.
pub trait Transport {
    /// Sends a heartbeat to some peers. Each may miss it.
    fn send_heartbeat(&self, to: &[SocketAddr], heartbeat: &Heartbeat);

    /// Sends a request and waits for the reply.
    fn call(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> LocalFuture<'static, Result<Reply, CallError>>;
}

/// Timing of heartbeats and failure detection.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer counts as failed.
    pub failure_timeout: Duration,
}

/// Peer as of its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Last heartbeat, without its load.
    pub heartbeat: Rc<Heartbeat>,
    /// Load of its targets as last known.
    pub load: Rc<Load>,
    /// When the load arrived.
    pub load_at: Instant,
    /// When the last heartbeat arrived.
    pub received_at: Instant,
    candidate: Candidate,
    /// Last identity of this instance.
    identity: Option<Identity>,
    /// False once the peer counts as failed.
    alive: bool,
}

/// Peer to which a run request is sent.
#[derive(Clone, Debug, Default)]
pub struct Recipient {
    /// Process that is to execute the request.
    pub incarnation: u64,
    /// Expected reading of its clocks now.
    pub clocks: ClockReading,
    /// Short ids of the targets that it holds.
    pub target_short_ids: Rc<[u32]>,
}

/// Change in the set of live peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new peer was heard, or a failed one was heard again.
    Joined(Rc<str>),
    /// A peer has failed, or was heard under a new incarnation.
    Lost(Rc<str>, SocketAddr),
    /// A peer started or stopped giving up its targets.
    LeavingChanged(Rc<str>),
}

/// Peers of one instance.
pub struct Membership {
    config: Config,
    name: Rc<str>,
    domain: Rc<str>,
    addresses: RefCell<BTreeMap<SocketAddr, Instant>>,
    peers: RefCell<BTreeMap<Rc<str>, Peer>>,
    /// Suspensions of this process.
    suspensions: Rc<Detector>,
    /// Time since which all peers have been heard that may take targets of the own
    /// domain over.
    heard: Cell<Streak>,
    peer_lost: Notify,
}

impl Membership {
    /// Creates the membership of the instance `name` in `domain`, without peers.
    pub fn new(name: Rc<str>, domain: Rc<str>, config: Config) -> Membership {
        Membership {
            config,
            name,
            domain,
            addresses: RefCell::default(),
            peers: RefCell::default(),
            suspensions: Rc::default(),
            heard: Cell::default(),
            peer_lost: Notify::new(),
        }
    }

    /// Adds an address to which heartbeats are sent.
    pub fn add_address(&self, address: SocketAddr) {
        let mut addresses = self.addresses.borrow_mut();
        addresses.entry(address).or_insert_with(clock::now);
    }

    /// Returns the addresses to which heartbeats are sent.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.borrow().keys().copied().collect()
    }

    /// Number of heartbeat intervals in which each peer of another domain gets one
    /// heartbeat.
    pub fn remote_period(&self) -> u16 {
        let remote = self.addresses.borrow().len() - self.local_addresses().len();
        let period = remote.div_ceil(REMOTE_HEARTBEATS_PER_INTERVAL);
        u16::try_from(period)
            .unwrap_or(u16::MAX)
            .max(MIN_REMOTE_PERIOD)
    }

    /// Whether any address is known to which heartbeats may be sent.
    pub fn knows_addresses(&self) -> bool {
        !self.addresses.borrow().is_empty()
    }

    /// Returns the addresses that get the heartbeat with this sequence number: all
    /// in the domain of this instance, and a part of the others.
    pub fn recipients(&self, sequence: u64) -> Vec<SocketAddr> {
        let (local, period) = (self.local_addresses(), u64::from(self.remote_period()));
        let mut turn = sequence;
        let addresses = self.addresses.borrow();
        let due = addresses.keys().filter(|it| {
            if local.contains(it) {
                return true;
            }
            turn += 1;
            turn.is_multiple_of(period)
        });
        due.copied().collect()
    }

    fn local_addresses(&self) -> BTreeSet<SocketAddr> {
        let peers = self.peers.borrow();
        let local = peers
            .values()
            .filter(|it| it.alive && it.heartbeat.domain == self.domain);
        local.map(|it| it.heartbeat.address).collect()
    }

    /// Records a heartbeat and returns the changes that it causes.
    pub fn record_heartbeat(&self, mut heartbeat: Heartbeat) -> Vec<Change> {
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
            // A new incarnation whose clock is behind is accepted only after the
            // old one has failed.
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
        let load = Rc::new(std::mem::take(&mut heartbeat.load));
        let candidate = match known.map(|it| (&it.heartbeat, &it.candidate)) {
            Some((last, candidate))
                if (&last.domain, last.weight) == (&heartbeat.domain, heartbeat.weight) =>
            {
                candidate.clone()
            }
            _ => {
                let (name, domain) = (heartbeat.name.clone(), heartbeat.domain.clone());
                Candidate::new(name, domain, heartbeat.weight)
            }
        };
        let identity = heartbeat.identity.or(known.and_then(|it| it.identity));
        let peer = Peer {
            identity,
            heartbeat: Rc::new(heartbeat),
            load,
            candidate,
            load_at: clock::now(),
            received_at: clock::now(),
            alive: true,
        };
        peers.insert(name, peer);
        if matches!(changes.first(), Some(Change::Lost(..))) {
            self.peer_lost.notify();
        }
        changes
    }

    /// Marks peers as failed that were silent for too long, and returns the
    /// changes. Silence counts only while this process was able to hear them:
    /// heartbeats that arrived during a stall are not read yet. Must be called several
    /// times a second.
    pub fn expire_silent_peers(&self) -> Vec<Change> {
        let now = clock::now();
        let running_since = self.suspensions.running_since();
        let mut changes = Vec::new();
        for (name, peer) in self.peers.borrow_mut().iter_mut() {
            let silent_since = peer.received_at.max(running_since);
            if peer.alive && now - silent_since > self.failure_timeout(&peer.heartbeat) {
                peer.alive = false;
                changes.push(Change::Lost(name.clone(), peer.heartbeat.address));
            }
        }
        if !changes.is_empty() {
            self.peer_lost.notify();
        }
        changes
    }

    /// Returns the suspensions of this process.
    pub fn suspensions(&self) -> &Detector {
        &self.suspensions
    }

    /// Returns what is known of the peers that may take targets of the own domain over.
    /// Must be called several times a second.
    pub fn hearing(&self) -> Hearing {
        let mut heard = self.heard.get();
        let running_since = self.suspensions.running_since();
        let heard_since = heard.check(self.hears_own_domain(), clock::now(), running_since);
        self.heard.set(heard);
        Hearing {
            domain: self.domain.clone(),
            heard_since,
            suspensions: Rc::clone(&self.suspensions),
        }
    }

    /// Whether all peers of the own failure domain are heard, except those that are
    /// gone. If not, one that is unreachable from here may have taken a target of the
    /// domain over. Peers of other domains do so if the domain has no other instance.
    ///
    /// Unlike in [`Membership::expire_silent_peers`], silence counts even while this
    /// process was suspended, as the peers did not hear it then.
    pub fn hears_own_domain(&self) -> bool {
        let now = clock::now();
        let peers = self.peers.borrow();
        let is_local = |it: &Peer| it.heartbeat.domain == self.domain;
        let is_heard = |it: &Peer| now - it.received_at <= self.failure_timeout(&it.heartbeat);
        let is_alone = !peers.values().any(|it| is_local(it) && is_heard(it));
        let mut rivals = peers.values().filter(|it| is_alone || is_local(it));
        rivals.all(|it| is_heard(it) || now - it.received_at > GONE_TIMEOUT)
    }

    /// Silence after which the sender of `heartbeat` counts as failed.
    fn failure_timeout(&self, heartbeat: &Heartbeat) -> Duration {
        let period = match heartbeat.domain == self.domain {
            true => MIN_REMOTE_PERIOD,
            false => heartbeat.remote_period.max(MIN_REMOTE_PERIOD),
        };
        self.config.failure_timeout * u32::from(period) / u32::from(MIN_REMOTE_PERIOD)
    }

    /// Waits until the current incarnation of the peer at `address` has failed.
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

    /// Returns all live peers.
    pub fn live_peers(&self) -> Vec<Peer> {
        let peers = self.peers.borrow();
        peers.values().filter(|it| it.alive).cloned().collect()
    }

    /// Returns the live peers that hold targets with these short ids, as pairs of
    /// the short id and the address of the holder.
    pub fn holders_of(&self, short_ids: &[u32]) -> Vec<(u32, SocketAddr)> {
        let peers = self.peers.borrow();
        let alive = peers.values().filter(|it| it.alive);
        let held = alive.flat_map(|it| {
            let held = it.heartbeat.target_short_ids.iter();
            held.map(|id| (*id, it.heartbeat.address))
        });
        held.filter(|it| short_ids.contains(&it.0)).collect()
    }

    /// Returns the short ids of the targets that failed peers held when they were last
    /// heard.
    pub fn held_by_failed_peers(&self) -> BTreeSet<u32> {
        let peers = self.peers.borrow();
        let failed = peers.values().filter(|it| !it.alive);
        let held = failed.flat_map(|it| it.heartbeat.target_short_ids.iter());
        held.copied().collect()
    }

    /// Returns the last identity of the instance `name`.
    pub fn identity_of(&self, name: &str) -> Option<Identity> {
        self.peers.borrow().get(name)?.identity
    }

    /// Returns the address of the live peer `name`.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let peer = peers.get(name).filter(|it| it.alive);
        peer.map(|it| it.heartbeat.address)
    }

    /// Returns the addresses of all live peers.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let alive = peers.values().filter(|it| it.alive);
        alive.map(|it| it.heartbeat.address).collect()
    }

    /// Returns the names and addresses of the live peers in `domain` that keep
    /// their targets, ordered by name.
    pub fn domain_peers(&self, domain: &str) -> Vec<(Rc<str>, SocketAddr)> {
        let peers = self.peers.borrow();
        let domain_peers = peers.iter().filter(|(_, it)| {
            it.alive && !it.heartbeat.leaving && it.heartbeat.domain.as_ref() == domain
        });
        domain_peers
            .map(|(name, it)| (name.clone(), it.heartbeat.address))
            .collect()
    }

    /// Returns the domain of the peer at `address`, which may have failed.
    pub fn domain_of(&self, address: SocketAddr) -> Option<Rc<str>> {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|it| it.heartbeat.address == address);
        peer.map(|it| it.heartbeat.domain.clone())
    }

    /// Returns the number of live peers whose name sorts before `name`.
    pub fn rank_of(&self, name: &str) -> usize {
        let peers = self.peers.borrow();
        let alive = peers.iter().filter(|it| it.1.alive);
        alive.filter(|it| **it.0 < *name).count()
    }

    /// Returns the age of the oldest load among live peers.
    pub fn oldest_load_age(&self) -> Duration {
        let now = clock::now();
        let peers = self.peers.borrow();
        let ages = peers
            .values()
            .filter(|it| it.alive)
            .map(|it| now - it.received_at);
        ages.max().unwrap_or_default()
    }

    /// Returns what a run request to the peer at `address` must say about it.
    pub fn recipient(&self, address: SocketAddr) -> Recipient {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|it| it.heartbeat.address == address);
        peer.map_or_else(Recipient::default, |it| Recipient {
            incarnation: it.heartbeat.incarnation,
            clocks: it.heartbeat.clocks.after(clock::now() - it.received_at),
            target_short_ids: it.heartbeat.target_short_ids.as_slice().into(),
        })
    }

    /// Replaces the load of the peer at `address`.
    pub fn update_load(&self, address: SocketAddr, load: Rc<Load>) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .values_mut()
            .find(|it| it.heartbeat.address == address);
        if let Some(peer) = peer {
            peer.load = load;
            peer.load_at = clock::now();
        }
    }

    /// Adds work that is about to be sent to the peer at `address` to its load.
    pub fn extend_load(&self, address: SocketAddr, load: Rc<Load>) {
        let mut peers = self.peers.borrow_mut();
        let mut peers = peers.values_mut();
        if let Some(peer) = peers.find(|it| it.heartbeat.address == address) {
            peer.load = load;
        }
    }

    /// Returns the assignment of targets to the live peers alone.
    pub fn assignment_to_peers(&self) -> Assignment {
        Assignment::new(self.candidates())
    }

    fn candidates(&self) -> Vec<Candidate> {
        let peers = self.peers.borrow();
        let candidates = peers
            .values()
            .filter(|it| it.alive && !it.heartbeat.leaving);
        candidates.map(|it| it.candidate.clone()).collect()
    }

    /// Returns the assignment of targets to the live peers, and to `own` unless it
    /// is leaving.
    ///
    /// A domain whose instances are all silent may be partitioned rather than
    /// down. An instance that hears nobody outside its own domain assumes that
    /// it is itself cut off, and leaves the targets of known other domains
    /// alone.
    pub fn assignment(&self, own: &Candidate, leaving: bool) -> Assignment {
        let peers = self.peers.borrow();
        let in_other_domain = |it: &&Peer| it.heartbeat.domain != self.domain;
        let isolated = !peers.values().filter(in_other_domain).any(|it| it.alive);
        let known_domains: BTreeSet<Rc<str>> = peers
            .values()
            .filter(in_other_domain)
            .map(|it| it.heartbeat.domain.clone())
            .collect();
        let own = (!leaving).then(|| own.clone());
        let mut assignment = Assignment::new(self.candidates().into_iter().chain(own));
        if isolated {
            for domain in known_domains {
                assignment.keep_unassigned(domain);
            }
        }
        assignment
    }
}
