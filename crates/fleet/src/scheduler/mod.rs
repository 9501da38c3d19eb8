/*!
The owner's side: targets held by this instance and the work on them.

A [`Scheduler`] holds targets one by one, see [`Scheduler::assign_targets`]. Each held target
has a task that renews its lease and takes in its ends ([`watch`]); each start
has one too ([`begin`]). Orders wait in one queue for all targets and are placed
whenever room may have come up.

A run ends in one of three ways here: the target lists its end, a listing shows
that it is not there, or its lease has run out for certain. Until then its room
stays taken.
*/

mod begin;
mod held;
mod watch;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, LocalFuture, clock, spawn};
use futures_channel::oneshot;
use futures_util::future::join_all;
use slog::{Logger, info};

use self::held::{Held, Key, Phase, Run, millis};
use crate::{
    InjectedFault, Target,
    backlog::{Backlog, Place},
    circuit_breaker,
    fencing::TokenSource,
    messages::{Load, NotStartedReason, RunOutcome, RunRequest},
    placement::{self, Candidate},
    target_client::{ExitStatus, TargetClient},
};

/// First time for which a target that was taken over is left to its new owner.
const FIRST_YIELD: Duration = Duration::from_millis(500);

/// Longest such time.
const MAX_YIELD: Duration = Duration::from_secs(8);

/// Part of an owner's targets that may be shut out after trouble: one in so many.
const MAX_PAUSED: usize = 3;

/// Time without a tick after which a process counts as having stood still.
const STALL: Duration = Duration::from_millis(250);

/// Time for which an order may be on its way from a front.
const BARRED: Duration = Duration::from_secs(10);

/// Thousandths of a core in a core.
const MILLICORES: u32 = 1_000;

/// Timing of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Lease of what runs on a target.
    pub lease: Duration,
    /// Longest wait of a look for an end; the lease is renewed as often.
    pub poll_timeout: Duration,
    /// Time for an answer to an order.
    pub request_timeout: Duration,
    /// Time in which the front of a run that was found may claim it.
    pub claim_timeout: Duration,
    /// Time for which a target that is no longer listed is still held.
    pub unlisted_timeout: Duration,
    /// Factor on the run time away from the rack that holds the data.
    pub far_factor: f64,
    /// Fault planted by a test.
    pub injected_fault: Option<InjectedFault>,
}

/// Targets that this instance owns.
#[derive(Clone)]
pub struct Scheduler(Rc<Shared>);

struct Shared {
    config: Config,
    orders: Rc<dyn TargetClient>,
    log: Logger,
    fences: TokenSource,
    held: RefCell<BTreeMap<Rc<str>, Rc<Held>>>,
    queue: RefCell<Backlog<Waiting>>,
    waiting: RefCell<HashMap<Key, Place>>,
    /// Targets left to another owner: until when, and for how long.
    yielded: RefCell<BTreeMap<Rc<str>, (Instant, Duration)>>,
    /// Time of the last look at them.
    retried: Cell<Instant>,
    leaving: Cell<bool>,
    /// Time of the last tick.
    ticked: Cell<Instant>,
    /// Runs that must not start here any more, for as long as an order for one
    /// may be on its way.
    barred: RefCell<BTreeMap<Key, Instant>>,
}

struct Waiting {
    order: RunRequest,
    reply: oneshot::Sender<RunOutcome>,
    since: Instant,
    give_up: Instant,
}

impl Scheduler {
    /// Keeper of the instance `name` that holds nothing yet.
    pub fn new(name: &str, config: Config, orders: Rc<dyn TargetClient>, log: Logger) -> Scheduler {
        Scheduler(Rc::new(Shared {
            config,
            orders,
            log,
            fences: TokenSource::new(name, clock::wall()),
            ticked: Cell::new(clock::now()),
            held: RefCell::default(),
            queue: RefCell::default(),
            waiting: RefCell::default(),
            yielded: RefCell::default(),
            retried: Cell::new(clock::now()),
            leaving: Cell::new(false),
            barred: RefCell::default(),
        }))
    }

