/*!
Integration of [`placement`] into the scheduler: describes targets and tasks to it,
and keeps the wait of each queued task.

A waiting task stays in the backlog. It is decided again whenever tasks are
dispatched, and by a timer when the capacity that it waits for should be free.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, clock, spawn};
use slog::info;

use super::{
    QueuedRun, Shared,
    held_target::{HeldTarget, RunKey, millis},
    is_eligible,
};
use crate::{
    Resources, Target,
    backlog::{Backlog, Position},
    messages::RunRequest,
    placement::{self, Candidate, Counts, Place, Room, Round, Task, Wait},
};

/// Waiting tasks of all held targets.
#[derive(Default)]
pub(super) struct Waits {
    counts: RefCell<Counts>,
    /// Earliest time at which a waiting task is to be decided again.
    next_decision: Cell<Option<Instant>>,
    /// Time of the earliest timer.
    timer: Cell<Option<Instant>>,
}

impl Waits {
    /// Numbers of starts so far.
    pub(super) fn counts(&self) -> Counts {
        *self.counts.borrow()
    }
}

impl Shared {
    /// Round of decisions on the tasks of `backlog`.
    pub(super) fn new_round(
        &self,
        backlog: &Backlog<QueuedRun>,
        startable: &[Rc<HeldTarget>],
        now: Instant,
    ) -> Round {
        self.waits.next_decision.set(None);
        let names_rack = backlog
            .scan(now)
            .any(|(_, it)| self.depends_on_rack(&it.request));
        let ratios = startable
            .iter()
            .filter_map(|it| it.state.borrow().estimator.long_term_ratio());
        if !names_rack && !placement::speeds_differ(ratios) {
            return Round::without_waits(now);
        }
        Round::new(
            now,
            startable
                .iter()
                .map(|it| self.expected_room(it, now))
                .collect(),
        )
    }

    /// Places at which a task may run.
    pub(super) fn places(
        &self,
        request: &RunRequest,
        startable: &[Rc<HeldTarget>],
        free: &[Resources],
    ) -> Vec<Place> {
        let names_rack = self.depends_on_rack(request);
        let group_labels = match names_rack {
            true => self.group_labels(request),
            false => Vec::new(),
        };
        let eligible = startable
            .iter()
            .enumerate()
            .filter(|(_, it)| is_eligible(it, request));
        let places = eligible.map(|(target, it)| {
            let (state, labels) = (it.state.borrow(), &it.target.borrow().labels);
            Place {
                target,
                candidate: Candidate {
                    free: free[target],
                    expected_run_time: self.estimate_run_time(&it.target.borrow(), &state, request),
                    healthy: state.circuit_breaker.is_closed(),
                },
                near: !names_rack || is_near(it, request),
                with_group: group_labels.contains(labels),
                long_term_ratio: state.estimator.long_term_ratio(),
            }
        });
        places.collect()
    }

    /// Describes a queued task that has `goal` left if it starts now.
    pub(super) fn placement_task(
        &self,
        position: Position,
        queued: &QueuedRun,
        goal: Duration,
        now: Instant,
    ) -> Task {
        let request = &queued.request;
        let goal_left = Duration::from_millis(request.goal_remaining_ms.into());
        Task {
            required: request.resources,
            goal,
            goal_end: (now + goal).min(queued.queued_at + goal_left),
            // The backlog may refuse a task that did not start by then.
            expires_at: match position.start_by > now {
                true => queued.expires_at.min(position.start_by),
                false => queued.expires_at,
            },
            names_rack: self.depends_on_rack(request),
            wait: queued.wait.get(),
        }
    }

    /// Records that a queued task waits for `held`.
    pub(super) fn record_wait(
        &self,
        queued: &QueuedRun,
        held: &HeldTarget,
        until: Instant,
        wait: Wait,
        now: Instant,
    ) {
        let request = &queued.request;
        if queued.wait.replace(Some(wait)).is_none() {
            info!(self.log, "task waits for a better target"; "task" => %request.task,
                "run" => request.run, "target" => %held.target.borrow().id,
                "until_ms" => millis(until - now), "bound_ms" => millis(wait.bound - now));
        }
        let next = self.waits.next_decision.get();
        let next = next.map_or(until, |it| it.min(until));
        self.waits.next_decision.set(Some(next));
    }

    /// Counts a start, and logs why the wait of the task ended.
    pub(super) fn record_placement(&self, queued: &QueuedRun, held: &HeldTarget) {
        let request = &queued.request;
        let mut counts = self.waits.counts.borrow_mut();
        let is_near = is_near(held, request);
        if request.affinity.is_some() {
            match is_near {
                true => counts.near += 1,
                false => counts.far += 1,
            }
            if !is_near && self.holds_near(request) {
                counts.spilled += 1;
            }
        }
        let Some(wait) = queued.wait.get() else {
            return;
        };
        counts.waited += 1;
        let now = clock::now();
        let cause = match () {
            _ if now >= wait.bound => "bound reached",
            _ if request.affinity.is_some() && !is_near => "no better target expected in time",
            _ => "target has capacity",
        };
        info!(self.log, "wait for a better target ended"; "task" => %request.task,
            "run" => request.run, "target" => %held.target.borrow().id, "near" => is_near,
            "waited_ms" => millis(now - wait.since),
            "bound_ms" => millis(wait.bound - wait.since), "cause" => cause);
    }

    /// Dispatches again when the next waiting task is to be decided.
    pub(super) fn arm_wait_timer(self: &Rc<Self>) {
        let waits = &self.waits;
        let Some(next) = waits.next_decision.take() else {
            return;
        };
        if waits.timer.get().is_some_and(|it| it <= next) {
            return;
        }
        waits.timer.set(Some(next));
        let shared = self.clone();
        drop(spawn(async move {
            clock::sleep_until(next).await;
            if shared.waits.timer.get() == Some(next) {
                shared.waits.timer.set(None);
            }
            shared.dispatch();
        }));
    }

    /// Declared run time of a task on this target, before its speed is considered.
    pub(super) fn declared_run_time(&self, target: &Target, request: &RunRequest) -> Duration {
        let declared = Duration::from_millis(request.estimate_ms.into());
        match &request.affinity {
            Some(rack) if !target.has_label(rack) => declared.mul_f64(self.config.far_factor),
            _ => declared,
        }
    }

    /// Whether runs of the task are shorter in the rack that it names.
    fn depends_on_rack(&self, request: &RunRequest) -> bool {
        request.affinity.is_some() && self.config.far_factor > 1.0
    }

    /// Room on a target. None is expected while the needs of a run are unknown.
    fn expected_room(&self, held: &HeldTarget, now: Instant) -> Room {
        let mut room = Room::new(held.free_resources());
        let (state, target) = (held.state.borrow(), held.target.borrow());
        for run in state.runs.values() {
            let Some(request) = &run.request else {
                return Room::default();
            };
            let resources = match request.exclusive {
                true => target.capacity,
                false => request.resources,
            };
            let expected = self.estimate_run_time(&target, &state, request);
            room.add_run(resources, run.started_at, expected, now);
        }
        room
    }

    /// Labels of the targets on which other tasks of the step run. Targets of the same
    /// kind and rack have the same labels.
    fn group_labels(&self, request: &RunRequest) -> Vec<Vec<Rc<str>>> {
        let is_same_step = |key: &RunKey| {
            let (task, requested) = (key.0, request.task);
            (task.job, task.occurrence, task.step)
                == (requested.job, requested.occurrence, requested.step)
        };
        let held = self.held_targets.borrow();
        let with_group = held
            .values()
            .filter(|it| it.state.borrow().runs.keys().any(is_same_step));
        with_group
            .map(|it| it.target.borrow().labels.clone())
            .collect()
    }

    /// Whether a target in the rack that the task names is held for it.
    fn holds_near(&self, request: &RunRequest) -> bool {
        let held = self.held_targets.borrow();
        held.values()
            .any(|it| it.accepts_starts() && is_near(it, request) && is_eligible(it, request))
    }
}

/// Whether the target is in the rack that the task names, if any.
fn is_near(held: &HeldTarget, request: &RunRequest) -> bool {
    let rack = request.affinity.as_ref();
    rack.is_none_or(|it| held.target.borrow().has_label(it))
}
