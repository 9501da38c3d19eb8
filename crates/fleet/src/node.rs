/*!
One entry instance: its targets, its peers and the configuration in force.

A [`Node`] is driven from outside by what is read from the platform, by
datagrams and requests of peers, and by callers. It takes over the targets that
it should own whenever the list or the peers change.
*/

use std::{
    cell::{Cell, RefCell},
    cmp::Ordering,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock, spawn};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{Logger, info, warn};

use crate::{
    Planted, Target,
    catalog::{Catalog, Delta},
    config::{Config as Queues, Sighting},
    frontend::{self, Frontend},
    membership::{self, Change, Heartbeat, Membership, Reply, Request, Transport},
    messages::{ClockReading, NotStartedReason, RunOutcome},
    orders::Orders,
    ownership::Candidate,
    scheduler::{self, DropPolicy, Scheduler},
    table_watch::{ConfigDocument, Page, Timing},
};

/// Time between two passes over waiting work and silent peers.
const TICK: Duration = Duration::from_millis(20);

/// Beacons to one's own failure domain for one to another.
const FAR_BEACONS: u64 = 2;

/// Time after its start in which an instance takes no targets of other domains:
/// instances that lost power together start within a few tenths of a second.
const GATHER: Duration = Duration::from_millis(600);

/// Longest way of an order between instances; less than the silence after
/// which a front takes an owner for gone.
const TRANSIT: Duration = Duration::from_millis(400);

/// Wait of [`Planted::PollAlone`].
const PLANTED_POLL: Duration = Duration::from_secs(8);

/// Peers that are asked for one configuration at the same time.
const FETCHES: u32 = 3;

/// Reads a configuration document.
pub type Decode = fn(&str) -> Result<Queues, String>;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name.
    pub name: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Address at which peers reach it.
    pub address: SocketAddr,
    /// Share of the work that it can carry, relative to its peers.
    pub weight: u32,
    /// Timing of its targets.
    pub keeper: scheduler::Config,
    /// Timing of membership.
    pub membership: membership::Config,
    /// Time after which a run that nobody has found is over.
    pub orphan_timeout: Duration,
    /// Time in which a configuration must be in force.
    pub config_deadline: Duration,
    /// Fault planted by a test.
    pub planted: Option<Planted>,
}

/// Newer configuration that a peer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// What the peer knows.
    pub config: Sighting,
    /// The peer.
    pub peer: SocketAddr,
}

/// One entry instance.
pub struct Node {
    config: Config,
    incarnation: u64,
    keeper: Scheduler,
    frontend: Frontend,
    membership: Rc<Membership>,
    peers: Rc<dyn Transport>,
    decode: Decode,
    log: Logger,
    catalog: RefCell<Catalog>,
    queues: RefCell<Rc<Queues>>,
    /// Version of the platform's tables at which the configuration in force was
    /// the newest, and when that was learnt.
    config_seen: Cell<(u64, Option<Instant>)>,
    /// Told when a peer is heard that knows a newer configuration.
    config_heard: Notify,
    sequence: Cell<u64>,
    leaving: Cell<bool>,
    started: Instant,
    /// True once the time has passed in which others may still start.
    gathered: Cell<bool>,
}

impl Node {
    /// Instance that knows nothing yet.
    pub fn new(
        config: Config,
        orders: Rc<dyn Orders>,
        peers: Rc<dyn Transport>,
        decode: Decode,
        log: Logger,
    ) -> Rc<Node> {
        let keeper_config = scheduler::Config {
            injected_fault: config.planted,
            ..config.keeper
        };
        let keeper = Scheduler::new(&config.name, keeper_config, orders, log.clone());
        let membership = Rc::new(Membership::new(config.name.clone(), config.membership));
        let frontend = Frontend::new(
            frontend::Config {
                name: config.name.clone(),
                domain: config.domain.clone(),
                address: config.address,
                orphan_timeout: config.orphan_timeout,
                planted: config.planted,
            },
            keeper.clone(),
            membership.clone(),
            peers.clone(),
            log.clone(),
        );
        Rc::new(Node {
            config,
            incarnation: clock::wall(),
            keeper,
            frontend,
            membership,
            peers,
            decode,
            log,
            catalog: RefCell::default(),
            queues: RefCell::default(),
            config_seen: Cell::default(),
            config_heard: Notify::new(),
            sequence: Cell::new(0),
            leaving: Cell::new(false),
            started: clock::now(),
            gathered: Cell::new(false),
        })
    }