    /// Makes `targets` the ones to own, takes over those that are new among
    /// them and lets go of others once they are fenced off by their owner.
    pub fn assign_targets(&self, targets: &[Target]) {
        let now = clock::now();
        for target in targets {
            let held = self.0.held.borrow().get(&target.id).cloned();
            match held {
                Some(held) => self.0.update(&held, target),
                None if self.0.may_take(&target.id, now) => self.0.take(target.clone()),
                None => {}
            }
        }
    }

    /// Notes what the list says of targets, those of other owners included.
    pub fn refresh_targets(&self, listed: &dyn Fn(&str) -> Option<Target>) {
        let now = clock::now();
        let held: Vec<_> = self.0.held.borrow().values().cloned().collect();
        for held in held {
            let id = held.target.borrow().id.clone();
            match listed(&id) {
                Some(target) => self.0.update(&held, &target),
                None => {
                    let silent = now - held.state.borrow().heard > self.0.config.unlisted_timeout;
                    if silent {
                        self.0.release(&held, "no longer listed and silent");
                    }
                }
            }
        }
    }

    /// Tags of the targets held.
    pub fn short_ids(&self) -> Vec<u32> {
        self.0
            .held
            .borrow()
            .values()
            .map(|it| it.short_id)
            .collect()
    }

    /// Stops leaving targets to owners of which one is gone.
    pub fn clear_backoff(&self) {
        self.0.yielded.borrow_mut().clear();
    }

    /// True once when the time of leaving some target to its owner has ended.
    pub fn backoff_expired(&self) -> bool {
        let now = clock::now();
        let last = self.0.retried.replace(now);
        let yielded = self.0.yielded.borrow();
        yielded.values().any(|it| last < it.0 && it.0 <= now)
    }

    /// Ids of the targets held.
    pub fn target_ids(&self) -> Vec<Rc<str>> {
        self.0.held.borrow().keys().cloned().collect()
    }

    /// True once all that is held is known.
    pub fn is_synced(&self) -> bool {
        let held = self.0.held.borrow();
        held.values().all(|it| it.state.borrow().known)
    }

