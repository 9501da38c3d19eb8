/*!
One entry instance: its targets, its peers and its queue configuration.

A [`Node`] is driven from outside by rows of the platform's tables, by
heartbeats and requests of peers, and by jobs of callers. Whenever the list of
targets or the set of live peers changes, it takes over the targets that it
should own.
*/

use std::{
    cell::{Cell, RefCell},
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock, spawn, suspension::Suspension};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{Logger, info, warn};

use crate::{
    InjectedFault, Target,
    active_services::ActiveServices,
    config::{Config as QueueConfig, Observation},
    crash_history::{CrashHistory, LossReport},
    evacuation::{Difference, EvacuationState, MissingChanges, RowPage, domain_id},
    frontend::{self, Frontend},
    identity::Identity,
    membership::{self, Change, Heartbeat, Membership, Peer, Reply, Request, Transport},
    messages::{ClockReading, NotStartedReason, RunOutcome, RunRequest},
    orphans,
    ownership::Candidate,
    permission::Contact,
    scheduler::{self, Scheduler, Waiter},
    table_watch::{ConfigTiming, OperatorRow, Page, Query},
    target_client::TargetClient,
    target_list::{Delta, TargetList},
};

/// Time between two passes over waiting work and silent peers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after its start in which an instance takes over no targets of other
/// domains. Instances that lost power together start within a few tenths of a
/// second.
const STARTUP_GRACE: Duration = Duration::from_millis(600);

/// Age above which a run request of a peer is refused. Shorter than the failure
/// timeout after which a frontend gives up an owner.
const MAX_RUN_REQUEST_AGE: Duration = Duration::from_millis(400);

/// Most runs in one report, which has to fit into a message.
const MAX_REPORTED_RUNS: usize = 512;

/// Poll wait under [`InjectedFault::SingleLongPoll`].
const INJECTED_POLL_WAIT: Duration = Duration::from_secs(8);

/// Number of peers that may be asked for one configuration at the same time.
const PARALLEL_FETCHES: u32 = 3;

/// Parses a configuration document.
pub type Decode = fn(&str) -> Result<QueueConfig, String>;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name, unique among the instances.
    pub name: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Address at which peers reach this instance.
    pub address: SocketAddr,
    /// Share of the targets that it should own, relative to its peers.
    pub weight: u32,
    /// Settings of the owner's side.
    pub scheduler: scheduler::Config,
    /// Timing of heartbeats and failure detection.
    pub membership: membership::Config,
    /// Time after which a run that no owner has found is certainly over.
    pub orphan_timeout: Duration,
    /// Time within which a new configuration must be in force.
    pub config_deadline: Duration,
    /// Fault injected by a test.
    pub injected_fault: Option<InjectedFault>,
}

/// Peer that knows a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigSource {
    /// Newest configuration that the peer knows.
    pub observation: Observation,
    /// Address of the peer.
    pub peer: SocketAddr,
}

/// One entry instance.
pub struct Node {
    config: Config,
    incarnation: u64,
    candidate: Candidate,
    identity: Cell<Option<Identity>>,
    /// Identities of earlier processes of this instance that peers remember.
    reported_identities: RefCell<BTreeSet<Identity>>,
    scheduler: Scheduler,
    frontend: Frontend,
    membership: Rc<Membership>,
    crash_history: Rc<CrashHistory>,
    transport: Rc<dyn Transport>,
    decode: Decode,
    log: Logger,
    target_list: Rc<RefCell<TargetList>>,
    queue_config: RefCell<Rc<QueueConfig>>,
    active_services: RefCell<ActiveServices>,
    /// True while a target of a service that is not active is held for its runs.
    holds_inactive: Cell<bool>,
    evacuations: Rc<RefCell<EvacuationState>>,
    /// Newest version of the platform's tables at which the configuration in
    /// force was still current, and when this instance learned that.
    config_confirmed: Cell<(u64, Option<Instant>)>,
    /// Notified when a peer announces a newer configuration.
    newer_config: Notify,
    heartbeat_sequence: Cell<u64>,
    /// True while the next tick is to send heartbeats.
    heartbeats_due: Cell<bool>,
    /// True while the next tick is to compute which targets to own.
    ownership_due: Cell<bool>,
    /// Last suspension of the process that was logged.
    logged_suspension: Cell<Option<Suspension>>,
    leaving: Cell<bool>,
    started_at: Instant,
    /// True once [`STARTUP_GRACE`] has passed.
    startup_grace_over: Cell<bool>,
}