    /// Name.
    pub fn name(&self) -> &Rc<str> {
        &self.config.name
    }

    /// Takes jobs.
    pub fn frontend(&self) -> &Frontend {
        &self.frontend
    }

    /// Targets held.
    pub fn keeper(&self) -> &Scheduler {
        &self.keeper
    }

    /// Other instances.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Configuration in force; version 0 before there is one.
    pub fn queue_config(&self) -> Rc<Queues> {
        self.queues.borrow().clone()
    }

    /// Configuration in force, and where it was last seen to be the newest.
    pub fn config_seen(&self) -> Sighting {
        Sighting {
            version: self.queues.borrow().version,
            platform: self.config_seen.get().0,
        }
    }

    /// Time since the configuration in force was last learnt to be the newest.
    pub fn config_age(&self) -> Duration {
        let learnt = self.config_seen.get().1.unwrap_or(self.started);
        clock::now() - learnt
    }

    /// Time for which the first in line waits for a change of the configuration.
    pub fn config_hold(&self) -> Duration {
        Timing::within(self.config.config_deadline).hold
    }

    /// Waits until it is this instance's turn to ask the platform for the
    /// configuration; says for how long to wait for a change.
    pub async fn config_due(&self) -> Duration {
        if self.config.planted == Some(Planted::PollAlone) {
            return PLANTED_POLL;
        }
        let timing = Timing::within(self.config.config_deadline);
        loop {
            let place = self.membership.place(&self.config.name);
            let due = timing
                .schedule
                .time_until_due(self.config_seen.get().1, place);
            if !due.is_zero() {
                clock::sleep(due).await;
                continue;
            }
            if place == 0 {
                return timing.hold;
            }
            if self.config_seen.get().1.is_some() {
                info!(self.log, "configuration not renewed by others, reading it";
                    "place" => place, "age_ms" => self.config_age().as_millis(),
                    "version" => self.queue_config().version);
            }
            return Duration::ZERO;
        }
    }

    /// Waits for peers that know a newer configuration; those of this domain come
    /// first.
    pub async fn config_hints(&self) -> Vec<Hint> {
        loop {
            let heard = self.config_heard.notified();
            let version = self.queues.borrow().version;
            let mut newer = self.membership.live_peers();
            newer.retain(|it| it.config.version > version);
            newer.sort_by_key(|it| it.domain != self.config.domain);
            if !newer.is_empty() {
                let hint = |it: Heartbeat| Hint {
                    config: it.config,
                    peer: it.address,
                };
                return newer.into_iter().map(hint).collect();
            }
            heard.await;
        }
    }

    /// Takes in what the platform said of the configuration.
    pub fn take_configuration(&self, page: &Page<ConfigDocument>) {
        let mut rows = page.rows.iter();
        let readable = rows.all(|it| self.take(it, page.version, "store"));
        if readable {
            self.renew_config(page.version);
        }
    }

    /// Notes that the configuration in force is the newest at this version of
    /// the platform's tables.
    fn renew_config(&self, platform: u64) {
        if platform > self.config_seen.get().0 {
            self.config_seen.set((platform, Some(clock::now())));
        }
    }

    /// Wall time of the start of this instance, in milliseconds.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// True once callers can be served.
    pub fn is_ready(&self) -> bool {
        self.queues.borrow().version > 0
            && self.catalog.borrow().version().is_some()
            && !self.leaving.get()
            && self.keeper.is_synced()
    }

    /// Sends beacons and passes over waiting work until the process ends.
    pub fn start(self: &Rc<Self>) {
        let node = self.clone();
        drop(spawn(async move {
            loop {
                node.send_heartbeats();
                clock::sleep(node.config.membership.heartbeat_interval).await;
            }
        }));
        let node = self.clone();
        drop(spawn(async move {
            loop {
                clock::sleep(TICK).await;
                let changes = node.membership.sweep();
                node.note(changes);
                node.gather();
                if node.keeper.backoff_expired() {
                    node.reassign();
                }
                node.keeper.tick();
                node.frontend.tick();
            }
        }));
    }

    /// Takes in the whole list of targets.
    pub fn replace_targets(&self, version: u64, targets: BTreeMap<Rc<str>, Target>) {
        self.catalog.borrow_mut().replace(version, targets);
        self.reassign();
    }