    /// Runs a task and waits for its end. Dropping the future stops it, or
    /// leaves it to a claim for a while, as `drop_policy` says.
    pub fn run(
        &self,
        order: RunRequest,
        drop_policy: DropPolicy,
    ) -> LocalFuture<'static, RunOutcome> {
        let shared = self.0.clone();
        Box::pin(async move {
            let key = (order.task, order.run);
            if shared.leaving.get() {
                return RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
            }
            if !shared.holds_any(&order) {
                return RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable);
            }
            if shared.barred.borrow().contains_key(&key) {
                return RunOutcome::NotStarted(NotStartedReason::RunNumberUsed);
            }
            let guard = Guard::new(&shared, key, drop_policy);
            let (reply, ending) = oneshot::channel();
            let now = clock::now();
            let goal = Duration::from_millis(order.goal_remaining_ms.into());
            let estimate = Duration::from_millis(order.estimate_ms.into());
            let waiting = Waiting {
                since: now,
                give_up: now + Duration::from_millis(order.start_timeout_ms.into()),
                reply,
                order,
            };
            shared.enqueue(key, now + goal.saturating_sub(estimate), waiting);
            shared.dispatch();
            guard.end(ending.await)
        })
    }

    /// Takes charge of a run that another owner started, or whose connection
    /// was lost.
    ///
    /// Where it is on no target held here, says at once on which of the targets
    /// `tags` it is not, each of which was just looked at, and keeps it from
    /// starting on any of them.
    pub fn claim(
        &self,
        order: RunRequest,
        tags: Vec<u32>,
        drop_policy: DropPolicy,
    ) -> LocalFuture<'static, Result<RunOutcome, Vec<u32>>> {
        let shared = self.0.clone();
        Box::pin(async move {
            let key = (order.task, order.run);
            if shared.config.injected_fault == Some(InjectedFault::DenyClaims) {
                return Err(tags);
            }
            let guard = Guard::new(&shared, key, drop_policy);
            let (reply, ending) = oneshot::channel();
            let mut reply = Some(reply);
            let mut adopted = shared.adopt(key, &order, &mut reply);
            let mut settled = Vec::new();
            if matches!(adopted, Adopted::Missing) {
                let looks = shared.look(&tags).await;
                // What obeyed first may be lost when the last one has answered.
                let obeyed = looks.iter().filter(|(held, number)| held.obeyed(*number));
                settled = obeyed.map(|(held, _)| held.short_id).collect();
                adopted = shared.adopt(key, &order, &mut reply);
            }
            match adopted {
                Adopted::Ended(ending) => Ok(guard.end(Ok(ending))),
                Adopted::Running => Ok(guard.end(ending.await)),
                Adopted::Missing => {
                    shared.bar(key);
                    guard.disarm();
                    Err(settled)
                }
            }
        })
    }

    /// Stops a run, or takes it out of the queue.
    pub fn cancel(&self, task: crate::TaskId, run: u32) {
        if !self.0.cancel((task, run), "cancelled by its front") {
            self.0.bar((task, run));
        }
    }

    /// Stops all that runs for a front that is gone.
    pub fn cancel_all_from(&self, front: SocketAddr) {
        let mut keys = Vec::new();
        for held in self.0.held.borrow().values() {
            let state = held.state.borrow();
            let theirs = state
                .runs
                .iter()
                .filter(|(_, run)| run.front == Some(front));
            keys.extend(theirs.map(|(key, _)| *key));
        }
        let queue = self.0.queue.borrow();
        let theirs = queue
            .iter()
            .filter(|(_, it)| it.order.front_address == front);
        keys.extend(theirs.map(|(_, it)| (it.order.task, it.order.run)));
        drop(queue);
        for key in keys {
            self.0.cancel(key, "its front is gone");
        }
    }

    /// Load to tell the other instances.
    pub fn load(&self) -> Load {
        let mut load = Load::default();
        let now = clock::now();
        for held in self.0.open() {
            load.total_cores += held.target.borrow().capacity.cpu / MILLICORES;
            // One in trouble may be used here, yet draws no work from others.
            if held.is_paused(now) {
                continue;
            }
            let free = held.free().cpu / MILLICORES;
            load.free_cores
                .push(u16::try_from(free).unwrap_or(u16::MAX));
        }
        let queue = self.0.queue.borrow();
        for (place, waiting) in queue.iter() {
            load.add_backlog(place.priority, core_ms(&waiting.order));
        }
        load
    }

    /// Tasks that run or wait here.
    pub fn task_counts(&self) -> (usize, usize) {
        let held = self.0.held.borrow();
        let running = held.values().map(|it| it.state.borrow().runs.len()).sum();
        (running, self.0.queue.borrow().len())
    }

    /// Gives up all targets for a planned stop; what runs goes on there under
    /// the next owners.
    pub fn release_all(&self) {
        self.0.leaving.set(true);
        let queue = std::mem::take(&mut *self.0.queue.borrow_mut());
        self.0.waiting.borrow_mut().clear();
        let places: Vec<Place> = queue.iter().map(|it| it.0).collect();
        let mut queue = queue;
        for place in places {
            if let Some(waiting) = queue.remove(place) {
                let _ = waiting
                    .reply
                    .send(RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable));
            }
        }
        let held: Vec<_> = self.0.held.borrow().values().cloned().collect();
        for held in held {
            self.0.release(&held, "this instance is leaving");
        }
    }

    /// Gives up waiting work whose time has passed and runs that nobody
    /// claimed; to be called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.0.ticked.set(now);
        let expired: Vec<Place> = {
            let queue = self.0.queue.borrow();
            let late = |it: &Waiting| now >= it.give_up || !self.0.holds_any(&it.order);
            let late = queue.iter().filter(|(_, it)| late(it));
            late.map(|it| it.0).collect()
        };
        for place in expired {
            let waiting = self.0.queue.borrow_mut().remove(place);
            if let Some(waiting) = waiting {
                let key = (waiting.order.task, waiting.order.run);
                self.0.waiting.borrow_mut().remove(&key);
                let reason = match now >= waiting.give_up {
                    true => NotStartedReason::StartTimeout,
                    false => NotStartedReason::OwnerUnavailable,
                };
                info!(self.0.log, "task gave up waiting"; "task" => %key.0, "run" => key.1,
                    "waited_ms" => millis(now - waiting.since), "cause" => %reason);
                let _ = waiting.reply.send(RunOutcome::NotStarted(reason));
            }
        }
        let held: Vec<_> = self.0.held.borrow().values().cloned().collect();
        for held in held {
            let state = held.state.borrow();
            let unclaimed = |run: &Run| run.claim_by.is_some_and(|it| now >= it);
            let stray = state.runs.iter().filter(|(_, run)| unclaimed(run));
            let stray: Vec<Key> = stray.map(|(key, _)| *key).collect();
            drop(state);
            for key in stray {
                self.0.cancel(key, "nobody claimed it");
            }
        }
        self.0.stop_overdue(now);
        self.0.barred.borrow_mut().retain(|_, until| now < *until);
        self.0.dispatch();
    }
}

