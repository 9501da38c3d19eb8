/*!
Scheduling of tasks on the targets that this instance owns.

A [`Scheduler`] takes over targets one at a time, see
[`Scheduler::assign_targets`]. For each held target, an asynchronous task renews
the lease and processes ended runs ([`poll_loop`]); each start also has a task of
its own ([`run_control`]). Requests wait in one backlog for all targets. They are
placed whenever capacity may have become free.

A run is over for the scheduler once the target reports its end, a status of the
target does not list it, or its lease has certainly expired. Until then its
capacity stays reserved.
*/

mod claims;
mod orphaned;
mod run_control;
mod held_target;
mod poll_loop;
mod wait_or_start;

use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, LocalFuture, clock, spawn};
use futures_channel::oneshot;
use slog::{Logger, info};

pub use self::claims::Waiter;
use self::{
    claims::DropGuard,
    held_target::{HeldTarget, Phase, Run, RunKey, millis},
    wait_or_start::Waits,
};
use crate::{
    InjectedFault, JobId, Target,
    backlog::{Backlog, Position},
    crash_history::{Fate, LossReport},
    evacuation::EvacuationState,
    fencing::TokenSource,
    forecast::Occupancy,
    identity::Identity,
    lost_answers::LostAnswers,
    messages::{ClockReading, Load, NotStartedReason, RunOutcome, RunRequest},
    orphans::{Orphan, Registry},
    overdue::ActiveRun,
    permission::{Contact, Permission, RESUBMISSION_DELAY},
    placement::{self, Decision, Wait},
    reservation::{self, Reservations},
    room::{ArrivalRate, Room, TargetRoom},
    takeover::{Hearing, STOP_ALLOWANCE},
    target_client::{ExitStatus, TargetClient},
};

/// Initial backoff before a target that another owner holds is taken over again.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff before a target that another owner holds is taken over again.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// At most one in this many targets may be blocked by its circuit breaker.
const BLOCKED_SHARE_DIVISOR: usize = 3;

/// Time for which a denied run is remembered: the longest time for which a
/// request from a frontend may be in transit.
const DENY_DURATION: Duration = Duration::from_secs(10);

/// Shortest time for which a task may wait, so that each gets one attempt to start.
/// The frontend sends a timeout of 0 for a task that it expects to end slightly too late.
const MIN_START_TIMEOUT: Duration = Duration::from_millis(1);

/// Time after which a run that is being stopped is usually gone.
const STOP_TIME: Duration = Duration::from_millis(150);

/// Most targets that are held. A heartbeat has no room for more, and an instance
/// without heartbeats counts as failed.
const MAX_HELD_TARGETS: usize = 128;

const MILLICORES_PER_CORE: u32 = 1_000;

/// Timing of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Duration of the lease for the runs on a target.
    pub lease: Duration,
    /// Maximum time for which a long poll waits for a run to end. The lease is
    /// renewed once per poll.
    pub poll_timeout: Duration,
    /// Timeout of a poll that is requested to answer a claim.
    pub request_timeout: Duration,
    /// Time after which a run without a frontend is stopped unless it is claimed.
    pub claim_timeout: Duration,
    /// Shortest time after which a frontend that has lost this instance gives up its
    /// runs here.
    pub give_up_time: Duration,
    /// Time since the last answer after which a target that is no longer listed is
    /// released.
    pub unlisted_timeout: Duration,
    /// Factor on the estimated run time on targets outside the rack that holds the
    /// data.
    pub far_factor: f64,
    /// Fault injected by a test.
    pub injected_fault: Option<InjectedFault>,
}

/// Schedules tasks on the targets that this instance owns.
#[derive(Clone)]
pub struct Scheduler(Rc<Shared>);

struct Shared {
    config: Config,
    target_client: Rc<dyn TargetClient>,
    evacuations: Rc<RefCell<EvacuationState>>,
    log: Logger,
    /// `None` until the process has an identity.
    token_source: RefCell<Option<TokenSource>>,
    held_targets: RefCell<BTreeMap<Rc<str>, Rc<HeldTarget>>>,
    backlog: RefCell<Backlog<QueuedRun>>,
    backlog_positions: RefCell<HashMap<RunKey, Position>>,
    /// Rates of the arriving work by priority.
    arrival_rates: RefCell<BTreeMap<u8, ArrivalRate>>,
    /// Targets held by another owner or silent, with the end of the backoff and its
    /// duration.
    backoffs: RefCell<BTreeMap<Rc<str>, (Instant, Duration)>>,
    /// Time at which the backoffs were last checked for expiry.
    backoff_checked_at: Cell<Instant>,
    /// Listed targets that were silent when they were last held.
    silent_ids: RefCell<BTreeSet<Rc<str>>>,
    /// Whether targets are assigned for which there is no place.
    lacks_places: Cell<bool>,
    leaving: Cell<bool>,
    /// Clocks at the last two ticks, the last one first.
    ticked_at: Cell<[ClockReading; 2]>,
    /// Contact to the callers of this instance. What had arrived before the last tick
    /// but one has been read.
    callers: Contact,
    /// Runs that must not start here, each until requests for it can no longer be
    /// in transit.
    denied_runs: RefCell<BTreeMap<RunKey, Instant>>,
    /// Runs that no frontend waits for, as all instances have reported them.
    orphans: Rc<Registry>,
    /// Ends that nobody has asked for and that were not reported yet.
    unreported_ends: RefCell<Vec<Orphan>>,
    /// Short ids of the targets whose last holder has failed.
    lost_targets: RefCell<BTreeSet<u32>>,
    /// Reports on lost targets that were not sent yet, with the frontends of the tasks.
    loss_reports: RefCell<Vec<(LossReport, BTreeSet<SocketAddr>)>>,
    waits: Waits,
    lost_answers: RefCell<LostAnswers>,
    hearing: RefCell<Option<Hearing>>,
}

