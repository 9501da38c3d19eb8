/*!
Placement of a task: on which target it starts, or for which one it waits.

Load: tasks use about half of a target, so two fit on a small target and three on
a large one, and the capacity left over is too small for another task. Best fit
preserves large blocks of free capacity. Long tasks go to fast targets because
they would miss their latency goal on a slow one: targets on which the task ends
in time are preferred, and if there are none, the fastest target is chosen.

A task may take several times as long away from the rack of its data or on a slow
target. If the only free places are such, and a better one is expected to become
free soon, the task waits for it if that is expected to end it earlier. It never waits
past the time at which even the better place would end it later than the free one
would have, nor past what its goal leaves.
Tasks are decided in the order of the backlog, and each that does not start takes
up the place that becomes free first for it. The later ones therefore see the
queue for a busy rack, and start elsewhere once it is too long.

Waiting requires that the task names a rack or that the learned speeds differ
clearly; otherwise [`Round::decide`] chooses like [`choose`].
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

use crate::{
    Resources,
    forecast::{self, Occupancy},
};

/// Relative spread of run times, because declared run times are off by 40 %. A run
/// that takes longer than that is likely to take many times as long.
const SPREAD: f64 = 0.4;

/// Ratio of run times from which a target is clearly faster than another. Over many
/// runs, equal targets appear to differ by up to 1.4.
const CLEAR_SPEED_RATIO: f64 = 1.5;

/// Target on which a task may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Free capacity.
    pub free: Resources,
    /// Estimated run time on this target.
    pub expected_run_time: Duration,
    /// Whether the circuit breaker of the target is closed.
    pub healthy: bool,
}

/// Best of `candidates` for a task that needs `required` and should end within
/// `goal`. `None` if the task fits on none of them.
pub fn choose(
    required: Resources,
    goal: Duration,
    candidates: impl Iterator<Item = (usize, Candidate)>,
) -> Option<usize> {
    let fitting = candidates.filter(|(_, it)| required.fits_in(it.free));
    let best = fitting.min_by_key(|(_, it)| {
        let lateness = it.expected_run_time.saturating_sub(goal);
        let leftover_cpu = it.free.cpu - required.cpu;
        (!it.healthy, lateness, leftover_cpu, it.expected_run_time)
    });
    best.map(|it| it.0)
}

/// Whether targets with these long-term `ratios` of actual to declared run time differ
/// clearly in speed.
pub fn speeds_differ(ratios: impl Iterator<Item = f64>) -> bool {
    let bounds = ratios.fold((f64::INFINITY, 0.0_f64), |it, ratio| {
        (it.0.min(ratio), it.1.max(ratio))
    });
    bounds.1 >= bounds.0 * CLEAR_SPEED_RATIO
}

/// Candidate with its location and speed.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Index of the target.
    pub target: usize,
    /// Capacity and run time.
    pub candidate: Candidate,
    /// Whether the target is in the rack that the task names; true if it names none.
    pub near: bool,
    /// Whether another task of the step runs in the rack of the target.
    pub with_group: bool,
    /// Long-term ratio of actual to declared run time on the target, if known.
    pub long_term_ratio: Option<f64>,
}

impl Place {
    /// Whether this place is worth waiting for if the task can start at `start`, with
    /// `goal_left` until it misses its goal.
    ///
    /// A fast target is left to others if the task is certain to meet its goal on a slow
    /// one. Outside its rack, a task takes more than its share of capacity in any case.
    fn is_better_than(&self, start: &Place, goal_left: Duration) -> bool {
        let is_nearer = self.near && !start.near;
        let is_faster = match (self.long_term_ratio, start.long_term_ratio) {
            (Some(ratio), Some(of_start)) => of_start >= ratio * CLEAR_SPEED_RATIO,
            _ => false,
        };
        let latest_end = start.candidate.expected_run_time.mul_f64(1.0 + SPREAD);
        self.candidate.healthy && (is_nearer || is_faster && latest_end > goal_left)
    }
}

/// Task to place.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Required resources.
    pub required: Resources,
    /// Time left for a run that starts now, used to compare places.
    pub goal: Duration,
    /// Time at which the job misses its latency goal.
    pub goal_end: Instant,
    /// Time after which the task must not start.
    pub expires_at: Instant,
    /// Whether runs in the rack that the task names are shorter.
    pub names_rack: bool,
    /// Wait of the task up to now.
    pub wait: Option<Wait>,
}

/// Wait for a better place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Start of the wait.
    pub since: Instant,
    /// Time after which the task does not wait any more. It never becomes later.
    pub bound: Instant,
}

/// Decision on one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Starts on this target.
    Start(usize),
    /// Waits for a target that is better than the free ones.
    Wait {
        /// Target that is expected to have capacity first.
        target: usize,
        /// Time at which the task is decided again at the latest.
        until: Instant,
        /// Wait with its bound.
        wait: Wait,
    },
    /// Fits nowhere now.
    NoPlace,
}

/// Time at which a task will fit on a target.
#[derive(Clone, Copy, Debug)]
struct Opening {
    expected: Instant,
    latest: Instant,
}

impl Opening {
    /// Expected time from `now` to the end of a task that waits for the opening until
    /// `bound`. It then runs for `run_time` or, without an opening, for `otherwise`.
    fn end_after(
        self,
        now: Instant,
        bound: Duration,
        run_time: Duration,
        otherwise: Duration,
    ) -> Duration {
        let (expected, latest) = (self.expected - now, self.latest - now);
        let earliest = expected.saturating_sub(latest - expected);
        if bound < earliest {
            return bound + otherwise;
        }
        let last = latest.min(bound);
        let share_in_time = match latest > earliest {
            true => (last - earliest).as_secs_f64() / (latest - earliest).as_secs_f64(),
            false => 1.0,
        };
        let end_in_time = (earliest + last) / 2 + run_time;
        let end_otherwise = bound + otherwise;
        end_in_time.mul_f64(share_in_time) + end_otherwise.mul_f64(1.0 - share_in_time)
    }
}

/// Room on a target, now and as its runs end.
#[derive(Clone, Debug, Default)]
pub struct Room {
    free: Resources,
    expected: Vec<Occupancy>,
    latest: Vec<Occupancy>,
    /// Capacity that tasks decided before are expected to take.
    promised: Resources,
}

impl Room {
    /// Room with this free capacity and without runs.
    pub fn new(free: Resources) -> Room {
        Room {
            free,
            ..Room::default()
        }
    }

    /// Adds a run. One that has taken much longer than expected is assumed not to
    /// end, because most of these take several times as long.
    pub fn add_run(
        &mut self,
        resources: Resources,
        started_at: Instant,
        expected: Duration,
        now: Instant,
    ) {
        let earliest = now.max(started_at + expected.mul_f64(1.0 - SPREAD));
        let latest = started_at + expected.mul_f64(1.0 + SPREAD);
        if latest > now {
            self.add(resources, earliest + (latest - earliest) / 2, latest);
        }
    }

    fn add(&mut self, resources: Resources, expected: Instant, latest: Instant) {
        let occupancy = |expected_end| Occupancy {
            resources,
            expected_end,
        };
        self.expected.push(occupancy(expected));
        self.latest.push(occupancy(latest));
    }

    fn opening(&self, required: Resources, now: Instant) -> Option<Opening> {
        let needed = required.saturating_add(self.promised);
        let fits = |runs| forecast::time_to_fit(needed, self.free, runs, now);
        let expected = fits(&self.expected)?;
        let latest = fits(&self.latest)?.max(expected);
        Some(Opening { expected, latest })
    }

    fn promise(&mut self, required: Resources, opening: Opening, run_time: Duration) {
        self.promised = self.promised.saturating_add(required);
        let latest = opening.latest + run_time.mul_f64(1.0 + SPREAD);
        self.add(required, opening.expected + run_time, latest);
    }
}

/// Decisions on the tasks of a backlog, in its order.
#[derive(Debug)]
pub struct Round {
    now: Instant,
    /// Room of each target. Empty if no task can gain by waiting.
    rooms: Vec<Room>,
}

impl Round {
    /// Round in which tasks may wait for the targets with these `rooms`.
    pub fn new(now: Instant, rooms: Vec<Room>) -> Round {
        Round { now, rooms }
    }

    /// Round in which no task waits.
    pub fn without_waits(now: Instant) -> Round {
        Round::new(now, Vec::new())
    }

    /// Decides on the next task, which may run at `places`.
    pub fn decide(&mut self, task: &Task, places: &[Place]) -> Decision {
        let start = choose_free(task, places);
        if self.rooms.is_empty() {
            return start.map_or(Decision::NoPlace, |it| Decision::Start(it.target));
        }
        let openings: Vec<_> = places
            .iter()
            .filter_map(|it| {
                let opening = self
                    .rooms
                    .get(it.target)?
                    .opening(task.required, self.now)?;
                Some((it, opening))
            })
            .collect();
        let decision = match start {
            None => Decision::NoPlace,
            Some(start) => self
                .wait(task, start, &openings)
                .unwrap_or(Decision::Start(start.target)),
        };
        let awaited = match decision {
            Decision::Start(_) => None,
            Decision::Wait { target, .. } => openings.iter().find(|it| it.0.target == target),
            Decision::NoPlace => openings
                .iter()
                .min_by_key(|(it, opening)| opening.expected + it.candidate.expected_run_time),
        };
        if let Some((place, opening)) = awaited {
            let run_time = place.candidate.expected_run_time;
            self.rooms[place.target].promise(task.required, *opening, run_time);
        }
        decision
    }

    /// Wait for the best of `openings`, if the task is expected to end earlier than
    /// if it starts now at `start`.
    fn wait(&self, task: &Task, start: &Place, openings: &[(&Place, Opening)]) -> Option<Decision> {
        let now = self.now;
        let start_run_time = start.candidate.expected_run_time;
        let goal_left = task.goal_end - now;
        let last_start = match task.wait {
            Some(wait) => wait.bound.min(task.expires_at) - now,
            None => task.expires_at - now,
        };
        let better = openings.iter().filter_map(|(place, opening)| {
            let fits_now = task.required.fits_in(place.candidate.free);
            if fits_now || !place.is_better_than(start, goal_left) {
                return None;
            }
            let run_time = place.candidate.expected_run_time;
            let gain = start_run_time.saturating_sub(run_time);
            // A task that would meet its goal here must still do so after the wait.
            let goal_slack = match start_run_time <= goal_left {
                true => goal_left - start_run_time,
                false => goal_left.saturating_sub(run_time),
            };
            let bound = gain.min(goal_slack).min(last_start);
            let end = opening.end_after(now, bound, run_time, start_run_time);
            let pays_off = end < start_run_time && opening.latest > now;
            pays_off.then_some((end, place, opening, bound))
        });
        let (_, place, opening, bound) = better.min_by_key(|it| it.0)?;
        let wait = Wait {
            since: task.wait.map_or(now, |it| it.since),
            bound: now + bound,
        };
        Some(Decision::Wait {
            target: place.target,
            until: opening.latest.min(wait.bound),
            wait,
        })
    }
}

/// Best place at which `task` fits now. A task that names a rack takes more than its
/// share of capacity elsewhere, so the rack goes before a tight fit.
fn choose_free<'a>(task: &Task, places: &'a [Place]) -> Option<&'a Place> {
    if !task.names_rack {
        let candidates = places.iter().map(|it| it.candidate).enumerate();
        return choose(task.required, task.goal, candidates).map(|it| &places[it]);
    }
    let fitting = places
        .iter()
        .filter(|it| task.required.fits_in(it.candidate.free));
    fitting.min_by_key(|place| {
        let it = place.candidate;
        let lateness = it.expected_run_time.saturating_sub(task.goal);
        let leftover_cpu = it.free.cpu - task.required.cpu;
        let location = (!place.near, !place.with_group);
        (
            !it.healthy,
            lateness,
            location,
            leftover_cpu,
            it.expected_run_time,
        )
    })
}

/// Numbers of starts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Starts in the rack that the task names.
    pub near: u64,
    /// Starts outside the rack that the task names.
    pub far: u64,
    /// Starts after a wait for a better place.
    pub waited: u64,
    /// Starts outside the rack that the task names although this owner holds targets
    /// there that may run the task.
    pub spilled: u64,
}