/// What becomes of a run when nobody waits for it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropPolicy {
    /// Its caller has left: it is stopped.
    Stop,
    /// The connection to its front was lost: the front may claim it.
    Orphan,
}

enum Adopted {
    Ended(RunOutcome),
    Running,
    Missing,
}

impl Shared {
    fn update(&self, held: &Rc<Held>, target: &Target) {
        let mut known = held.target.borrow_mut();
        if target.draining && !known.draining {
            info!(self.log, "target is draining"; "target" => %target.id);
        }
        let draining = known.draining && known.incarnation_ms == target.incarnation_ms;
        *known = target.clone();
        known.draining |= draining;
    }

    fn may_take(&self, id: &str, now: Instant) -> bool {
        let yielded = self.yielded.borrow();
        !self.leaving.get() && yielded.get(id).is_none_or(|it| now >= it.0)
    }

    fn take(self: &Rc<Self>, target: Target) {
        let fence = self.fences.next(clock::wall(), 0, 0);
        info!(self.log, "taking over target"; "target" => %target.id, "fence" => fence,
            "domain" => %target.domain);
        let id = target.id.clone();
        let held = Rc::new(Held::new(target, fence));
        self.held.borrow_mut().insert(id, held.clone());
        drop(spawn(watch::run(self.clone(), held)));
    }

    /// Lets a target go; its runs belong to the next owner.
    fn release(&self, held: &Rc<Held>, cause: &str) {
        if held.released.replace(true) {
            return;
        }
        let id = held.target.borrow().id.clone();
        self.held.borrow_mut().remove(&id);
        held.urgent.notify();
        let runs = std::mem::take(&mut held.state.borrow_mut().runs);
        info!(self.log, "released target"; "target" => %id, "cause" => cause, "runs" => runs.len());
        for (_, run) in runs {
            if let Some(reply) = run.reply {
                let _ = reply.send(RunOutcome::Moved { target: id.clone() });
            }
        }
    }

    /// Lets a target go that another owner holds now, and leaves it alone for
    /// longer each time.
    fn yield_to_other(&self, held: &Rc<Held>) {
        let id = held.target.borrow().id.clone();
        let mut yielded = self.yielded.borrow_mut();
        let last = yielded.get(&id).map(|it| it.1);
        let pause = last.map_or(FIRST_YIELD, |it| (it * 2).min(MAX_YIELD));
        yielded.insert(id, (clock::now() + pause, pause));
        drop(yielded);
        self.release(held, "another owner holds it");
    }

    fn enqueue(&self, key: Key, start_by: Instant, waiting: Waiting) {
        let priority = waiting.order.priority;
        let place = self.queue.borrow_mut().push(priority, start_by, waiting);
        self.waiting.borrow_mut().insert(key, place);
    }