impl Node {
    /// Creates an instance without targets, peers or configuration.
    pub fn new(
        config: Config,
        orders: Rc<dyn TargetClient>,
        transport: Rc<dyn Transport>,
        decode: Decode,
        log: Logger,
    ) -> Rc<Node> {
        let scheduler_config = scheduler::Config {
            give_up_time: config.orphan_timeout,
            injected_fault: config.injected_fault,
            ..config.scheduler
        };
        let evacuations = Rc::new(RefCell::new(EvacuationState::new(config.injected_fault)));
        let scheduler = Scheduler::new(
            scheduler_config,
            orders,
            Rc::clone(&evacuations),
            log.clone(),
        );
        let membership = Rc::new(Membership::new(
            config.name.clone(),
            config.domain.clone(),
            config.membership,
        ));
        let (name, domain) = (config.name.clone(), config.domain.clone());
        let candidate = Candidate::new(name, domain, config.weight);
        let target_list = Rc::default();
        let crash_history: Rc<CrashHistory> = Rc::default();
        let frontend = Frontend::new(
            frontend::Config {
                name: config.name.clone(),
                domain: config.domain.clone(),
                address: config.address,
                orphan_timeout: config.orphan_timeout,
                injected_fault: config.injected_fault,
            },
            scheduler.clone(),
            membership.clone(),
            crash_history.clone(),
            Rc::clone(&target_list),
            transport.clone(),
            log.clone(),
        );
        Rc::new(Node {
            config,
            incarnation: clock::wall(),
            candidate,
            identity: Cell::default(),
            reported_identities: RefCell::default(),
            scheduler,
            frontend,
            membership,
            crash_history,
            transport,
            decode,
            log,
            target_list,
            queue_config: RefCell::default(),
            active_services: RefCell::default(),
            holds_inactive: Cell::new(false),
            evacuations,
            config_confirmed: Cell::default(),
            newer_config: Notify::new(),
            heartbeat_sequence: Cell::new(0),
            heartbeats_due: Cell::new(false),
            ownership_due: Cell::new(false),
            logged_suspension: Cell::default(),
            leaving: Cell::new(false),
            started_at: clock::now(),
            startup_grace_over: Cell::new(false),
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &Rc<str> {
        &self.config.name
    }

    /// Returns the frontend, which takes jobs.
    pub fn frontend(&self) -> &Frontend {
        &self.frontend
    }

    /// Returns the owner's side, which holds targets.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Returns what is known of the other instances.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the configuration in force; its version is 0 before there is one.
    pub fn queue_config(&self) -> Rc<QueueConfig> {
        self.queue_config.borrow().clone()
    }

    /// Returns the versions of the configuration in force and of the platform's
    /// tables at which it was last known to be current.
    pub fn config_observation(&self) -> Observation {
        Observation {
            config_version: self.queue_config.borrow().version,
            table_version: self.config_confirmed.get().0,
        }
    }

    /// Returns the time since the configuration in force was last confirmed as
    /// current.
    pub fn config_age(&self) -> Duration {
        let confirmed_at = self.config_confirmed.get().1.unwrap_or(self.started_at);
        clock::now() - confirmed_at
    }

    /// Returns how long the first reader in rank lets the platform wait for a
    /// change of the configuration.
    pub fn config_poll_wait(&self) -> Duration {
        ConfigTiming::within(self.config.config_deadline).poll_wait
    }

    /// Waits until this instance should ask the platform for the configuration,
    /// and returns how long that query may wait for a change.
    pub async fn wait_for_config_turn(&self) -> Duration {
        if self.config.injected_fault == Some(InjectedFault::SingleLongPoll) {
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

    /// Waits until at least one live peer knows a newer configuration, and
    /// returns these peers, those of the same failure domain first.
    pub async fn wait_for_newer_config(&self) -> Vec<ConfigSource> {
        loop {
            let notified = self.newer_config.notified();
            let version = self.queue_config.borrow().version;
            let mut newer = self.membership.live_peers();
            newer.retain(|it| it.heartbeat.newest_config.config_version > version);
            newer.sort_by_key(|it| it.heartbeat.domain != self.config.domain);
            if !newer.is_empty() {
                let source = |it: Peer| ConfigSource {
                    observation: it.heartbeat.newest_config,
                    peer: it.heartbeat.address,
                };
                return newer.into_iter().map(source).collect();
            }
            notified.await;
        }
    }

    /// Returns the version of the platform's tables up to which all rows of the
    /// operator's table are known.
    pub fn operator_table_version(&self) -> u64 {
        let config_version = self.config_observation().table_version;
        config_version.min(self.evacuations.borrow().version())
    }

    /// Returns the number of evacuated domains.
    pub fn evacuated_domains(&self) -> usize {
        self.evacuations.borrow().len()
    }

    /// Applies what the platform returned to `query` for the operator's table. Fails
    /// if changes before the page are missing.
    pub fn apply_operator_page(
        &self,
        query: Query,
        page: Page<OperatorRow>,
    ) -> Result<(), MissingChanges> {
        let mut documents = Vec::new();
        let mut rows = Vec::new();
        for row in page.rows {
            match row {
                OperatorRow::Config(document) => documents.push(document),
                OperatorRow::Evacuation(row) => rows.push(row),
            }
        }
        let after = match query {
            Query::All => None,
            Query::Changes { after, .. } => Some(after),
        };
        let row_page = RowPage {
            after,
            version: page.version,
            rows,
        };
        let applied = self.evacuations.borrow_mut().apply(&row_page, clock::now());
        if let Ok(difference) = &applied {
            self.handle_evacuations(difference, "store");
        }
        let mut documents = documents.iter();
        if documents.all(|it| self.apply_document(it, page.version, "store")) {
            self.confirm_config(page.version);
        }
        applied.map(drop)
    }

    /// Enforces a newer set of evacuated domains and informs the peers.
    fn handle_evacuations(&self, difference: &Difference, source: &str) {
        if difference.is_empty() {
            return;
        }
        let version = self.evacuations.borrow().version();
        for (domains, change) in [
            (&difference.evacuated, "evacuated"),
            (&difference.cancelled, "returns"),
        ] {
            for domain in domains {
                let target_list = self.target_list.borrow();
                let targets = target_list.targets().values();
                let of_domain = targets.filter(|it| domain_id(&it.domain) == *domain);
                let listed: Vec<_> = of_domain.collect();
                // A row may name a domain that does not exist.
                let name = listed.first().map_or("unknown", |it| &*it.domain);
                info!(self.log, "failure domain {}", change; "domain" => name, "id" => domain,
                    "targets" => listed.len(), "version" => version, "source" => source);
            }
        }
        self.scheduler.apply_evacuations();
        if difference.changes_domains() {
            self.heartbeats_due.set(true);
        }
    }

    /// Records that the configuration in force is current at this version of the
    /// platform's tables. An instance whose set of evacuated domains is older reads
    /// the table by itself.
    fn confirm_config(&self, table_version: u64) {
        let table_version = table_version.min(self.evacuations.borrow().version());
        if table_version > self.config_confirmed.get().0 {
            self.config_confirmed
                .set((table_version, Some(clock::now())));
        }
    }

    fn log_ended_returns(&self) {
        for domain in self.evacuations.borrow_mut().end_returns(clock::now()) {
            info!(self.log, "all targets of a failure domain are used again"; "id" => domain);
        }
    }

    /// Returns the wall time at which this instance started, in milliseconds.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns true if callers can be served.
    pub fn is_ready(&self) -> bool {
        self.queue_config.borrow().version > 0
            && self.target_list.borrow().version().is_some()
            && !self.leaving.get()
            && self.scheduler.is_synced()
    }

    /// Starts sending heartbeats and the periodic passes, which run until the
    /// process ends.
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
                node.log_suspension();
                let changes = node.membership.expire_silent_peers();
                node.scheduler.set_hearing(node.membership.hearing());
                node.handle_changes(changes);
                node.end_startup_grace();
                node.expire_services();
                if node.ownership_due.take()
                    || node.scheduler.backoff_expired()
                    || node.scheduler.can_make_room()
                {
                    node.update_owned_targets();
                }
                if node.heartbeats_due.take() {
                    node.send_heartbeats();
                }
                node.log_ended_returns();
                node.scheduler.tick();
                node.frontend.tick();
                node.crash_history.tick();
                node.send_loss_reports();
                node.send_orphans();
                node.scheduler.orphans().tick();
            }
        }));
    }