struct QueuedRun {
    request: RunRequest,
    permission: Permission,
    reply: oneshot::Sender<RunOutcome>,
    queued_at: Instant,
    expires_at: Instant,
    /// Wait for a better target than the free ones.
    wait: Cell<Option<Wait>>,
    /// Whether it was logged that the task lacks the permission to start.
    is_withheld: Cell<bool>,
}

impl Scheduler {
    /// Creates a scheduler that holds no targets, and takes over none before
    /// [`Scheduler::set_identity`].
    pub fn new(
        config: Config,
        target_client: Rc<dyn TargetClient>,
        evacuations: Rc<RefCell<EvacuationState>>,
        log: Logger,
    ) -> Scheduler {
        Scheduler(Rc::new(Shared {
            config,
            target_client,
            evacuations,
            log,
            token_source: RefCell::default(),
            ticked_at: Cell::new([ClockReading::now(); 2]),
            callers: Contact::new(),
            held_targets: RefCell::default(),
            backlog: RefCell::default(),
            backlog_positions: RefCell::default(),
            arrival_rates: RefCell::default(),
            backoffs: RefCell::default(),
            backoff_checked_at: Cell::new(clock::now()),
            silent_ids: RefCell::default(),
            lacks_places: Cell::new(false),
            leaving: Cell::new(false),
            denied_runs: RefCell::default(),
            orphans: Rc::default(),
            unreported_ends: RefCell::default(),
            lost_targets: RefCell::default(),
            loss_reports: RefCell::default(),
            waits: Waits::default(),
            lost_answers: RefCell::default(),
            hearing: RefCell::default(),
        }))
    }

    /// Sets the identity of this process in fencing tokens. Only the first call has
    /// an effect.
    pub fn set_identity(&self, identity: Identity) {
        let mut token_source = self.0.token_source.borrow_mut();
        token_source.get_or_insert_with(|| TokenSource::new(identity));
    }

    /// Sets what is known of the instances that may take targets over. Must be called
    /// several times a second.
    pub fn set_hearing(&self, hearing: Hearing) {
        self.0.hearing.replace(Some(hearing));
    }

    /// Takes over the new ones among `targets`, which this instance should own.
    /// Other targets are released only once their new owner has fenced this
    /// instance off.
    ///
    /// If they are more than may be held, silent ones make room for others by turns.
    pub fn assign_targets(&self, targets: &[Target]) {
        let now = clock::now();
        let mut without_place = Vec::new();
        for target in targets {
            let held = self.0.held_targets.borrow().get(&target.id).cloned();
            match held {
                Some(held) => self.0.update_target(&held, target),
                None if !self.0.may_take_over(&target.id, now) => {}
                None if self.0.has_place() => self.0.take_over(target.clone()),
                None => without_place.push(target),
            }
        }
        let mut without_place = without_place.into_iter().peekable();
        while without_place.peek().is_some()
            && let Some(silent) = self.0.silent_target(now)
        {
            self.0.make_room(&silent);
            if let Some(target) = without_place.next() {
                self.0.take_over(target.clone());
            }
        }
        self.0.lacks_places.set(without_place.peek().is_some());
    }

    /// Whether a target that lacks a place could have that of a silent one now.
    pub fn can_make_room(&self) -> bool {
        self.0.lacks_places.get() && self.0.silent_target(clock::now()).is_some()
    }

    /// Updates the held targets from the target list, including targets that other
    /// instances should own.
    pub fn refresh_targets(&self, listed: &dyn Fn(&str) -> Option<Target>) {
        if let Some(token_source) = &*self.0.token_source.borrow() {
            token_source.retain(|it| listed(it).is_some());
        }
        let mut silent_ids = self.0.silent_ids.borrow_mut();
        silent_ids.retain(|it| listed(it).is_some());
        drop(silent_ids);
        let (now, running_since) = (clock::now(), self.0.running_since());
        let held: Vec<_> = self.0.held_targets.borrow().values().cloned().collect();
        for held in held {
            let id = held.target.borrow().id.clone();
            match listed(&id) {
                Some(target) => self.0.update_target(&held, &target),
                None => {
                    let heard_at = held.state.borrow().last_heard.max(running_since);
                    let is_silent = now - heard_at > self.0.config.unlisted_timeout;
                    if is_silent {
                        self.0.release(&held, "no longer listed and silent");
                    }
                }
            }
        }
    }

    /// Releases the idle targets of services that are not active. Returns true if none
    /// is left that waits for its runs.
    pub fn release_inactive(&self, is_active: &dyn Fn(&str) -> bool) -> bool {
        let held: Vec<_> = self.0.held_targets.borrow().values().cloned().collect();
        let inactive = held
            .into_iter()
            .filter(|it| !is_active(&it.target.borrow().service));
        let (busy, idle): (Vec<_>, Vec<_>) = inactive.partition(|it| self.0.has_work(it));
        for held in idle {
            self.0.release(&held, "its service is not in use");
        }
        busy.is_empty()
    }