    /// Puts a run back whose start certainly had no effect.
    fn requeue(&self, key: Key, run: Run) {
        let (Some(order), Some(reply)) = (run.order, run.reply) else {
            return;
        };
        if run.phase == Phase::Stopping || reply.is_canceled() {
            let _ = reply.send(RunOutcome::NotStarted(NotStartedReason::Cancelled));
            return;
        }
        let waiting = Waiting {
            order,
            reply,
            since: run.since,
            give_up: run.give_up,
        };
        self.enqueue(key, run.start_by, waiting);
    }

    /// True while some target is held on which `order` may run.
    fn holds_any(&self, order: &RunRequest) -> bool {
        let held = self.held.borrow();
        order.eligible_targets.is_empty()
            || held
                .values()
                .any(|it| order.eligible_targets.contains(&it.short_id))
    }

    /// Starts whatever fits, in the order of the queue.
    ///
    /// A process that stood still starts nothing before its next tick, as the
    /// fronts of what waits here may be gone.
    fn dispatch(self: &Rc<Self>) {
        if clock::now() - self.ticked.get() > STALL {
            return;
        }
        loop {
            let Some((place, held)) = self.next() else {
                return;
            };
            let Some(waiting) = self.queue.borrow_mut().remove(place) else {
                return;
            };
            let key = (waiting.order.task, waiting.order.run);
            self.waiting.borrow_mut().remove(&key);
            begin::spawn(self, &held, place, waiting);
        }
    }

    /// Targets on which tasks may be started.
    ///
    /// Where too many are in trouble, the trouble is not theirs.
    fn open(&self) -> Vec<Rc<Held>> {
        let now = clock::now();
        let held = self.held.borrow();
        let open: Vec<_> = held.values().filter(|it| it.is_open()).cloned().collect();
        let paused = open.iter().filter(|it| it.is_paused(now)).count();
        if paused * MAX_PAUSED > open.len() {
            return open;
        }
        open.into_iter().filter(|it| !it.is_paused(now)).collect()
    }

    fn next(&self) -> Option<(Place, Rc<Held>)> {
        let queue = self.queue.borrow();
        if queue.is_empty() {
            return None;
        }
        let now = clock::now();
        let open = self.open();
        let rooms: Vec<_> = open.iter().map(|it| it.free()).collect();
        queue.scan().find_map(|(place, waiting)| {
            let order = &waiting.order;
            let goal = place.start_by - now + Duration::from_millis(order.estimate_ms.into());
            let suitable = open.iter().enumerate().filter(|(_, it)| suits(it, order));
            let candidates = suitable.map(|(index, it)| {
                let state = it.state.borrow();
                let candidate = Candidate {
                    free: rooms[index],
                    expected_run_time: self.expect(&it.target.borrow(), &state, order),
                    healthy: state.trust.is_closed(),
                };
                (index, candidate)
            });
            let chosen = placement::choose(order.resources, goal, candidates)?;
            Some((place, open[chosen].clone()))
        })
    }

    fn expect(&self, target: &Target, state: &held::State, order: &RunRequest) -> Duration {
        let declared = Duration::from_millis(order.estimate_ms.into());
        let expected = state.speed.estimate(declared);
        match &order.affinity {
            Some(rack) if !target.has(rack) => expected.mul_f64(self.config.far_factor),
            _ => expected,
        }
    }

    /// Looks at the targets `tags` that are held here.
    async fn look(&self, tags: &[u32]) -> Vec<(Rc<Held>, u64)> {
        let held: Vec<_> = self.held.borrow().values().cloned().collect();
        let looks = held
            .into_iter()
            .filter(|it| tags.contains(&it.short_id))
            .map(async |it| {
                let number = it.look(self.config.request_timeout).await;
                (it, number)
            });
        join_all(looks).await
    }