    /// Sets the identity of this process, without which it takes over no targets.
    /// Only the first call has an effect.
    pub fn set_identity(&self, identity: Identity) {
        if self.identity.get().is_some() {
            return;
        }
        let identity = match self.config.injected_fault {
            Some(InjectedFault::SharedIdentity) => Identity::default(),
            _ => identity,
        };
        self.identity.set(Some(identity));
        self.scheduler.set_identity(identity);
        self.update_owned_targets();
    }

    /// Replaces the whole list of targets.
    pub fn replace_targets(&self, version: u64, targets: BTreeMap<Rc<str>, Target>) {
        self.target_list.borrow_mut().replace(version, targets);
        self.update_owned_targets();
    }

    /// Applies the rows of the list of targets that changed after its last
    /// version, and sends the difference to the peers of this failure domain.
    pub fn update_targets(&self, version: u64, rows: Vec<(Rc<str>, Option<Target>)>) {
        let delta = {
            let mut target_list = self.target_list.borrow_mut();
            target_list.mark_read();
            target_list.diff(version, rows)
        };
        // An unchanged version may mean that this instance reads a stale view.
        // Its peers get no message then, and read the list by themselves.
        if delta.to_version <= delta.from_version {
            return;
        }
        for (_, address) in self.membership.domain_peers(&self.config.domain) {
            let call = self
                .transport
                .call(address, Request::Targets(delta.clone()));
            // A peer that misses the message reads the list by itself.
            drop(spawn(async move { drop(call.await) }));
        }
        self.apply_target_delta(delta);
    }

