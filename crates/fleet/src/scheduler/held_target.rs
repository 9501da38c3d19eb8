/*!
What an owner knows about one target.

Statuses of the target are ordered by the clock of the target. A status older
than the latest one is ignored, because answers on different connections overtake
each other. A start that was not answered keeps its capacity reserved until a
status under a higher fencing token shows whether it was executed.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bluebellpath_runtime::{Instant, Notify, clock};
use futures_channel::oneshot;

use crate::{
    Resources, Target, TaskId,
    circuit_breaker::CircuitBreaker,
    crash_history::{Fate, Loss, LossReport},
    messages::{ClockReading, RunOutcome, RunRequest},
    permission::{MIN_START_LEASE, Permission, longest_lease},
    run_time::Estimator,
    takeover::STOP_ALLOWANCE,
    target_client::{ExitStatus, Status},
};

/// Task and run number, which identify a run.
pub(super) type RunKey = (TaskId, u32);

/// Maximum number of ended runs that are remembered for a later claim.
const MAX_UNCLAIMED_ENDS: usize = 256;

/// Silence after which nothing waits for a target any more: several polls.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);

/// Longest time for which the answer of a target is under way.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(1_000);

/// Phase of a run on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start request is in flight.
    Starting,
    /// The start request was not answered; the run may be active or may still
    /// start.
    Unconfirmed,
    /// The run is active.
    Running,
    /// The run is active or may still start, and is to be stopped.
    Stopping,
    /// The run was started by another owner and not claimed by a frontend yet.
    Unclaimed,
}

/// Run on a target.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) phase: Phase,
    /// `None` for a run that another owner started, before it is claimed.
    pub(super) request: Option<RunRequest>,
    /// Permission to keep the run alive, if somebody waits for it.
    pub(super) permission: Option<Permission>,
    pub(super) reply: Option<oneshot::Sender<RunOutcome>>,
    pub(super) front_address: Option<SocketAddr>,
    /// Time at which the start request was sent or the run was first listed.
    pub(super) started_at: Instant,
    /// Fencing token of the start request.
    pub(super) fencing_token: u64,
    /// Clock of the target when it acknowledged the start, in milliseconds.
    pub(super) started_ms: Option<u64>,
    /// Time at which the answer to the start arrived.
    pub(super) answered_at: Option<Instant>,
    /// Whether the start may have been carried out by an incarnation that has ended.
    pub(super) may_have_run: bool,
    pub(super) start_by: Instant,
    pub(super) expires_at: Instant,
    /// Time by which a frontend must have claimed the run, if it has no frontend.
    pub(super) claim_deadline: Option<Instant>,
    /// Time from which the run is reported to the other instances, if nobody waits
    /// for it.
    pub(super) report_at: Option<Instant>,
    /// Time up to which the lease may be renewed, if nobody waits for the run.
    pub(super) lease_limit: Option<Instant>,
}

/// Change of a run that a status of the target shows.
#[derive(Debug)]
pub(super) enum RunEvent {
    /// The run ended.
    Ended(RunKey, Run, ExitStatus),
    /// The run is over with an unknown result.
    Lost(RunKey, Run),
    /// The lease of the run has ended on a target whose end was planned.
    Expired(RunKey, Run),
    /// The run is over because the target was lost.
    TargetLost(RunKey, Run, Loss),
    /// A run has ended that this owner did not know.
    EndedUnclaimed(RunKey),
    /// It is known what became of the target while tasks were running on it.
    FateKnown(LossReport, BTreeSet<SocketAddr>),
    /// The start had no effect and can no longer have one.
    NotStarted(RunKey, Run),
}

/// Target that this instance owns or is taking over.
pub(super) struct HeldTarget {
    /// Hash of the target id, used in messages between instances.
    pub(super) short_id: u32,
    /// Whether it was silent when it was last held here.
    pub(super) was_silent: bool,
    pub(super) target: RefCell<Target>,
    pub(super) state: RefCell<State>,
    /// Makes the poll loop poll immediately.
    pub(super) poll_requested: Notify,
    pub(super) released: Cell<bool>,
    /// Number of the last poll requested by [`HeldTarget::poll_now`].
    pub(super) requested_polls: Cell<u64>,
    /// Number of the last requested poll that was answered.
    pub(super) answered_polls: Cell<u64>,
    /// Wakes the callers of [`HeldTarget::poll_now`].
    pub(super) poll_answered: Notify,
    /// True while a second loop polls the target.
    pub(super) has_backup: Cell<bool>,
}

/// Known state of a held target.
pub(super) struct State {
    pub(super) fencing_token: u64,
    /// True while the runs on the target are known.
    pub(super) synced: bool,
    /// Whether the last holder has failed. Its leases may end before its frontends have
    /// claimed their runs.
    holder_failed: bool,
    /// True once the target has accepted a fencing token of this owner.
    pub(super) acquired: bool,
    /// Monotonic time in milliseconds since which no other owner has held this
    /// incarnation of the target. `None` until the target has answered.
    held_since_ms: Option<u64>,
    target_clock: Option<(u64, Instant)>,
    /// Time after which all leases granted by this owner have expired.
    pub(super) lease_end: Instant,
    /// Time of sending of the last request under the current token that the target has
    /// answered.
    pub(super) confirmed_at: Instant,
    pub(super) acknowledged_end: u64,
    latest_status_ms: u64,
    incarnation_ms: Option<u64>,
    /// Last incarnation that has answered, whether or not its status was applied.
    answered_incarnation_ms: Option<u64>,
    /// Last incarnation that was listed as shutting down.
    pub(super) draining_incarnation_ms: Option<u64>,
    pub(super) runs: BTreeMap<RunKey, Run>,
    unclaimed_ends: VecDeque<(RunKey, ExitStatus)>,
    /// Tasks that were running when the target stopped answering, with their
    /// frontends, until it is known what became of it.
    suspects: BTreeMap<TaskId, SocketAddr>,
    pub(super) estimator: Estimator,
    /// Latest start of a run that has succeeded.
    pub(super) last_done_start: Option<Instant>,
    pub(super) circuit_breaker: CircuitBreaker,
    pub(super) last_heard: Instant,
}

impl HeldTarget {
    pub(super) fn new(
        target: Target,
        fencing_token: u64,
        holder_failed: bool,
        was_silent: bool,
    ) -> HeldTarget {
        let now = clock::now();
        HeldTarget {
            short_id: Target::short_id(&target.id),
            was_silent,
            target: RefCell::new(target),
            state: RefCell::new(State {
                fencing_token,
                synced: false,
                holder_failed,
                acquired: false,
                held_since_ms: None,
                target_clock: None,
                lease_end: now,
                confirmed_at: now,
                acknowledged_end: 0,
                latest_status_ms: 0,
                incarnation_ms: None,
                answered_incarnation_ms: None,
                draining_incarnation_ms: None,
                runs: BTreeMap::new(),
                unclaimed_ends: VecDeque::new(),
                suspects: BTreeMap::new(),
                estimator: Estimator::default(),
                last_done_start: None,
                circuit_breaker: CircuitBreaker::default(),
                last_heard: now,
            }),
            poll_requested: Notify::new(),
            released: Cell::new(false),
            requested_polls: Cell::new(0),
            answered_polls: Cell::new(0),
            poll_answered: Notify::new(),
            has_backup: Cell::new(false),
        }
    }

    /// Polls the target now and waits for the answer for at most `timeout`. Returns
    /// the number of the poll.
    ///
    /// An owner that was fenced off notices it only at its next poll.
    pub(super) async fn poll_now(&self, timeout: Duration) -> u64 {
        let number = self.requested_polls.get() + 1;
        self.requested_polls.set(number);
        self.poll_requested.notify();
        let answered = async {
            while self.answered_polls.get() < number && !self.released.get() {
                self.poll_answered.notified().await;
            }
        };
        clock::timeout(timeout, answered).await;
        number
    }

    /// Whether the target accepted the fencing token at poll `number` and the state
    /// of the target has been known since.
    pub(super) fn is_confirmed(&self, number: u64) -> bool {
        self.answered_polls.get() >= number && !self.released.get() && self.state.borrow().synced
    }

    /// Free resources for new tasks; none while a run is present that needs the
    /// target for itself or whose needs are unknown.
    pub(super) fn free_resources(&self) -> Resources {
        let state = self.state.borrow();
        let mut free = self.target.borrow().capacity;
        for run in state.runs.values() {
            match &run.request {
                Some(request) if !request.exclusive => {
                    free = free.saturating_sub(request.resources);
                }
                _ => return Resources::default(),
            }
        }
        free
    }

    /// Whether the target has not been heard for so long that waiting for it would keep
    /// others from being used. This process could hear it since `running_since`.
    pub(super) fn is_silent(&self, now: Instant, running_since: Instant) -> bool {
        now - self.state.borrow().last_heard.max(running_since) > MAX_SILENCE
    }

    /// Whether the target is held with runs on it.
    pub(super) fn has_runs(&self) -> bool {
        let state = self.state.borrow();
        state.acquired && !state.runs.is_empty()
    }

    /// Whether tasks may be started on the target.
    pub(super) fn accepts_starts(&self) -> bool {
        let state = self.state.borrow();
        let target = self.target.borrow();
        // Another incarnation may have another capacity and other labels than the listed
        // one.
        let is_listed = state
            .incarnation_ms
            .is_none_or(|it| target.may_be_incarnation(it));
        let is_usable = is_listed && !self.released.get() && !target.draining;
        state.synced && is_usable && state.longest_renewal(MIN_START_LEASE) == MIN_START_LEASE
    }

    /// Whether `request` allows a start on this target.
    ///
    /// A frontend that loses contact with the owner before the reply ends its search
    /// once other owners have held the named targets without finding the run. A start
    /// under a token from before the request is then fenced off, but one under a later
    /// token would run the task a second time.
    pub(super) fn is_allowed_by(&self, request: &RunRequest) -> bool {
        if request.eligible_targets.is_empty() {
            return true;
        }
        let held_since_ms = self.state.borrow().held_since_ms;
        request.eligible_targets.contains(&self.short_id)
            && held_since_ms.is_some_and(|it| it < request.sent_at.monotonic_ms)
    }

    /// Identifies the last known incarnation of the target, should it be lost. `None`
    /// if it has announced its end.
    pub(super) fn loss(&self, fate: Fate) -> Option<Loss> {
        let state = self.state.borrow();
        let target = self.target.borrow();
        let incarnation_ms = state.incarnation_ms.unwrap_or(target.incarnation_ms);
        (state.draining_incarnation_ms != Some(incarnation_ms)).then_some(Loss {
            target: self.short_id,
            incarnation_ms,
            address: target.address,
            fate,
        })
    }

    /// Whether the circuit breaker prevents a start: it is open, or it is half-open
    /// and a run is present.
    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.circuit_breaker.is_open(now)
            || !state.circuit_breaker.is_closed() && !state.runs.is_empty()
    }
}

impl State {
    /// Whether there is nothing to find out about the target: no runs, and no tasks whose
    /// fate depends on it.
    pub(super) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.suspects.is_empty()
    }

    /// Whether `status` is the first one of an incarnation that has replaced another.
    pub(super) fn is_first_of_incarnation(&mut self, status: &Status) -> bool {
        let Some(incarnation_ms) = status.incarnation_ms else {
            return false;
        };
        let last = self.answered_incarnation_ms.replace(incarnation_ms);
        last.is_some_and(|it| it != incarnation_ms)
    }

    /// End of a lease of `duration` from `now` on the clock of the target, in
    /// milliseconds. `None` if the clock is unknown.
    pub(super) fn lease_end_ms(&self, now: Instant, duration: Duration) -> Option<u64> {
        let (clock_ms, read_at) = self.target_clock?;
        let elapsed = now - read_at;
        Some(clock_ms + millis(elapsed) + millis(duration))
    }

    /// Whether the clock of the target is known.
    pub(super) fn knows_clock(&self) -> bool {
        self.target_clock.is_some()
    }

    /// Longest lease of up to `duration` that may be requested now. A longer one would
    /// keep a run alive that nobody waits for.
    pub(super) fn longest_renewal(&self, duration: Duration) -> Duration {
        let now = clock::now();
        let limited = self.runs.values().map(|run| {
            let permitted = match &run.permission {
                Some(permission) => permission.longest_lease(duration),
                None => duration,
            };
            run.lease_limit
                .map_or(permitted, |it| permitted.min(it - now))
        });
        limited.min().unwrap_or(duration)
    }

    /// Records that a request with a lease of `duration` is about to be sent.
    pub(super) fn record_lease(&mut self, duration: Duration) {
        self.lease_end = self.lease_end.max(clock::now() + longest_lease(duration));
    }

    /// Treats unconfirmed starts as if the token had been incremented since.
    pub(super) fn fake_token_increment(&mut self) {
        for run in self.runs.values_mut() {
            if run.started_ms.is_none() {
                run.fencing_token = run.fencing_token.saturating_sub(1);
            }
        }
    }

    /// Whether an answer with this clock comes from another incarnation, whose clock has
    /// started anew.
    pub(super) fn is_clock_reset(&self, clock_ms: u64) -> bool {
        let Some((last_ms, read_at)) = self.target_clock else {
            return false;
        };
        let elapsed = clock::now() - read_at;
        clock_ms + millis(MAX_ANSWER_DELAY) < last_ms + millis(elapsed)
    }

    /// Records the clock of the target from an answer.
    pub(super) fn sync_clock(&mut self, clock_ms: u64) {
        if self.target_clock.is_none_or(|it| clock_ms >= it.0) {
            self.target_clock = Some((clock_ms, clock::now()));
        }
        self.last_heard = clock::now();
    }

    /// Forgets the clock after the target refused a lease based on it.
    pub(super) fn clear_clock(&mut self) {
        self.target_clock = None;
    }

    /// Applies a status that was requested with `fencing_token` at `sent_at`. `loss`
    /// identifies the last known incarnation of the target, or is `None` if its end is
    /// planned.
    pub(super) fn apply_status(
        &mut self,
        status: &Status,
        fencing_token: u64,
        sent_at: Instant,
        claim_timeout: Duration,
        loss: Option<Loss>,
    ) -> Vec<RunEvent> {
        let restarted = matches!(
            (self.incarnation_ms, status.incarnation_ms),
            (Some(old), Some(new)) if old != new
        );
        let mut events = Vec::new();
        if restarted {
            let kept = self.take_runs_of(status, sent_at);
            events.extend(self.replaced(loss));
            self.reset_incarnation();
            self.runs = kept;
        } else if status.clock_ms < self.latest_status_ms || fencing_token < self.fencing_token {
            return events;
        }
        events.extend(self.fate_known(loss, Fate::Alive));
        self.incarnation_ms = status.incarnation_ms.or(self.incarnation_ms);
        self.latest_status_ms = status.clock_ms;
        self.sync_clock(status.clock_ms);
        for end in &status.ended {
            if end.number <= self.acknowledged_end {
                continue;
            }
            self.acknowledged_end = end.number;
            let key = (end.task, end.run);
            match self.runs.remove(&key) {
                Some(run) => {
                    if run.reply.is_none() {
                        self.keep_end(key, end.exit_status);
                    }
                    events.push(RunEvent::Ended(key, run, end.exit_status));
                }
                None => {
                    self.keep_end(key, end.exit_status);
                    events.push(RunEvent::EndedUnclaimed(key));
                }
            }
        }
        let now = clock::now();
        let unclaimed_lease = match self.holder_failed {
            true => claim_timeout + STOP_ALLOWANCE,
            false => Duration::ZERO,
        };
        for active in &status.running {
            let key = (active.task, active.run);
            let run = self.runs.entry(key).or_insert_with(|| Run {
                phase: Phase::Unclaimed,
                request: None,
                permission: None,
                reply: None,
                front_address: None,
                started_at: now,
                fencing_token,
                started_ms: Some(status.clock_ms),
                answered_at: None,
                may_have_run: false,
                start_by: now,
                expires_at: now,
                claim_deadline: Some(now + claim_timeout),
                report_at: Some(now),
                lease_limit: Some(now + unclaimed_lease),
            });
            if run.phase == Phase::Unconfirmed {
                run.phase = Phase::Running;
                run.started_ms = Some(status.clock_ms);
            }
        }
        let is_listed = |key: &RunKey| status.running.iter().any(|it| (it.task, it.run) == *key);
        let absent: Vec<RunKey> = self
            .runs
            .keys()
            .filter(|it| !is_listed(it))
            .copied()
            .collect();
        for key in absent {
            let Some(run) = self.runs.get(&key) else {
                continue;
            };
            let absent_after_start = run.started_ms.is_some_and(|it| status.clock_ms > it);
            let never_started = run.started_ms.is_none() && run.fencing_token < fencing_token;
            let is_over = match run.phase {
                Phase::Starting => false,
                Phase::Unconfirmed => never_started,
                Phase::Running | Phase::Unclaimed => absent_after_start,
                Phase::Stopping => absent_after_start || never_started,
            };
            if is_over && let Some(run) = self.runs.remove(&key) {
                events.push(match run.phase {
                    Phase::Unconfirmed if !run.may_have_run => RunEvent::NotStarted(key, run),
                    _ => RunEvent::Lost(key, run),
                });
            }
        }
        self.synced = true;
        self.acquired = true;
        self.held_since_ms
            .get_or_insert_with(|| ClockReading::now().monotonic_ms);
        events
    }

    /// Removes all runs, none of which can be present any more, as the lease has
    /// expired on the target that `loss` identifies.
    pub(super) fn give_up_runs(&mut self, loss: Option<Loss>) -> Vec<RunEvent> {
        let runs = std::mem::take(&mut self.runs);
        let Some(loss) = loss else {
            let expired = |(key, run)| RunEvent::Expired(key, run);
            return runs.into_iter().map(expired).collect();
        };
        let fronts = runs
            .iter()
            .filter_map(|(key, run)| Some((key.0, run.front_address?)));
        self.suspects.extend(fronts);
        let lost = |(key, run)| RunEvent::TargetLost(key, run, loss);
        let mut events: Vec<_> = runs.into_iter().map(lost).collect();
        events.extend(self.report(loss));
        events
    }

    /// Removes and returns the runs that another incarnation has started, or may have
    /// started. It is the one that `status` shows, in answer to a request that was sent
    /// at `sent_at`. Starts name the target and not its incarnation.
    fn take_runs_of(&mut self, status: &Status, sent_at: Instant) -> BTreeMap<RunKey, Run> {
        let is_listed = |key: &RunKey| {
            let mut running = status.running.iter();
            let mut ended = status.ended.iter();
            running.any(|it| (it.task, it.run) == *key) || ended.any(|it| (it.task, it.run) == *key)
        };
        let latest_ms = status.clock_ms + millis(clock::now() - sent_at);
        let runs = std::mem::take(&mut self.runs).into_iter();
        let (mut kept, over): (BTreeMap<_, _>, BTreeMap<_, _>) = runs.partition(|(key, run)| {
            let Some(started_ms) = run.started_ms else {
                return true;
            };
            // The answer may have overtaken the status.
            let is_newer = run.answered_at.is_some_and(|it| it > sent_at)
                && (status.clock_ms..=latest_ms).contains(&started_ms);
            is_newer || is_listed(key)
        });
        self.runs = over;
        for run in kept.values_mut() {
            // The clock of the former incarnation does not count here.
            run.started_ms = run.started_ms.map(|_| status.clock_ms);
            run.may_have_run |= run.started_ms.is_none();
        }
        kept
    }

    /// Removes all runs after another incarnation has taken the place of the target.
    pub(super) fn replaced(&mut self, loss: Option<Loss>) -> Vec<RunEvent> {
        let crashed = |it| Loss {
            fate: Fate::Crashed,
            ..it
        };
        let events = match (loss.map(crashed), self.runs.is_empty()) {
            (Some(loss), true) => self.report(loss).into_iter().collect(),
            (Some(loss), false) => self.give_up_runs(Some(loss)),
            (None, _) => {
                let runs = std::mem::take(&mut self.runs).into_iter();
                runs.map(|(key, run)| RunEvent::Lost(key, run)).collect()
            }
        };
        self.suspects.clear();
        events
    }

    /// Reports the tasks that are running on the target, which refuses connections,
    /// once. The report outlives this owner, the runs may not.
    pub(super) fn suspect_runs(&mut self, loss: Option<Loss>) -> Option<RunEvent> {
        let before = self.suspects.len();
        let fronts = self
            .runs
            .iter()
            .filter_map(|(key, run)| Some((key.0, run.front_address?)));
        self.suspects.extend(fronts);
        (self.suspects.len() > before).then(|| self.report(loss?))?
    }

    /// Reports what became of the target.
    fn fate_known(&mut self, loss: Option<Loss>, fate: Fate) -> Option<RunEvent> {
        let event = self.report(Loss { fate, ..loss? });
        self.suspects.clear();
        event
    }

    fn report(&self, loss: Loss) -> Option<RunEvent> {
        let tasks: Vec<_> = self.suspects.keys().copied().collect();
        let fronts = self.suspects.values().copied().collect();
        (!tasks.is_empty()).then(|| RunEvent::FateKnown(LossReport { loss, tasks }, fronts))
    }

    /// Forgets the state of an ended incarnation of the target.
    pub(super) fn reset_incarnation(&mut self) {
        self.synced = false;
        self.held_since_ms = None;
        self.target_clock = None;
        self.acknowledged_end = 0;
        self.latest_status_ms = 0;
        self.incarnation_ms = None;
        self.unclaimed_ends.clear();
        self.circuit_breaker = CircuitBreaker::default();
        self.last_done_start = None;
    }

    /// Remembers the result of a run for a later claim. A run that was cut short has none.
    fn keep_end(&mut self, key: RunKey, exit_status: ExitStatus) {
        if exit_status == ExitStatus::Interrupted {
            return;
        }
        self.unclaimed_ends.push_back((key, exit_status));
        if self.unclaimed_ends.len() > MAX_UNCLAIMED_ENDS {
            self.unclaimed_ends.pop_front();
        }
    }

    /// Removes and returns the result of the run `key` if it has ended unclaimed.
    pub(super) fn take_unclaimed_end(&mut self, key: RunKey) -> Option<ExitStatus> {
        let index = self.unclaimed_ends.iter().position(|it| it.0 == key)?;
        self.unclaimed_ends.remove(index).map(|it| it.1)
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