    /// Takes charge of a run that is here; `reply` is taken if it goes on.
    fn adopt(
        &self,
        key: Key,
        order: &RunRequest,
        reply: &mut Option<oneshot::Sender<RunOutcome>>,
    ) -> Adopted {
        let now = clock::now();
        if let Some(place) = self.waiting.borrow().get(&key) {
            if let Some(waiting) = self.queue.borrow_mut().get_mut(*place)
                && let Some(reply) = reply.take()
            {
                waiting.reply = reply;
                waiting.order = order.clone();
            }
            return Adopted::Running;
        }
        for held in self.held.borrow().values() {
            let mut state = held.state.borrow_mut();
            if let Some(exit_status) = state.take_end(key) {
                return Adopted::Ended(ending(exit_status));
            }
            let Some(run) = state.runs.get_mut(&key) else {
                continue;
            };
            // One that is being stopped is over only once it is gone.
            if run.phase == Phase::Unclaimed {
                run.phase = Phase::Running;
            }
            run.claim_by = None;
            run.front = Some(order.front_address);
            run.reply = reply.take();
            run.give_up = now + Duration::from_millis(order.start_timeout_ms.into());
            run.order.get_or_insert_with(|| order.clone());
            info!(self.log, "adopted run"; "task" => %key.0, "run" => key.1,
                "target" => %held.target.borrow().id);
            return Adopted::Running;
        }
        Adopted::Missing
    }

    /// Keeps a run from starting here.
    fn bar(&self, key: Key) {
        let until = clock::now() + BARRED;
        self.barred.borrow_mut().insert(key, until);
    }

    /// Leaves a run whose front was lost to a claim.
    fn orphan(self: &Rc<Self>, key: Key) {
        let claim_by = clock::now() + self.config.claim_timeout;
        for held in self.held.borrow().values() {
            if let Some(run) = held.state.borrow_mut().runs.get_mut(&key) {
                run.claim_by = Some(claim_by);
                return;
            }
        }
        self.cancel(key, "connection to its front lost");
    }

    /// True when nobody but the caller waits for a run.
    fn is_left(&self, key: Key) -> bool {
        if let Some(place) = self.waiting.borrow().get(&key) {
            let mut queue = self.queue.borrow_mut();
            return queue
                .get_mut(*place)
                .is_none_or(|it| it.reply.is_canceled());
        }
        let held = self.held.borrow();
        held.values().all(|held| {
            let state = held.state.borrow();
            let run = state.runs.get(&key);
            let reply = run.and_then(|it| it.reply.as_ref());
            reply.is_none_or(|it| it.is_canceled())
        })
    }