    /// Short ids of the held targets.
    pub fn short_ids(&self) -> Vec<u32> {
        self.0
            .held_targets
            .borrow()
            .values()
            .map(|it| it.short_id)
            .collect()
    }

    /// Ends all backoffs, because an owner has gone.
    pub fn clear_backoff(&self) {
        self.0.backoffs.borrow_mut().clear();
    }

    /// Whether a backoff has expired since the previous call.
    pub fn backoff_expired(&self) -> bool {
        let now = clock::now();
        let last = self.0.backoff_checked_at.replace(now);
        let backoffs = self.0.backoffs.borrow();
        backoffs.values().any(|it| last < it.0 && it.0 <= now)
    }

    /// Evacuated failure domains.
    pub(crate) fn evacuations(&self) -> Ref<'_, EvacuationState> {
        self.0.evacuations.borrow()
    }

    /// Ids of the held targets.
    pub fn target_ids(&self) -> Vec<Rc<str>> {
        self.0.held_targets.borrow().keys().cloned().collect()
    }

    /// Whether the held target `id` is known to be draining.
    pub fn is_draining(&self, id: &str) -> bool {
        let held = self.0.held_targets.borrow();
        held.get(id).is_some_and(|it| it.target.borrow().draining)
    }

    /// Whether the runs on the held targets are known. Silent targets do not count,
    /// unless all are.
    pub fn is_synced(&self) -> bool {
        let now = clock::now();
        let held = self.0.held_targets.borrow();
        let is_synced = |it: &Rc<HeldTarget>| it.state.borrow().synced;
        let mut unsynced = held.values().filter(|it| !is_synced(it));
        let is_any_synced = held.is_empty() || held.values().any(is_synced);
        let running_since = self.0.running_since();
        is_any_synced && unsynced.all(|it| it.is_silent(now, running_since) || it.was_silent)
    }

    /// Runs a task and waits for its outcome. `waiter` determines what happens to the
    /// run if the future is dropped.
    pub fn run(&self, mut request: RunRequest, waiter: Waiter) -> LocalFuture<'static, RunOutcome> {
        let shared = self.0.clone();
        if shared.config.injected_fault == Some(InjectedFault::StartAfterLoss) {
            request.sent_at.monotonic_ms = u64::MAX;
        }
        Box::pin(async move {
            let key = (request.task, request.run);
            if shared.leaving.get() {
                return RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
            }
            if !shared.holds_eligible(&request) {
                info!(shared.log, "no usable target for a run request"; "task" => %key.0,
                    "run" => key.1, "eligible" => request.eligible_targets.len(),
                    "evacuated_domains" => shared.evacuations.borrow().len());
                return RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
            }
            if shared.denied_runs.borrow().contains_key(&key) {
                return RunOutcome::NotStarted(NotStartedReason::RunNumberUsed);
            }
            let permission = shared.permission(&waiter);
            let guard = DropGuard::new(&shared, key, waiter);
            let (reply, outcome) = oneshot::channel();
            let now = clock::now();
            let goal = Duration::from_millis(request.goal_remaining_ms.into());
            let estimate = Duration::from_millis(request.estimate_ms.into());
            let queued = QueuedRun {
                queued_at: now,
                expires_at: now
                    + Duration::from_millis(request.start_timeout_ms.into()).max(MIN_START_TIMEOUT),
                reply,
                request,
                permission,
                wait: Cell::default(),
                is_withheld: Cell::default(),
            };
            shared.record_arrival(&queued.request, now);
            shared.enqueue(key, now + goal.saturating_sub(estimate), queued);
            shared.dispatch();
            guard.finish(outcome.await)
        })
    }

    /// Whether a task of a caller of this instance may be started. After a suspension
    /// the connections of the callers are read first.
    pub fn may_start_for_callers(&self) -> bool {
        self.0.permission(&Waiter::Caller).allows_start()
    }

    /// Stops a run or removes it from the backlog.
    pub fn cancel(&self, task: crate::TaskId, run: u32) {
        if !self.0.cancel((task, run), "cancelled by its front") {
            self.0.deny((task, run));
        }
    }

    /// Load to report to the other instances.
    pub fn load(&self) -> Load {
        let mut load = Load::default();
        let mut targets = Vec::new();
        let now = clock::now();
        for held in self.0.startable_targets() {
            load.total_cores += held.target.borrow().capacity.cpu / MILLICORES_PER_CORE;
            // A blocked target may be used here but must not attract work from
            // other instances.
            if held.is_blocked(now) {
                continue;
            }
            targets.push(self.0.target_room(&held, now));
        }
        load.room = Room::summarize(&targets);
        let backlog = self.0.backlog.borrow();
        for (position, queued) in backlog.iter() {
            load.add_backlog(position.priority, work_core_ms(&queued.request));
        }
        for (priority, arrival_rate) in &*self.0.arrival_rates.borrow() {
            let cores = arrival_rate.cores(now);
            if cores > 0 {
                load.set_arriving_cores(*priority, cores);
            }
        }
        load
    }

    /// Removes and returns the reports on lost targets, each with the frontends of
    /// the tasks.
    pub fn take_loss_reports(&self) -> Vec<(LossReport, BTreeSet<SocketAddr>)> {
        self.0.loss_reports.take()
    }

    /// Numbers of starts near and far from the data, and after waits.
    pub fn placement_counts(&self) -> placement::Counts {
        self.0.waits.counts()
    }

    /// Numbers of running and waiting tasks.
    pub fn task_counts(&self) -> (usize, usize) {
        let held = self.0.held_targets.borrow();
        let running = held.values().map(|it| it.state.borrow().runs.len()).sum();
        (running, self.0.backlog.borrow().len())
    }

    /// Releases all targets for a planned shutdown. Their runs continue under the
    /// next owners.
    pub fn release_all(&self) {
        self.0.leaving.set(true);
        let backlog = std::mem::take(&mut *self.0.backlog.borrow_mut());
        self.0.backlog_positions.borrow_mut().clear();
        let positions: Vec<Position> = backlog.iter().map(|it| it.0).collect();
        let mut backlog = backlog;
        for position in positions {
            if let Some(queued) = backlog.remove(position) {
                let _ = queued
                    .reply
                    .send(RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable));
            }
        }
        let held: Vec<_> = self.0.held_targets.borrow().values().cloned().collect();
        for held in held {
            self.0.release(&held, "this instance is leaving");
        }
    }

    /// Applies a change of the evacuated domains: tasks that wait for their targets
    /// are given back to the frontends, and targets that may be used again get tasks.
    pub fn apply_evacuations(&self) {
        self.0.refuse_unplaceable(clock::now());
        self.0.dispatch();
    }

    /// Answers expired requests of the backlog and stops unclaimed and overdue
    /// runs. Must be called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        let [last, last_but_one] = self.0.ticked_at.get();
        self.0.ticked_at.set([ClockReading::now(), last]);
        self.0.callers.confirm(last_but_one);
        self.0.refuse_unplaceable(now);
        let held: Vec<_> = self.0.held_targets.borrow().values().cloned().collect();
        for held in held {
            let state = held.state.borrow();
            // A claim that arrived in time has been read.
            let is_over = |deadline| now - deadline >= self.0.callers.age();
            let unclaimed = |run: &Run| run.claim_deadline.is_some_and(is_over);
            let unclaimed_runs = state.runs.iter().filter(|(_, run)| unclaimed(run));
            let unclaimed_runs: Vec<RunKey> = unclaimed_runs.map(|(key, _)| *key).collect();
            drop(state);
            for key in unclaimed_runs {
                self.0.cancel(key, "nobody claimed it");
            }
        }
        self.0.stop_overdue(now);
        self.0
            .denied_runs
            .borrow_mut()
            .retain(|_, until| now < *until);
        self.0.dispatch();
    }
}