    /// Takes in the rows of the list of targets that were read after its last
    /// version, and passes on what they change.
    pub fn update_targets(&self, version: u64, rows: Vec<(Rc<str>, Option<Target>)>) {
        let delta = {
            let mut catalog = self.catalog.borrow_mut();
            catalog.renew();
            catalog.compare(version, rows)
        };
        // Nothing new may mean that this instance's view stands still, so the
        // others go on to look by themselves.
        if delta.to <= delta.from {
            return;
        }
        for (_, address) in self.membership.neighbours(&self.config.domain) {
            let call = self.peers.call(address, Request::Targets(delta.clone()));
            // A peer that misses it reads the list by itself.
            drop(spawn(async move { drop(call.await) }));
        }
        self.take_targets(delta);
    }

    /// Version of the list of targets, `None` before it has been read.
    pub fn targets_version(&self) -> Option<u64> {
        self.catalog.borrow().version()
    }

    /// Waits until it is this instance's turn to read the list of targets.
    pub async fn wait_for_targets_turn(&self) {
        loop {
            let neighbours = self.membership.neighbours(&self.config.domain);
            let before = neighbours.iter().filter(|it| it.0 < self.config.name);
            let due = self.catalog.borrow().due(before.count());
            if due.is_zero() {
                return;
            }
            clock::sleep(due).await;
        }
    }

    fn take_targets(&self, delta: Delta) {
        let changes = !delta.changed.is_empty() || !delta.gone.is_empty();
        if self.catalog.borrow_mut().apply(delta) && changes {
            self.reassign();
        }
    }

    /// Takes in a configuration document; an older version than the one in
    /// force changes nothing. False where it can't be read.
    pub fn apply_config(&self, document: &str, source: &str) -> bool {
        self.take(document, 0, source)
    }

    /// Takes in a configuration document that was the newest at the version
    /// `platform` of the platform's tables, 0 where that is not known.
    fn take(&self, document: &str, platform: u64, source: &str) -> bool {
        let queues = match (self.decode)(document) {
            Ok(queues) => queues,
            Err(error) => {
                warn!(self.log, "configuration can't be read"; "source" => source,
                    "error" => error);
                return false;
            }
        };
        let before = self.queues.borrow().version;
        let older = queues.version <= before;
        if older && self.config.planted != Some(Planted::TakeBackConfig) {
            return true;
        }
        info!(self.log, "configuration in force"; "version" => queues.version,
            "before" => before, "source" => source, "queues" => queues.queues.len());
        *self.queues.borrow_mut() = Rc::new(queues);
        self.renew_config(platform);
        self.send_heartbeats();
        true
    }