    /// Applies rows that are newer than the list of targets, of which changes in between
    /// are not known. The list keeps its version, and stays empty before the first read.
    pub fn amend_targets(&self, rows: Vec<(Rc<str>, Option<Target>)>) {
        if self.target_list.borrow_mut().amend(rows) {
            self.update_owned_targets();
        }
    }

    /// Returns the version of the list of targets, or `None` before the first
    /// read.
    pub fn targets_version(&self) -> Option<u64> {
        self.target_list.borrow().version()
    }

    /// Waits until this instance should read the list of targets.
    pub async fn wait_for_targets_turn(&self) {
        loop {
            let domain_peers = self.membership.domain_peers(&self.config.domain);
            let lower_ranks = domain_peers.iter().filter(|it| it.0 < self.config.name);
            let due = self
                .target_list
                .borrow()
                .time_until_due(lower_ranks.count());
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

    /// Applies a configuration document unless its version is lower than or
    /// equal to the one in force. Returns false if it can't be parsed.
    pub fn apply_config(&self, document: &str, source: &str) -> bool {
        self.apply_document(document, 0, source)
    }

    /// Applies a configuration document that was current at `table_version` of
    /// the platform's tables, or 0 if that is not known.
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
        if older && self.config.injected_fault != Some(InjectedFault::AcceptOlderConfig) {
            return true;
        }
        info!(self.log, "configuration in force"; "version" => queue_config.version,
            "before" => before, "source" => source, "queues" => queue_config.queues.len());
        let queue_config = Rc::new(queue_config);
        let previous = self.queue_config.replace(queue_config.clone());
        self.update_services(&previous, &queue_config);
        self.confirm_config(table_version);
        self.send_heartbeats();
        true
    }

    /// Takes over the targets of services that a new configuration names.
    fn update_services(&self, previous: &QueueConfig, queue_config: &QueueConfig) {
        let mut active_services = self.active_services.borrow_mut();
        let difference = active_services.configure(previous, queue_config, clock::now());
        drop(active_services);
        for service in &difference.added {
            let target_list = self.target_list.borrow();
            let listed = target_list.targets().values();
            info!(self.log, "service in use"; "service" => &**service,
                "version" => queue_config.version,
                "targets" => listed.filter(|it| it.service == *service).count());
        }
        for (service, retention) in &difference.retired {
            info!(self.log, "no queue names a service any more"; "service" => &**service,
                "version" => queue_config.version, "kept_ms" => retention.as_millis());
        }
        if !difference.added.is_empty() {
            self.update_owned_targets();
        }
    }

    /// Gives up the targets of services that are no longer in use, each once its runs
    /// have ended.
    fn expire_services(&self) {
        let expired = self.active_services.borrow_mut().expire(clock::now());
        for service in &expired {
            info!(self.log, "service not in use any more"; "service" => &**service);
        }
        if !expired.is_empty() || self.holds_inactive.get() {
            self.release_inactive();
        }
    }

    fn release_inactive(&self) {
        let active_services = self.active_services.borrow();
        let held = self.scheduler.short_ids().len();
        let is_active = |service: &str| active_services.contains(service);
        let all_released = self.scheduler.release_inactive(&is_active);
        self.holds_inactive.set(!all_released);
        if self.scheduler.short_ids().len() != held {
            self.heartbeats_due.set(true);
        }
    }

    /// Handles a heartbeat of a peer.
    pub fn receive_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        let (own_version, newest) = (self.queue_config.borrow().version, heartbeat.newest_config);
        let (name, sender) = (heartbeat.name.clone(), heartbeat.address);
        let difference = self
            .evacuations
            .borrow_mut()
            .merge(&heartbeat.evacuations, clock::now());
        self.handle_evacuations(&difference, "peer");
        if let Some(identity) = heartbeat.recipient_identity {
            self.reported_identities.borrow_mut().insert(identity);
        }
        let changes = self.membership.record_heartbeat(heartbeat);
        match newest.config_version.cmp(&own_version) {
            Ordering::Greater => self.newer_config.notify(),
            Ordering::Equal => self.confirm_config(newest.table_version),
            Ordering::Less => {}
        }
        if changes.iter().any(|it| matches!(it, Change::Joined(_))) {
            let answer = Heartbeat {
                recipient_identity: self.membership.identity_of(&name),
                ..self.heartbeat()
            };
            self.transport.send_heartbeat(&[sender], &answer);
        }
        self.handle_changes(changes);
    }