impl Shared {
    /// Answers the waiting tasks that have expired or can't start here.
    fn refuse_unplaceable(&self, now: Instant) {
        self.refuse_expired(now);
        let unplaceable: Vec<Position> = {
            let backlog = self.backlog.borrow();
            let is_unplaceable = |it: &QueuedRun| !self.holds_eligible(&it.request);
            let unplaceable = backlog.iter().filter(|(_, it)| is_unplaceable(it));
            unplaceable.map(|it| it.0).collect()
        };
        for position in unplaceable {
            let queued = self.backlog.borrow_mut().remove(position);
            if let Some(queued) = queued {
                self.refuse_waiting(queued, NotStartedReason::OwnerUnavailable, now);
            }
        }
    }

    fn update_target(&self, held: &Rc<HeldTarget>, target: &Target) {
        let mut current = held.target.borrow_mut();
        if target.draining && !current.draining {
            info!(self.log, "target is draining"; "target" => %target.id);
        }
        let draining = current.draining && current.incarnation_ms == target.incarnation_ms;
        *current = target.clone();
        current.draining |= draining;
        if current.draining {
            held.state.borrow_mut().draining_incarnation_ms = Some(current.incarnation_ms);
        }
    }

    /// Whether a run is on a target or waits for a target of its service, or the fate of
    /// a task depends on the target.
    fn has_work(&self, held: &HeldTarget) -> bool {
        let backlog = self.backlog.borrow();
        let mut waiting = backlog.iter().map(|it| &it.1.request);
        let is_idle = held.state.borrow().is_idle();
        !is_idle || waiting.any(|it| it.service == held.target.borrow().service)
    }

    fn may_take_over(&self, id: &str, now: Instant) -> bool {
        let backoffs = self.backoffs.borrow();
        !self.leaving.get() && backoffs.get(id).is_none_or(|it| now >= it.0)
    }

    fn has_place(&self) -> bool {
        self.held_targets.borrow().len() < MAX_HELD_TARGETS
    }

    /// Releases a silent target for a while, for one that needs its place.
    fn make_room(&self, silent: &Rc<HeldTarget>) {
        let id = silent.target.borrow().id.clone();
        self.silent_ids.borrow_mut().insert(id);
        self.back_off(silent, "it is silent, and others need its place");
    }

    /// A held target that has been silent for long and has no runs.
    fn silent_target(&self, now: Instant) -> Option<Rc<HeldTarget>> {
        let running_since = self.running_since();
        let held = self.held_targets.borrow();
        let mut held = held.values();
        held.find(|it| it.is_silent(now, running_since) && it.state.borrow().is_idle())
            .cloned()
    }

