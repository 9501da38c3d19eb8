/*!
One entry instance: its targets, its peers and the configuration in force.

A [`Node`] is driven from outside by what is read from the table_version, by
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
    config::{Config as QueueConfig, Observation},
    frontend::{self, Frontend},
    membership::{self, Change, Heartbeat, Membership, Reply, Request, Transport},
    messages::{ClockReading, NotStartedReason, RunOutcome},
    orders::Orders,
    ownership::Candidate,
    scheduler::{self, DropPolicy, Scheduler},
    table_watch::{ConfigDocument, ConfigTiming, Page},
    target_list::{Delta, TargetList},
};

/// Time between two passes over waiting work and silent peers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Beacons to one's own failure domain for one to another.
const REMOTE_HEARTBEAT_DIVISOR: u64 = 2;

/// Time after its start in which an instance takes no targets of other domains:
/// instances that lost power together start within a few tenths of a second.
const STARTUP_GRACE: Duration = Duration::from_millis(600);

/// Longest way of an order between instances; less than the silence after
/// which a front takes an owner for gone.
const MAX_ORDER_AGE: Duration = Duration::from_millis(400);

/// Wait of [`Planted::PollAlone`].
const INJECTED_POLL_WAIT: Duration = Duration::from_secs(8);

/// Peers that are asked for one configuration at the same time.
const PARALLEL_FETCHES: u32 = 3;

/// Reads a configuration document.
pub type Decode = fn(&str) -> Result<QueueConfig, String>;

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
pub struct ConfigSource {
    /// What the peer knows.
    pub observation: Observation,
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
    transport: Rc<dyn Transport>,
    decode: Decode,
    log: Logger,
    target_list: RefCell<TargetList>,
    queue_config: RefCell<Rc<QueueConfig>>,
    /// Version of the platform's tables at which the configuration in force was
    /// the newest, and when that was learnt.
    config_confirmed: Cell<(u64, Option<Instant>)>,
    /// Told when a peer is heard that knows a newer configuration.
    newer_config: Notify,
    heartbeat_sequence: Cell<u64>,
    leaving: Cell<bool>,
    started_at: Instant,
    /// True once the time has passed in which others may still start.
    startup_grace_over: Cell<bool>,
}

impl Node {
    /// Instance that knows nothing yet.
    pub fn new(
        config: Config,
        orders: Rc<dyn Orders>,
        transport: Rc<dyn Transport>,
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
            transport.clone(),
            log.clone(),
        );
        Rc::new(Node {
            config,
            incarnation: clock::wall(),
            keeper,
            frontend,
            membership,
            transport,
            decode,
            log,
            target_list: RefCell::default(),
            queue_config: RefCell::default(),
            config_confirmed: Cell::default(),
            newer_config: Notify::new(),
            heartbeat_sequence: Cell::new(0),
            leaving: Cell::new(false),
            started_at: clock::now(),
            startup_grace_over: Cell::new(false),
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
    pub fn queue_config(&self) -> Rc<QueueConfig> {
        self.queue_config.borrow().clone()
    }

    /// Configuration in force, and where it was last seen to be the newest.
    pub fn config_observation(&self) -> Observation {
        Observation {
            config_version: self.queue_config.borrow().version,
            table_version: self.config_confirmed.get().0,
        }
    }

    /// Time since the configuration in force was last learnt to be the newest.
    pub fn config_age(&self) -> Duration {
        let confirmed_at = self.config_confirmed.get().1.unwrap_or(self.started_at);
        clock::now() - confirmed_at
    }

    /// Time for which the first in line waits for a change of the configuration.
    pub fn config_poll_wait(&self) -> Duration {
        ConfigTiming::within(self.config.config_deadline).poll_wait
    }

    /// Waits until it is this instance's turn to ask the platform for the
    /// configuration; says for how long to wait for a change.
    pub async fn wait_for_config_turn(&self) -> Duration {
        if self.config.planted == Some(Planted::PollAlone) {
            return INJECTED_POLL_WAIT;
        }
        let timing = ConfigTiming::within(self.config.config_deadline);
        loop {
            let rank = self.membership.rank_of(&self.config.name);
            let due = timing
                .schedule
                .time_until_due(self.config_confirmed.get().1, rank);
            if !due.is_zero() {
                clock::sleep(due).await;
                continue;
            }
            if rank == 0 {
                return timing.poll_wait;
            }
            if self.config_confirmed.get().1.is_some() {
                info!(self.log, "configuration not renewed by others, reading it";
                    "rank" => rank, "age_ms" => self.config_age().as_millis(),
                    "version" => self.queue_config().version);
            }
            return Duration::ZERO;
        }
    }

    /// Waits for peers that know a newer configuration; those of this domain come
    /// first.
    pub async fn wait_for_newer_config(&self) -> Vec<ConfigSource> {
        loop {
            let notified = self.newer_config.notified();
            let version = self.queue_config.borrow().version;
            let mut newer = self.membership.live_peers();
            newer.retain(|it| it.newest_config.config_version > version);
            newer.sort_by_key(|it| it.domain != self.config.domain);
            if !newer.is_empty() {
                let source = |it: Heartbeat| ConfigSource {
                    observation: it.newest_config,
                    peer: it.address,
                };
                return newer.into_iter().map(source).collect();
            }
            notified.await;
        }
    }

    /// Takes in what the platform said of the configuration.
    pub fn apply_config_page(&self, page: &Page<ConfigDocument>) {
        let mut rows = page.rows.iter();
        let readable = rows.all(|it| self.apply_document(it, page.version, "store"));
        if readable {
            self.confirm_config(page.version);
        }
    }

    /// Notes that the configuration in force is the newest at this version of
    /// the platform's tables.
    fn confirm_config(&self, table_version: u64) {
        if table_version > self.config_confirmed.get().0 {
            self.config_confirmed
                .set((table_version, Some(clock::now())));
        }
    }

    /// Wall time of the start of this instance, in milliseconds.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// True once callers can be served.
    pub fn is_ready(&self) -> bool {
        self.queue_config.borrow().version > 0
            && self.target_list.borrow().version().is_some()
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
                clock::sleep(TICK_INTERVAL).await;
                let changes = node.membership.expire_silent_peers();
                node.handle_changes(changes);
                node.end_startup_grace();
                if node.keeper.backoff_expired() {
                    node.update_owned_targets();
                }
                node.keeper.tick();
                node.frontend.tick();
            }
        }));
    }

    /// Takes in the whole list of targets.
    pub fn replace_targets(&self, version: u64, targets: BTreeMap<Rc<str>, Target>) {
        self.target_list.borrow_mut().replace(version, targets);
        self.update_owned_targets();
    }

    /// Takes in the rows of the list of targets that were read after its last
    /// version, and passes on what they change.
    pub fn update_targets(&self, version: u64, rows: Vec<(Rc<str>, Option<Target>)>) {
        let delta = {
            let mut target_list = self.target_list.borrow_mut();
            target_list.mark_read();
            target_list.diff(version, rows)
        };
        // Nothing new may mean that this instance's view stands still, so the
        // others go on to look by themselves.
        if delta.to_version <= delta.from_version {
            return;
        }
        for (_, address) in self.membership.domain_peers(&self.config.domain) {
            let call = self
                .transport
                .call(address, Request::Targets(delta.clone()));
            // A peer that misses it reads the list by itself.
            drop(spawn(async move { drop(call.await) }));
        }
        self.apply_target_delta(delta);
    }

    /// Version of the list of targets, `None` before it has been read.
    pub fn targets_version(&self) -> Option<u64> {
        self.target_list.borrow().version()
    }

    /// Waits until it is this instance's turn to read the list of targets.
    pub async fn wait_for_targets_turn(&self) {
        loop {
            let domain_peers = self.membership.domain_peers(&self.config.domain);
            let before = domain_peers.iter().filter(|it| it.0 < self.config.name);
            let due = self.target_list.borrow().time_until_due(before.count());
            if due.is_zero() {
                return;
            }
            clock::sleep(due).await;
        }
    }

    fn apply_target_delta(&self, delta: Delta) {
        let changes = !delta.changed.is_empty() || !delta.removed.is_empty();
        if self.target_list.borrow_mut().apply(delta) && changes {
            self.update_owned_targets();
        }
    }

    /// Takes in a configuration document; an older version than the one in
    /// force changes nothing. False where it can't be read.
    pub fn apply_config(&self, document: &str, source: &str) -> bool {
        self.apply_document(document, 0, source)
    }

    /// Takes in a configuration document that was the newest at the version
    /// `platform` of the platform's tables, 0 where that is not known.
    fn apply_document(&self, document: &str, table_version: u64, source: &str) -> bool {
        let queue_config = match (self.decode)(document) {
            Ok(queue_config) => queue_config,
            Err(error) => {
                warn!(self.log, "configuration can't be read"; "source" => source,
                    "error" => error);
                return false;
            }
        };
        let before = self.queue_config.borrow().version;
        let older = queue_config.version <= before;
        if older && self.config.planted != Some(Planted::TakeBackConfig) {
            return true;
        }
        info!(self.log, "configuration in force"; "version" => queue_config.version,
            "before" => before, "source" => source, "queues" => queue_config.queues.len());
        *self.queue_config.borrow_mut() = Rc::new(queue_config);
        self.confirm_config(table_version);
        self.send_heartbeats();
        true
    }

    /// Takes in a heartbeat of a peer.
    pub fn receive_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        let (own, config) = (self.queue_config.borrow().version, heartbeat.newest_config);
        let changes = self.membership.record_heartbeat(heartbeat);
        match config.config_version.cmp(&own) {
            Ordering::Greater => self.newer_config.notify(),
            Ordering::Equal => self.confirm_config(config.table_version),
            Ordering::Less => {}
        }
        if changes.iter().any(|it| matches!(it, Change::Joined(_))) {
            self.send_heartbeats();
        }
        self.handle_changes(changes);
    }

    /// Serves a request of a peer.
    pub fn handle_request(&self, request: Request) -> LocalFuture<'static, Reply> {
        let keeper = self.keeper.clone();
        match request {
            // Its front has long given it up and may have begun it elsewhere.
            Request::Run(order) if order.sent_at.is_older_than(MAX_ORDER_AGE) => {
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
                    Err(excluded) => Reply::NotFound { excluded },
                }
            }),
            Request::Cancel { task, run } => {
                keeper.cancel(task, run);
                Box::pin(async { Reply::Accepted })
            }
            Request::Block(job) => {
                let reply = match self.frontend.block(job) {
                    true => Reply::Accepted,
                    false => Reply::Started,
                };
                Box::pin(async move { reply })
            }
            Request::Targets(delta) => {
                self.apply_target_delta(delta);
                Box::pin(async { Reply::Accepted })
            }
            Request::Config { after } => {
                let queue_config = self.queue_config();
                let document =
                    (queue_config.version > after).then(|| queue_config.document.to_string());
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
    pub async fn fetch_config(&self, sources: &[ConfigSource], limit: Duration) {
        let is_newer =
            |it: &ConfigSource| it.observation.config_version > self.queue_config.borrow().version;
        let mut fetching = FuturesUnordered::new();
        for source in sources.iter().copied().filter(is_newer) {
            fetching.push(self.fetch_config_from(source, limit));
            // Whatever came of it, the next hint is looked at.
            let _ = clock::timeout(limit / PARALLEL_FETCHES, fetching.next()).await;
        }
        while sources.iter().any(is_newer) && fetching.next().await.is_some() {}
    }

    async fn fetch_config_from(&self, source: ConfigSource, limit: Duration) {
        let after = self.queue_config.borrow().version;
        let call = self.transport.call(source.peer, Request::Config { after });
        match clock::timeout(limit, call).await {
            Some(Ok(Reply::Config(Some(document)))) => {
                self.apply_document(&document, source.observation.table_version, "peer");
            }
            answer => warn!(self.log, "no configuration from a peer"; "peer" => %source.peer,
                "version" => source.observation.config_version, "in_force" => after, "answer" => ?answer),
        }
    }

    fn handle_changes(&self, changes: Vec<Change>) {
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
                Change::LeavingChanged(name) => {
                    info!(self.log, "peer is leaving or back"; "peer" => %name)
                }
                Change::Lost(name, address) => {
                    warn!(self.log, "peer is gone"; "peer" => %name);
                    self.keeper.cancel_all_from(address);
                }
            }
        }
        self.update_owned_targets();
    }

    /// Takes over targets of other domains once their own instances had time
    /// to start.
    fn end_startup_grace(&self) {
        if !self.startup_grace_over.get() && clock::now() - self.started_at >= STARTUP_GRACE {
            self.startup_grace_over.set(true);
            self.update_owned_targets();
        }
    }

    /// Takes over what this instance should own.
    fn update_owned_targets(&self) {
        let own = Candidate {
            name: &self.config.name,
            domain: &self.config.domain,
            weight: self.config.weight,
        };
        let target_list = self.target_list.borrow();
        let targets = target_list.targets();
        let leaving = self.leaving.get();
        let eligible =
            |it: &Target| self.startup_grace_over.get() || it.domain == self.config.domain;
        let owned = targets.values().filter(|it| eligible(it)).filter(|it| {
            let owner = self
                .membership
                .preferred_owner(&it.id, &it.domain, own, leaving);
            owner.as_deref() == Some(&*self.config.name)
        });
        let owned: Vec<Target> = owned.cloned().collect();
        let before = self.keeper.short_ids();
        self.keeper.assign_targets(&owned);
        // Fronts hand work only to targets of which they have heard.
        if self.keeper.short_ids() != before {
            self.send_heartbeats();
        }
        self.keeper.refresh_targets(&|id| targets.get(id).cloned());
    }

    fn send_heartbeats(&self) {
        let sequence = self.heartbeat_sequence.get() + 1;
        self.heartbeat_sequence.set(sequence);
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
            target_tags: self
                .keeper
                .target_ids()
                .iter()
                .map(|it| Target::short_id(it))
                .collect(),
            newest_config: self.config_observation(),
        };
        let remote: Vec<SocketAddr> = {
            let alive = self.membership.live_peers();
            let remote = alive.iter().filter(|it| it.domain != self.config.domain);
            remote.map(|it| it.address).collect()
        };
        for address in self.membership.addresses() {
            let due =
                sequence.is_multiple_of(REMOTE_HEARTBEAT_DIVISOR) || !remote.contains(&address);
            if address != self.config.address && due {
                self.transport.send_heartbeat(address, &heartbeat);
            }
        }
    }
}