    /// Reports the targets that were lost here to the instances that may get the
    /// jobs of their tasks: those in the domains of the frontends.
    fn send_loss_reports(&self) {
        let mut by_domain: BTreeMap<Rc<str>, Vec<LossReport>> = BTreeMap::new();
        for (report, fronts) in self.scheduler.take_loss_reports() {
            self.crash_history.record(&report);
            let domain_of = |it: &SocketAddr| match *it == self.config.address {
                true => Some(self.config.domain.clone()),
                false => self.membership.domain_of(*it),
            };
            let domains: BTreeSet<_> = fronts.iter().filter_map(domain_of).collect();
            for domain in domains {
                by_domain.entry(domain).or_default().push(report.clone());
            }
        }
        for (domain, reports) in by_domain {
            for (_, address) in self.membership.domain_peers(&domain) {
                self.send_losses(address, reports.clone());
            }
        }
    }

    /// Reports the runs here that no frontend waits for to all instances, as a caller
    /// may submit their jobs again to any of them.
    fn send_orphans(&self) {
        let orphans = self.scheduler.take_orphans();
        if orphans.is_empty() {
            return;
        }
        info!(self.log, "runs without a frontend"; "runs" => orphans.len(),
            "first" => %orphans[0].task);
        for orphans in orphans.chunks(MAX_REPORTED_RUNS) {
            let report = orphans::Report {
                owner: self.config.address,
                orphans: orphans.to_vec(),
            };
            self.record_orphans(&report);
            for peer in self.membership.live_addresses() {
                self.send_orphan_report(peer, report.clone());
            }
        }
    }

    fn send_orphan_report(&self, to: SocketAddr, report: orphans::Report) {
        let call = self.transport.call(to, Request::Orphans(report));
        // A peer that misses the report gets it when it is heard again.
        drop(spawn(async move { drop(call.await) }));
    }

    /// Reports what a peer has to know that was not heard before: the runs that this
    /// instance has reported, and those of owners that are gone.
    fn send_known_orphans(&self, to: SocketAddr) {
        let live = self.membership.live_addresses();
        let reports = self
            .scheduler
            .orphans()
            .reports(|owner| owner == self.config.address || !live.contains(&owner));
        for report in reports {
            self.send_orphan_report(to, report);
        }
    }

    fn record_orphans(&self, report: &orphans::Report) {
        let retention = self.config.orphan_timeout;
        self.scheduler.orphans().record(report, retention);
        self.frontend.mark_started(report.jobs());
    }

    fn send_losses(&self, to: SocketAddr, reports: Vec<LossReport>) {
        if reports.is_empty() {
            return;
        }
        let call = self.transport.call(to, Request::Losses(reports));
        // A peer that misses the report may run a task once more.
        drop(spawn(async move { drop(call.await) }));
    }