    fn take_over(self: &Rc<Self>, target: Target) {
        let Some(fencing_token) = self.next_token(&target.id, 0) else {
            return;
        };
        info!(self.log, "taking over target"; "target" => %target.id, "fence" => fencing_token,
            "domain" => %target.domain);
        let id = target.id.clone();
        let holder_failed = self
            .lost_targets
            .borrow()
            .contains(&Target::short_id(&target.id));
        let was_silent = self.silent_ids.borrow().contains(&id);
        let held = Rc::new(HeldTarget::new(
            target,
            fencing_token,
            holder_failed,
            was_silent,
        ));
        self.held_targets.borrow_mut().insert(id, held.clone());
        drop(spawn(poll_loop::run(self.clone(), held)));
    }

    /// Token for taking over a target, with a time at least `step_ms` after that of
    /// the last one. `None` before the process has an identity.
    fn next_token(&self, id: &Rc<str>, step_ms: u64) -> Option<u64> {
        let token_source = self.token_source.borrow();
        Some(token_source.as_ref()?.next(id, clock::wall(), step_ms))
    }

    /// Releases a target. Its runs belong to the next owner.
    fn release(&self, held: &Rc<HeldTarget>, cause: &str) {
        if held.released.replace(true) {
            return;
        }
        let id = held.target.borrow().id.clone();
        self.held_targets.borrow_mut().remove(&id);
        held.poll_requested.notify();
        let runs = std::mem::take(&mut held.state.borrow_mut().runs);
        info!(self.log, "released target"; "target" => %id, "cause" => cause, "runs" => runs.len());
        for (_, run) in runs {
            if let Some(reply) = run.reply {
                let _ = reply.send(RunOutcome::Moved {
                    target: held.short_id,
                });
            }
        }
    }

    /// Releases a target, and doubles the backoff before it is taken over again.
    fn back_off(&self, held: &Rc<HeldTarget>, cause: &str) {
        let id = held.target.borrow().id.clone();
        let mut backoffs = self.backoffs.borrow_mut();
        let last = backoffs.get(&id).map(|it| it.1);
        let backoff = last.map_or(MIN_BACKOFF, |it| (it * 2).min(MAX_BACKOFF));
        backoffs.insert(id, (clock::now() + backoff, backoff));
        drop(backoffs);
        self.release(held, cause);
    }

    fn enqueue(&self, key: RunKey, start_by: Instant, queued: QueuedRun) {
        let priority = queued.request.priority;
        let expires_at = queued.expires_at;
        let mut backlog = self.backlog.borrow_mut();
        let position = backlog.push(priority, start_by, expires_at, queued);
        drop(backlog);
        self.backlog_positions.borrow_mut().insert(key, position);
    }

    fn record_arrival(&self, request: &RunRequest, now: Instant) {
        let mut arrival_rates = self.arrival_rates.borrow_mut();
        let arrival_rate = arrival_rates.entry(request.priority).or_default();
        arrival_rate.record(work_core_ms(request), now);
    }

    /// Returns a run to the backlog whose start certainly had no effect.
    fn requeue(&self, key: RunKey, run: Run) {
        let (Some(request), Some(reply)) = (run.request, run.reply) else {
            return;
        };
        let Some(permission) = run.permission else {
            return;
        };
        if run.phase == Phase::Stopping || reply.is_canceled() {
            let _ = reply.send(RunOutcome::NotStarted(NotStartedReason::Cancelled));
            return;
        }
        let queued = QueuedRun {
            request,
            reply,
            permission,
            queued_at: run.started_at,
            expires_at: run.expires_at,
            wait: Cell::default(),
            is_withheld: Cell::default(),
        };
        self.enqueue(key, run.start_by, queued);
    }

    /// Whether a target is held on which `request` may run, and not all that could run
    /// it are evacuated.
    fn holds_eligible(&self, request: &RunRequest) -> bool {
        let held = self.held_targets.borrow();
        let is_any = request.eligible_targets.is_empty();
        let mut eligible = held
            .values()
            .filter(|it| is_any || it.is_allowed_by(request))
            .peekable();
        if eligible.peek().is_none() {
            return is_any;
        }
        let now = clock::now();
        let mut suitable = eligible.filter(|it| is_suitable(it, request)).peekable();
        suitable.peek().is_none() || suitable.any(|it| self.may_be_used(it, now))
    }

    /// Permission to act for `waiter`.
    fn permission(&self, waiter: &Waiter) -> Permission {
        if self.config.injected_fault == Some(InjectedFault::EndlessPermission) {
            return Permission::without_end();
        }
        match waiter {
            Waiter::Caller => Permission::new(self.callers.clone(), RESUBMISSION_DELAY),
            Waiter::Peer(contact) => Permission::new(contact.clone(), self.config.give_up_time),
        }
    }

    /// Whether those who wait for a task certainly still count on its start here.
    fn may_start(&self, queued: &QueuedRun) -> bool {
        let may_start = queued.permission.allows_start();
        if !may_start && !queued.is_withheld.replace(true) {
            info!(self.log, "task may not start until its front is heard";
                "task" => %queued.request.task, "run" => queued.request.run,
                "heard_ms" => millis(queued.permission.contact_age()));
        }
        may_start
    }