    /// Stops a run or takes it out of the queue; false where it is not here.
    fn cancel(self: &Rc<Self>, key: Key, cause: &'static str) -> bool {
        let place = self.waiting.borrow_mut().remove(&key);
        if let Some(place) = place {
            let waiting = self.queue.borrow_mut().remove(place);
            if let Some(waiting) = waiting {
                // Whoever waited may be gone already.
                let _ = waiting
                    .reply
                    .send(RunOutcome::NotStarted(NotStartedReason::Cancelled));
            }
            return true;
        }
        let held: Vec<_> = self.held.borrow().values().cloned().collect();
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
            run.claim_by = None;
            drop(state);
            info!(self.log, "stopping run"; "task" => %key.0, "run" => key.1,
                "target" => %held.target.borrow().id, "cause" => cause);
            // A start under way is stopped when it is answered.
            if !starting {
                drop(spawn(begin::stop(self.clone(), held.clone(), key)));
            }
            return true;
        }
        false
    }

    /// Stops runs that will probably never end.
    fn stop_overdue(self: &Rc<Self>, now: Instant) {
        let held: Vec<_> = self.held.borrow().values().cloned().collect();
        for held in held {
            let mut state = held.state.borrow_mut();
            let target = held.target.borrow();
            let overdue = state.runs.iter().filter(|(_, run)| {
                let Some(order) = run.order.as_ref() else {
                    return false;
                };
                let expected = self.expect(&target, &state, order);
                run.phase == Phase::Running
                    && circuit_breaker::is_overdue(expected, now - run.since)
            });
            let overdue: Vec<Key> = overdue.map(|(key, _)| *key).collect();
            for _ in &overdue {
                state.trust.record_failure(now);
            }
            drop((state, target));
            for key in overdue {
                self.cancel(key, "overdue");
            }
        }
    }

    /// Carries out what a listing showed.
    fn settle(self: &Rc<Self>, held: &Rc<Held>, effects: Vec<held::Effect>) {
        for effect in effects {
            match effect {
                held::Effect::Ended(key, run, exit_status) => {
                    self.ended(held, key, run, exit_status)
                }
                held::Effect::Gone(key, run) => {
                    info!(self.log, "run is gone"; "task" => %key.0, "run" => key.1,
                        "target" => %held.target.borrow().id);
                    if let Some(reply) = run.reply {
                        let _ = reply.send(RunOutcome::Lost);
                    }
                }
                held::Effect::Void(key, run) => self.requeue(key, run),
            }
        }
        self.dispatch();
    }

    fn ended(&self, held: &Rc<Held>, key: Key, run: Run, exit_status: ExitStatus) {
        let mut state = held.state.borrow_mut();
        let took = clock::now() - run.since;
        match exit_status {
            ExitStatus::Done => {
                state.trust.record_success();
                if let Some(order) = &run.order {
                    let declared = Duration::from_millis(order.estimate_ms.into());
                    state.speed.record(declared, took);
                }
            }
            ExitStatus::Failed => state.trust.record_failure(clock::now()),
            ExitStatus::Interrupted => {}
        }
        if exit_status != ExitStatus::Done {
            info!(self.log, "run ended badly"; "task" => %key.0, "run" => key.1, "how" => %exit_status,
                "target" => %held.target.borrow().id, "took_ms" => millis(took));
        }
        if let Some(reply) = run.reply {
            let _ = reply.send(ending(exit_status));
        }
    }
}

fn suits(held: &Held, order: &RunRequest) -> bool {
    let target = held.target.borrow();
    if target.service != order.service {
        return false;
    }
    if order.constraint.as_ref().is_some_and(|it| !target.has(it)) {
        return false;
    }
    if !order.eligible_targets.is_empty() && !order.eligible_targets.contains(&held.short_id) {
        return false;
    }
    if order.max_per_target == 0 {
        return true;
    }
    let state = held.state.borrow();
    let same = |key: &&Key| {
        let (task, asked) = (key.0, order.task);
        (task.job, task.occurrence, task.step) == (asked.job, asked.occurrence, asked.step)
    };
    state.runs.keys().filter(same).count() < usize::from(order.max_per_target)
}

fn ending(exit_status: ExitStatus) -> RunOutcome {
    match exit_status {
        ExitStatus::Done => RunOutcome::Done,
        ExitStatus::Failed => RunOutcome::Failed,
        ExitStatus::Interrupted => RunOutcome::Lost,
    }
}

fn core_ms(order: &RunRequest) -> u64 {
    u64::from(order.resources.cpu) * u64::from(order.estimate_ms) / u64::from(MILLICORES)
}

/// Parts from a run whose waiter goes away first.
struct Guard {
    shared: Rc<Shared>,
    key: Option<Key>,
    drop_policy: DropPolicy,
}

impl Guard {
    fn new(shared: &Rc<Shared>, key: Key, drop_policy: DropPolicy) -> Guard {
        Guard {
            shared: shared.clone(),
            key: Some(key),
            drop_policy,
        }
    }

    fn disarm(mut self) {
        self.key = None;
    }

    fn end(mut self, ending: Result<RunOutcome, oneshot::Canceled>) -> RunOutcome {
        self.key = None;
        // A sender is dropped only when another claim takes its place.
        ending.unwrap_or(RunOutcome::Superseded)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(key) = self.key else { return };
        // A claim on another connection may have come first.
        if !self.shared.is_left(key) {
            return;
        }
        match self.drop_policy {
            DropPolicy::Stop => {
                self.shared.cancel(key, "nobody waits for it");
            }
            DropPolicy::Orphan => self.shared.orphan(key),
        }
    }
}