    /// Reply to a run request for which there is no room. The run never starts here.
    pub fn reject_run(&self, run_request: &RunRequest) -> Reply {
        info!(self.log, "run request refused for lack of room"; "task" => %run_request.task,
            "run" => run_request.run, "bytes" => run_request.held_bytes());
        let run_outcome = RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
        Reply::Ended(run_outcome, self.scheduler.load())
    }

    /// Handles a request of a peer, which came on a connection with `contact`.
    pub fn handle_request(
        &self,
        mut request: Request,
        contact: &Contact,
    ) -> LocalFuture<'static, Reply> {
        let (scheduler, waiter) = (self.scheduler.clone(), Waiter::Peer(contact.clone()));
        if let Request::Run(run_request) = &mut request
            && self.config.injected_fault == Some(InjectedFault::AcceptForeignRequest)
        {
            // The earlier process may have run on another machine, whose clocks tell
            // nothing about when this one has taken its targets over.
            run_request.sent_at = ClockReading::now();
        }
        match request {
            // This process does not know which runs the earlier one has denied.
            Request::Run(run_request) if !self.is_recipient(&run_request) => {
                info!(self.log, "run request is for an earlier process"; "task" => %run_request.task,
                    "run" => run_request.run, "process" => run_request.owner_incarnation);
                let run_outcome = RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
                Box::pin(async move { Reply::Ended(run_outcome, scheduler.load()) })
            }
            // The frontend has given this run up and may have started the task
            // elsewhere.
            Request::Run(run_request) if run_request.sent_at.is_older_than(MAX_RUN_REQUEST_AGE) => {
                info!(self.log, "run request is too old"; "task" => %run_request.task, "run" => run_request.run);
                let run_outcome = RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
                Box::pin(async move { Reply::Ended(run_outcome, scheduler.load()) })
            }
            Request::Run(run_request) => {
                contact.confirm(run_request.sent_at);
                Box::pin(async move {
                    let run_outcome = scheduler.run(run_request, waiter).await;
                    Reply::Ended(run_outcome, scheduler.load())
                })
            }
            Request::Claim {
                mut run_request,
                short_ids,
            } => {
                if self.is_recipient(&run_request) {
                    contact.confirm(run_request.sent_at);
                }
                // A run that is claimed is not started here on behalf of this request.
                run_request.sent_at = ClockReading::default();
                Box::pin(async move {
                    match scheduler.claim(run_request, short_ids, waiter).await {
                        Ok(run_outcome) => Reply::Ended(run_outcome, scheduler.load()),
                        Err(excluded) => Reply::NotFound { excluded },
                    }
                })
            }
            Request::Cancel { task, run } => {
                scheduler.cancel(task, run);
                Box::pin(async { Reply::Accepted })
            }
            Request::Block(job) => {
                let reply = match self.frontend.block(job) {
                    true => Reply::Accepted,
                    false => Reply::Started,
                };
                Box::pin(async move { reply })
            }
            Request::Losses(reports) => {
                reports.iter().for_each(|it| self.crash_history.record(it));
                Box::pin(async { Reply::Accepted })
            }
            Request::Orphans(report) => {
                self.record_orphans(&report);
                Box::pin(async { Reply::Accepted })
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

    /// Returns the identities of earlier processes of this instance that peers have
    /// reported.
    pub fn reported_identities(&self) -> BTreeSet<Identity> {
        self.reported_identities.borrow().clone()
    }

    /// Whether a run request was sent to this process.
    fn is_recipient(&self, run_request: &RunRequest) -> bool {
        run_request.owner_incarnation == self.incarnation
            || self.config.injected_fault == Some(InjectedFault::AcceptForeignRequest)
    }

    /// Gives up all targets for a planned stop. Jobs of callers are still
    /// served.
    pub fn leave(&self) {
        if self.leaving.replace(true) {
            return;
        }
        // Peers take the targets over before any lease expires.
        self.send_heartbeats();
        self.scheduler.release_all();
    }

    /// Fetches a newer configuration from `sources`, in order, until one
    /// delivers it. Each peer has `limit` to answer; the next one is asked after
    /// a third of it.
    pub async fn fetch_config(&self, sources: &[ConfigSource], limit: Duration) {
        let is_newer =
            |it: &ConfigSource| it.observation.config_version > self.queue_config.borrow().version;
        let mut fetching = FuturesUnordered::new();
        for source in sources.iter().copied().filter(is_newer) {
            fetching.push(self.fetch_config_from(source, limit));
            // The result doesn't matter: the filter checks whether a newer one
            // is still needed.
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
        let is_join = |it: &Change| matches!(it, Change::Joined(_));
        if !changes.iter().all(is_join) {
            self.scheduler.clear_backoff();
        }
        for change in changes {
            match change {
                Change::Joined(name) => {
                    info!(self.log, "peer joined"; "peer" => %name);
                    let address = self.membership.address_of(&name);
                    let is_local = |it: &SocketAddr| {
                        self.membership.domain_of(*it).as_ref() == Some(&self.config.domain)
                    };
                    if let Some(address) = address {
                        self.send_known_orphans(address);
                    }
                    if let Some(address) = address.filter(is_local) {
                        self.send_losses(address, self.crash_history.reports());
                    }
                }
                Change::LeavingChanged(name) => {
                    info!(self.log, "peer is leaving or has come back"; "peer" => %name)
                }
                Change::Lost(name, address) => {
                    warn!(self.log, "peer is gone"; "peer" => %name);
                    self.scheduler.cancel_all_from(address);
                }
            }
        }
        self.ownership_due.set(true);
    }

    /// Allows this instance to take over targets of other domains once their own
    /// instances had time to start.
    fn end_startup_grace(&self) {
        if !self.startup_grace_over.get() && clock::now() - self.started_at >= STARTUP_GRACE {
            self.startup_grace_over.set(true);
            self.update_owned_targets();
        }
    }

    /// Takes over the targets that this instance should own.
    fn update_owned_targets(&self) {
        let assignment = self
            .membership
            .assignment(&self.candidate, self.leaving.get());
        let target_list = self.target_list.borrow();
        let targets = target_list.targets();
        let own_domain = &self.config.domain;
        let may_own_remote = self.startup_grace_over.get();
        let active_services = self.active_services.borrow();
        let eligible = |it: &&Target| {
            let is_open =
                it.domain == *own_domain || may_own_remote && assignment.is_open(&it.domain);
            is_open && active_services.contains(&it.service)
        };
        let owned = targets.values().filter(eligible).filter(|it| {
            let owner = assignment.owner_of(&it.id, &it.domain);
            owner == Some(&self.config.name)
        });
        let owned: Vec<Target> = owned.cloned().collect();
        let before = self.scheduler.short_ids();
        self.crash_history.compare_with_list(&target_list);
        let lost_targets = self.membership.held_by_failed_peers();
        self.scheduler.set_lost_targets(lost_targets);
        self.scheduler.assign_targets(&owned);
        // Frontends send work only to targets that a heartbeat has announced.
        if self.scheduler.short_ids() != before {
            self.heartbeats_due.set(true);
        }
        self.scheduler
            .refresh_targets(&|id| targets.get(id).cloned());
        self.release_inactive();
    }

    fn log_suspension(&self) {
        let last = self.membership.suspensions().last();
        if let Some(suspension) = last.filter(|_| last != self.logged_suspension.replace(last)) {
            warn!(self.log, "process was suspended";
                "suspended_ms" => suspension.duration.as_millis(),
                "jobs" => self.frontend.open_jobs(),
                "tasks_waiting" => self.scheduler.task_counts().1);
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let sequence = self.heartbeat_sequence.get() + 1;
        self.heartbeat_sequence.set(sequence);
        Heartbeat {
            name: self.config.name.clone(),
            incarnation: self.incarnation,
            clocks: ClockReading::now(),
            sequence,
            domain: self.config.domain.clone(),
            address: self.config.address,
            weight: self.config.weight,
            leaving: self.leaving.get(),
            load: self.scheduler.load(),
            target_short_ids: self.scheduler.short_ids(),
            newest_config: self.config_observation(),
            evacuations: self.evacuations.borrow().announcement(),
            remote_period: self.membership.remote_period(),
            identity: self.identity.get(),
            recipient_identity: None,
        }
    }

    fn send_heartbeats(&self) {
        if !self.membership.knows_addresses() {
            return;
        }
        let heartbeat = self.heartbeat();
        let mut recipients = self.membership.recipients(heartbeat.sequence);
        recipients.retain(|it| *it != self.config.address);
        self.transport.send_heartbeat(&recipients, &heartbeat);
    }
}