    /// Time since which this process could hear its targets.
    fn running_since(&self) -> Instant {
        let hearing = self.hearing.borrow();
        let suspensions = hearing.as_ref().map(|it| &it.suspensions);
        suspensions.map_or_else(Instant::default, |it| it.running_since())
    }

    /// Whether no evacuation prevents starts on a target.
    fn may_be_used(&self, held: &HeldTarget, now: Instant) -> bool {
        let evacuations = self.evacuations.borrow();
        evacuations.allows(&held.target.borrow().domain, held.short_id, now)
    }

    /// Answers the waiting tasks whose start is of no value any more.
    fn refuse_expired(&self, now: Instant) {
        let expired = self.backlog.borrow_mut().take_expired(now);
        for queued in expired {
            self.refuse_waiting(queued, NotStartedReason::StartTimeout, now);
        }
    }

    /// Answers the late tasks of each priority of which tasks for every target wait that
    /// can be in time.
    fn refuse_late(&self, now: Instant) {
        let targets = self.held_targets.borrow().len().max(1);
        let late = self.backlog.borrow_mut().take_late(now, targets);
        for queued in late {
            self.refuse_waiting(queued, NotStartedReason::StartTimeout, now);
        }
    }

    /// Answers a task that was removed from the backlog.
    fn refuse_waiting(&self, queued: QueuedRun, reason: NotStartedReason, now: Instant) {
        let key = (queued.request.task, queued.request.run);
        self.backlog_positions.borrow_mut().remove(&key);
        info!(self.log, "task gave up waiting"; "task" => %key.0, "run" => key.1,
            "waited_ms" => millis(now - queued.queued_at), "cause" => %reason,
            "evacuated_domains" => self.evacuations.borrow().len());
        // The receiver may have been dropped.
        let _ = queued.reply.send(RunOutcome::NotStarted(reason));
    }

    /// Starts all waiting tasks that fit, in the order of the backlog, and answers
    /// those that have expired or take capacity from tasks that can be in time.
    fn dispatch(self: &Rc<Self>) {
        let now = clock::now();
        self.refuse_expired(now);
        loop {
            let Some((position, held)) = self.next_start() else {
                self.arm_wait_timer();
                self.refuse_late(now);
                return;
            };
            let Some(queued) = self.backlog.borrow_mut().remove(position) else {
                return;
            };
            let key = (queued.request.task, queued.request.run);
            self.backlog_positions.borrow_mut().remove(&key);
            if let Some(sighting) = self.reported_run(key) {
                self.refuse_repeated(queued, sighting);
                continue;
            }
            self.record_placement(&queued, &held);
            run_control::spawn_start(self, &held, position, queued);
        }
    }

    /// Targets on which tasks may be started.
    ///
    /// If too many targets are blocked, the cause is not in the targets, and the
    /// circuit breakers are ignored.
    fn startable_targets(&self) -> Vec<Rc<HeldTarget>> {
        let now = clock::now();
        let held = self.held_targets.borrow();
        let startable: Vec<_> = held
            .values()
            .filter(|it| it.accepts_starts() && self.may_be_used(it, now))
            .cloned()
            .collect();
        let blocked = startable.iter().filter(|it| it.is_blocked(now)).count();
        if blocked * BLOCKED_SHARE_DIVISOR > startable.len() {
            return startable;
        }
        startable
            .into_iter()
            .filter(|it| !it.is_blocked(now))
            .collect()
    }

    fn next_start(&self) -> Option<(Position, Rc<HeldTarget>)> {
        let backlog = self.backlog.borrow();
        if backlog.is_empty() {
            return None;
        }
        let now = clock::now();
        let startable = self.startable_targets();
        let free: Vec<_> = startable.iter().map(|it| it.free_resources()).collect();
        let mut reservations = Reservations::new(startable.len());
        let mut round = self.new_round(&backlog, &startable, now);
        backlog.scan(now).find_map(|(position, queued)| {
            let request = &queued.request;
            if !self.may_start(queued) {
                return None;
            }
            let goal = position.start_by - now + Duration::from_millis(request.estimate_ms.into());
            let mut places = self.places(request, &startable, &free);
            places.retain(|it| {
                let end = now + it.candidate.expected_run_time;
                reservations.allow(it.target, request.resources, end)
            });
            match round.decide(&self.placement_task(position, queued, goal, now), &places) {
                Decision::Start(target) => Some((position, startable[target].clone())),
                Decision::Wait {
                    target,
                    until,
                    wait,
                } => {
                    self.record_wait(queued, &startable[target], until, wait, now);
                    None
                }
                Decision::NoPlace => {
                    self.reserve(&mut reservations, &startable, position, request, now);
                    None
                }
            }
        })
    }