    /// Takes in a heartbeat of a peer.
    pub fn receive_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        let (own, config) = (self.queues.borrow().version, heartbeat.config);
        let changes = self.membership.record_heartbeat(heartbeat);
        match config.version.cmp(&own) {
            Ordering::Greater => self.config_heard.notify(),
            Ordering::Equal => self.renew_config(config.platform),
            Ordering::Less => {}
        }
        if changes.iter().any(|it| matches!(it, Change::Joined(_))) {
            self.send_heartbeats();
        }
        self.note(changes);
    }

    /// Serves a request of a peer.
    pub fn handle_request(&self, request: Request) -> LocalFuture<'static, Reply> {
        let keeper = self.keeper.clone();
        match request {
            // Its front has long given it up and may have begun it elsewhere.
            Request::Run(order) if order.sent_at.is_older_than(TRANSIT) => {
                info!(self.log, "order came too late"; "task" => %order.task, "run" => order.run);
                let ending = RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
                Box::pin(async move { Reply::Ended(ending, keeper.load()) })
            }
            Request::Run(order) => Box::pin(async move {
                let ending = keeper.run(order, DropPolicy::Orphan).await;
                Reply::Ended(ending, keeper.load())
            }),
            Request::Claim { order, tags } => Box::pin(async move {
                match keeper.claim(order, tags, DropPolicy::Orphan).await {
                    Ok(ending) => Reply::Ended(ending, keeper.load()),
                    Err(settled) => Reply::Missing { settled },
                }
            }),
            Request::Cancel { task, run } => {
                keeper.cancel(task, run);
                Box::pin(async { Reply::Accepted })
            }
            Request::Deny(job) => {
                let reply = match self.frontend.deny(job) {
                    true => Reply::Accepted,
                    false => Reply::Begun,
                };
                Box::pin(async move { reply })
            }
            Request::Targets(delta) => {
                self.take_targets(delta);
                Box::pin(async { Reply::Accepted })
            }
            Request::Config { after } => {
                let queues = self.queue_config();
                let document = (queues.version > after).then(|| queues.document.to_string());
                Box::pin(async move { Reply::Config(document) })
            }
        }
    }

    /// Gives up all targets for a planned stop and goes on for its callers.
    pub fn leave(&self) {
        if self.leaving.replace(true) {
            return;
        }
        // Peers take the targets over before anything there can lapse.
        self.send_heartbeats();
        self.keeper.release_all();
    }

    /// Takes a newer configuration from the first of the peers that gives it; each
    /// has `limit`, and holds up the next for a part of it.
    pub async fn fetch_config(&self, hints: &[Hint], limit: Duration) {
        let is_newer = |it: &Hint| it.config.version > self.queues.borrow().version;
        let mut fetching = FuturesUnordered::new();
        for hint in hints.iter().copied().filter(is_newer) {
            fetching.push(self.fetch_config_from(hint, limit));
            // Whatever came of it, the next hint is looked at.
            let _ = clock::timeout(limit / FETCHES, fetching.next()).await;
        }
        while hints.iter().any(is_newer) && fetching.next().await.is_some() {}
    }

    async fn fetch_config_from(&self, hint: Hint, limit: Duration) {
        let after = self.queues.borrow().version;
        let call = self.peers.call(hint.peer, Request::Config { after });
        match clock::timeout(limit, call).await {
            Some(Ok(Reply::Config(Some(document)))) => {
                self.take(&document, hint.config.platform, "peer");
            }
            answer => warn!(self.log, "no configuration from a peer"; "peer" => %hint.peer,
                "version" => hint.config.version, "in_force" => after, "answer" => ?answer),
        }
    }

    fn note(&self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let joins = |it: &Change| matches!(it, Change::Joined(_));
        if !changes.iter().all(joins) {
            self.keeper.clear_backoff();
        }
        for change in changes {
            match change {
                Change::Joined(name) => info!(self.log, "peer joined"; "peer" => %name),
                Change::Leaving(name) => {
                    info!(self.log, "peer is leaving or back"; "peer" => %name)
                }
                Change::Gone(name, address) => {
                    warn!(self.log, "peer is gone"; "peer" => %name);
                    self.keeper.cancel_all_from(address);
                }
            }
        }
        self.reassign();
    }

    /// Takes over targets of other domains once their own instances had time
    /// to start.
    fn gather(&self) {
        if !self.gathered.get() && clock::now() - self.started >= GATHER {
            self.gathered.set(true);
            self.reassign();
        }
    }

    /// Takes over what this instance should own.
    fn reassign(&self) {
        let own = Candidate {
            name: &self.config.name,
            domain: &self.config.domain,
            weight: self.config.weight,
        };
        let catalog = self.catalog.borrow();
        let targets = catalog.targets();
        let leaving = self.leaving.get();
        let near = |it: &Target| self.gathered.get() || it.domain == self.config.domain;
        let mine = targets.values().filter(|it| near(it)).filter(|it| {
            let owner = self.membership.owner(&it.id, &it.domain, own, leaving);
            owner.as_deref() == Some(&*self.config.name)
        });
        let mine: Vec<Target> = mine.cloned().collect();
        let before = self.keeper.short_ids();
        self.keeper.assign_targets(&mine);
        // Fronts hand work only to targets of which they have heard.
        if self.keeper.short_ids() != before {
            self.send_heartbeats();
        }
        self.keeper.refresh_targets(&|id| targets.get(id).cloned());
    }

    fn send_heartbeats(&self) {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let heartbeat = Heartbeat {
            name: self.config.name.clone(),
            incarnation: self.incarnation,
            clocks: ClockReading::now(),
            sequence,
            domain: self.config.domain.clone(),
            address: self.config.address,
            weight: self.config.weight,
            leaving: self.leaving.get(),
            load: self.keeper.load(),
            held: self
                .keeper
                .target_ids()
                .iter()
                .map(|it| Target::short_id(it))
                .collect(),
            config: self.config_seen(),
        };
        let far: Vec<SocketAddr> = {
            let alive = self.membership.live_peers();
            let far = alive.iter().filter(|it| it.domain != self.config.domain);
            far.map(|it| it.address).collect()
        };
        for address in self.membership.addresses() {
            let due = sequence.is_multiple_of(FAR_BEACONS) || !far.contains(&address);
            if address != self.config.address && due {
                self.peers.send_heartbeat(address, &heartbeat);
            }
        }
    }
}