    /// Room on a target as it is reported to frontends.
    fn target_room(&self, held: &HeldTarget, now: Instant) -> TargetRoom {
        let (target, state) = (held.target.borrow(), held.state.borrow());
        let free = held.free_resources().cpu;
        let is_known = |it: &Run| it.request.as_ref().is_some_and(|it| !it.exclusive);
        let end_of = |it: &Run| {
            let expected = it
                .request
                .as_ref()
                .map(|request| self.estimate_run_time(&target, &state, request));
            let expected = expected.unwrap_or(self.config.claim_timeout);
            (it.started_at + expected) - now
        };
        let ends = match state.runs.values().all(is_known) {
            true => {
                let runs = state.runs.values();
                let ends =
                    runs.filter_map(|it| Some((it.request.as_ref()?.resources.cpu, end_of(it))));
                ends.collect()
            }
            // Nothing else starts before all runs have ended.
            false => {
                let last_end = state.runs.values().map(end_of).max();
                vec![(target.capacity.cpu, last_end.unwrap_or_default())]
            }
        };
        // The first run after failures shows whether the target works again; other
        // targets come first.
        let run_time_ratio = match state.circuit_breaker.is_closed() {
            true => state.estimator.ratio(),
            false => f64::MAX,
        };
        TargetRoom {
            free,
            run_time_ratio,
            ends,
        }
    }

    /// Reserves a target for a task that fits nowhere yet.
    fn reserve(
        &self,
        reservations: &mut Reservations,
        startable: &[Rc<HeldTarget>],
        position: Position,
        request: &RunRequest,
        now: Instant,
    ) {
        if position.start_by < now || reservations.is_full() {
            return;
        }
        let rooms = startable.iter().enumerate().filter_map(|(index, held)| {
            is_eligible(held, request).then_some(())?;
            Some((index, self.room(held)?))
        });
        reservations.reserve(request.resources, position.start_by, rooms, now);
    }

    /// Room on a target, now and when the runs there end. `None` if the needs of a run
    /// are unknown.
    fn room(&self, held: &HeldTarget) -> Option<reservation::Room> {
        let free = held.free_resources();
        let state = held.state.borrow();
        let target = held.target.borrow();
        let occupancies = state.runs.values().map(|run| {
            let request = run.request.as_ref().filter(|it| !it.exclusive)?;
            Some(Occupancy {
                resources: request.resources,
                expected_end: run.started_at + self.estimate_run_time(&target, &state, request),
            })
        });
        let runs = occupancies.collect::<Option<Vec<_>>>()?;
        Some(reservation::Room { free, runs })
    }

    fn estimate_run_time(
        &self,
        target: &Target,
        state: &held_target::State,
        request: &RunRequest,
    ) -> Duration {
        state
            .estimator
            .estimate(self.declared_run_time(target, request))
    }

    /// Stops a run or removes it from the backlog. Returns false if it is not here.
    fn cancel(self: &Rc<Self>, key: RunKey, cause: &'static str) -> bool {
        let position = self.backlog_positions.borrow_mut().remove(&key);
        if let Some(position) = position {
            let queued = self.backlog.borrow_mut().remove(position);
            if let Some(queued) = queued {
                // The receiver may have been dropped.
                let _ = queued
                    .reply
                    .send(RunOutcome::NotStarted(NotStartedReason::Cancelled));
            }
            return true;
        }
        let held: Vec<_> = self.held_targets.borrow().values().cloned().collect();
        for held in held {
            let mut state = held.state.borrow_mut();
            let Some(run) = state.runs.get_mut(&key) else {
                continue;
            };
            if run.phase == Phase::Stopping {
                return true;
            }
            let starting = run.phase == Phase::Starting;
            run.phase = Phase::Stopping;
            run.claim_deadline = None;
            let now = clock::now();
            run.report_at.get_or_insert(now + STOP_TIME);
            run.lease_limit
                .get_or_insert(now + self.config.claim_timeout + STOP_ALLOWANCE);
            drop(state);
            info!(self.log, "stopping run"; "task" => %key.0, "run" => key.1,
                "target" => %held.target.borrow().id, "cause" => cause);
            // A pending start is stopped when it is answered.
            if !starting {
                drop(spawn(run_control::stop_until_gone(
                    self.clone(),
                    held.clone(),
                    key,
                )));
            }
            return true;
        }
        false
    }

    /// Stops overdue runs that will probably never end.
    fn stop_overdue(self: &Rc<Self>, now: Instant) {
        let held: Vec<_> = self.held_targets.borrow().values().cloned().collect();
        let runs: Vec<_> = held.iter().map(|it| self.active_runs(it)).collect();
        let long = runs.iter().flatten().filter(|(_, run)| run.is_long(now));
        let long_jobs: BTreeSet<JobId> = long.map(|(key, _)| key.0.job).collect();
        for (held, runs) in held.iter().zip(runs) {
            for (key, run) in runs {
                if run.should_stop(long_jobs.contains(&key.0.job), now) {
                    held.state.borrow_mut().circuit_breaker.record_failure(now);
                    self.cancel(key, "overdue");
                }
            }
        }
    }

    /// Whether each target is to be polled twice at the same time.
    fn is_hedging(&self) -> bool {
        self.lost_answers.borrow().is_widespread(clock::now())
    }

    /// Records that an answer of `held` was lost.
    fn record_lost_answer(self: &Rc<Self>, held: &HeldTarget) {
        let before = self.is_hedging();
        let now = clock::now();
        self.lost_answers.borrow_mut().record(held.short_id, now);
        if before || !self.is_hedging() {
            return;
        }
        info!(
            self.log,
            "answers of several targets are lost, polling twice"
        );
        for held in self.held_targets.borrow().values() {
            poll_loop::start_backup(self, held);
        }
    }

    /// Runs on a target that have a request and are not being stopped.
    fn active_runs(&self, held: &HeldTarget) -> Vec<(RunKey, ActiveRun)> {
        let state = held.state.borrow();
        let target = held.target.borrow();
        let running = state.runs.iter();
        let running = running.filter(|(_, run)| run.phase == Phase::Running);
        let active = running.filter_map(|(key, run)| {
            let request = run.request.as_ref()?;
            let active = ActiveRun {
                started_at: run.started_at,
                expected: self.estimate_run_time(&target, &state, request),
                last_done_start: state.last_done_start,
            };
            Some((*key, active))
        });
        active.collect()
    }

    /// Handles the events that a status of a target caused.
    fn apply_events(self: &Rc<Self>, held: &Rc<HeldTarget>, events: Vec<held_target::RunEvent>) {
        for event in events {
            match event {
                held_target::RunEvent::Ended(key, run, exit_status) => {
                    self.record_end(held, key, run, exit_status)
                }
                held_target::RunEvent::Lost(key, run) => {
                    let cause = match held.loss(Fate::Silent) {
                        Some(_) => "its target does not list it",
                        None => "its target has announced its end",
                    };
                    info!(self.log, "run is gone"; "task" => %key.0, "run" => key.1,
                        "target" => %held.target.borrow().id, "cause" => cause);
                    if let Some(reply) = run.reply {
                        let _ = reply.send(RunOutcome::Lost);
                    }
                }
                held_target::RunEvent::Expired(key, run) => {
                    info!(self.log, "run is gone"; "task" => %key.0, "run" => key.1,
                        "target" => %held.target.borrow().id,
                        "cause" => "its target has announced its end and is silent");
                    if let Some(reply) = run.reply {
                        let _ = reply.send(RunOutcome::Expired {
                            target: held.short_id,
                        });
                    }
                }
                held_target::RunEvent::TargetLost(key, run, loss) => {
                    info!(self.log, "run is gone"; "task" => %key.0, "run" => key.1,
                        "target" => %held.target.borrow().id, "target_is" => %loss.fate,
                        "exclusive" => run.request.as_ref().is_some_and(|it| it.exclusive));
                    if let Some(reply) = run.reply {
                        let _ = reply.send(RunOutcome::TargetLost(loss));
                    }
                }
                held_target::RunEvent::EndedUnclaimed(key) => {
                    let orphan = held.orphan(key);
                    self.unreported_ends.borrow_mut().push(orphan);
                }
                held_target::RunEvent::FateKnown(report, fronts) => {
                    info!(self.log, "target was lost"; "target" => %held.target.borrow().id,
                        "target_is" => %report.loss.fate, "tasks" => report.tasks.len(),
                        "incarnation_ms" => report.loss.incarnation_ms);
                    self.loss_reports.borrow_mut().push((report, fronts));
                }
                held_target::RunEvent::NotStarted(key, run) => self.requeue(key, run),
            }
        }
        self.dispatch();
    }

    fn record_end(&self, held: &Rc<HeldTarget>, key: RunKey, run: Run, exit_status: ExitStatus) {
        let mut state = held.state.borrow_mut();
        let took = clock::now() - run.started_at;
        match exit_status {
            ExitStatus::Done => {
                state.circuit_breaker.record_success();
                state.last_done_start = state.last_done_start.max(Some(run.started_at));
                if let Some(request) = &run.request {
                    let declared = self.declared_run_time(&held.target.borrow(), request);
                    state.estimator.record(declared, took);
                }
            }
            ExitStatus::Failed => state.circuit_breaker.record_failure(clock::now()),
            ExitStatus::Interrupted => {}
        }
        if exit_status != ExitStatus::Done {
            info!(self.log, "run ended badly"; "task" => %key.0, "run" => key.1,
                "how" => %exit_status, "target" => %held.target.borrow().id,
                "took_ms" => millis(took));
        }
        if let Some(reply) = run.reply {
            let _ = reply.send(outcome_of(exit_status));
        }
    }
}

/// Whether the target has the service and the label that a request needs.
fn is_suitable(held: &HeldTarget, request: &RunRequest) -> bool {
    let target = held.target.borrow();
    let mut required = request.constraint.iter();
    target.service == request.service && required.all(|it| target.has_label(it))
}

fn is_eligible(held: &HeldTarget, request: &RunRequest) -> bool {
    if !is_suitable(held, request) {
        return false;
    }
    if !held.is_allowed_by(request) {
        return false;
    }
    if request.exclusive && !held.state.borrow().runs.is_empty() {
        return false;
    }
    if request.max_per_target == 0 {
        return true;
    }
    let state = held.state.borrow();
    let is_same_step = |key: &&RunKey| {
        let (task, requested) = (key.0, request.task);
        (task.job, task.occurrence, task.step)
            == (requested.job, requested.occurrence, requested.step)
    };
    state.runs.keys().filter(is_same_step).count() < usize::from(request.max_per_target)
}

fn outcome_of(exit_status: ExitStatus) -> RunOutcome {
    match exit_status {
        ExitStatus::Done => RunOutcome::Done,
        ExitStatus::Failed => RunOutcome::Failed,
        ExitStatus::Interrupted => RunOutcome::Lost,
    }
}

fn work_core_ms(request: &RunRequest) -> u64 {
    u64::from(request.resources.cpu) * u64::from(request.estimate_ms)
        / u64::from(MILLICORES_PER_CORE)
}
