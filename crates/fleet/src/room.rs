/*!
Room on the targets of an owner: the summary that it reports, and what a frontend
expects from it.

Under overload every target is busy, and an owner whose backlog is empty looks as
idle as one with free targets, because the work that is running is in neither. The
summary therefore names the ends of the runs. A [`Forecast`] plays the tasks that
wait ahead of a job onto the targets in order. A task takes about half of a target
and about half of all pairs don't fit on one together, so cores that are free but
too few for the next task stay empty in the forecast, as they do on the target.

Load: up to 128 targets per owner, whose heartbeats go to each peer ten times a
second in frames of 1,200 bytes, half of which name the targets. The summary is
therefore quantised, and only the next [`MAX_OPENINGS`] ends are named.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;
use serde::{Deserialize, Serialize};

use crate::messages::Load;

/// Most ends of runs in one summary. Ten targets have about eighteen runs.
const MAX_OPENINGS: usize = 20;

/// Number of targets from which on only [`FEW_OPENINGS`] are named: the names of the
/// targets leave no room for more in a frame. Only the owner of a domain that has lost
/// most of its instances holds that many.
const MANY_TARGETS: usize = 96;

/// Most ends of runs in the summary of an owner of [`MANY_TARGETS`].
const FEW_OPENINGS: usize = 4;

/// Smallest unit of processor in a summary, in millicores. Whole cores are too coarse:
/// with them, two tasks that just fit on one target together seem not to.
const MIN_CPU_UNIT: u32 = 250;

/// Unit of times in a summary. 255 units are longer than a caller waits.
const TIME_UNIT_MS: u64 = 8;

/// Time after which a run is expected to end that has passed its expected end, also
/// while the summary was on its way.
const MIN_REMAINING_MS: u64 = 20;

/// Speed classes per doubling of the run time.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// Class of a target on which tasks take as long as declared.
const NOMINAL_CLASS: f64 = 8.0;

/// Slowest class.
const MAX_CLASS: u8 = 15;

/// Millicores per core.
const MILLICORES: u32 = 1_000;

/// Assumed run time of the tasks that have arrived since a summary was made.
const ARRIVED_TASK_MS: u64 = 100;

/// Most waiting tasks of one owner that are played one by one; more are merged.
const MAX_PLAYED_TASKS: u64 = 64;

/// Time constant of [`ArrivalRate`]: some heartbeats.
const RATE_TIME_CONSTANT_MS: f64 = 300.0;

/// Rate at which work arrives at an owner, with recent arrivals weighing more.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    core_ms: f64,
    updated_at: Instant,
}

impl ArrivalRate {
    /// Records work that arrived at `now`.
    pub fn record(&mut self, core_ms: u64, now: Instant) {
        self.core_ms = self.decayed(now) + core_ms as f64;
        self.updated_at = now;
    }

    /// Cores that the work arriving at this rate keeps busy.
    pub fn cores(&self, now: Instant) -> u16 {
        let cores = self.decayed(now) / RATE_TIME_CONSTANT_MS;
        cores.round().clamp(0.0, f64::from(u16::MAX)) as u16
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed_ms = (now - self.updated_at).as_secs_f64() * 1_000.0;
        self.core_ms * (-elapsed_ms / RATE_TIME_CONSTANT_MS).exp()
    }
}

/// End of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Index of the target in the summary.
    pub target: u8,
    /// Processor that becomes free, in units of the summary.
    pub cpu: u8,
    /// Time until the expected end, in units of 8 ms.
    pub after: u8,
}

/// Summary of the targets of an owner on which tasks of other instances may start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Unit of processor, in millicores.
    pub cpu_unit: u32,
    /// Free processor of each target, in units.
    pub free: Vec<u8>,
    /// Speed classes of the targets, two per byte, the first in the low half.
    pub speed_classes: Vec<u8>,
    /// Next ends of runs, soonest first.
    pub openings: Vec<Opening>,
    /// Mean time until the ends that are not in `openings`, in units of 8 ms; 0 if
    /// all are.
    pub later: u8,
}

/// Target as its owner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRoom {
    /// Free processor in millicores.
    pub free: u32,
    /// Expected ratio of actual to declared run time.
    pub run_time_ratio: f64,
    /// Processor in millicores and time until the expected end of each run.
    pub ends: Vec<(u32, Duration)>,
}

impl Room {
    /// Summarises the targets of an owner.
    pub fn summarize(targets: &[TargetRoom]) -> Room {
        let largest = targets.iter().flat_map(|it| {
            let ends = it.ends.iter().map(|it| it.0);
            ends.chain([it.free])
        });
        let mut cpu_unit = MIN_CPU_UNIT;
        let largest = largest.max().unwrap_or_default();
        while largest.div_ceil(cpu_unit) > u32::from(u8::MAX) {
            cpu_unit *= 2;
        }
        let mut room = Room {
            cpu_unit,
            ..Room::default()
        };
        for (index, target) in targets.iter().enumerate() {
            let free = u8::try_from(target.free / cpu_unit).unwrap_or(u8::MAX);
            room.free.push(free);
            room.push_class(speed_class(target.run_time_ratio));
            let ends = target.ends.iter().map(|(cpu, after)| Opening {
                target: u8::try_from(index).unwrap_or(u8::MAX),
                cpu: u8::try_from(cpu.div_ceil(cpu_unit)).unwrap_or(u8::MAX),
                after: quantize(millis(*after)),
            });
            room.openings.extend(ends);
        }
        room.openings.sort_by_key(|it| it.after);
        let max_openings = match targets.len() < MANY_TARGETS {
            true => MAX_OPENINGS,
            false => FEW_OPENINGS,
        };
        if room.openings.len() > max_openings {
            let omitted = room.openings.split_off(max_openings);
            let sum: usize = omitted.iter().map(|it| usize::from(it.after)).sum();
            room.later = u8::try_from(sum / omitted.len()).unwrap_or(u8::MAX).max(1);
        }
        room
    }

    /// Indexes and free millicores of the targets on which a task fits now.
    pub fn fitting_now(&self, cpu: u32) -> impl Iterator<Item = (usize, u32)> {
        let free = self.free.iter().enumerate();
        let free = free.map(|(index, free)| (index, u32::from(*free) * self.cpu_unit));
        free.filter(move |it| it.1 >= cpu)
    }

    /// Adds a task that is about to start on the target `index`.
    pub fn occupy(&mut self, index: usize, cpu: u32, run_time: Duration) {
        let Some(free) = self.free.get_mut(index) else {
            return;
        };
        let cpu = u8::try_from(cpu.div_ceil(self.cpu_unit.max(1))).unwrap_or(u8::MAX);
        *free = free.saturating_sub(cpu);
        let after = quantize(millis(run_time));
        let target = u8::try_from(index).unwrap_or(u8::MAX);
        let position = self.openings.partition_point(|it| it.after <= after);
        let opening = Opening { target, cpu, after };
        self.openings.insert(position, opening);
    }

    /// Expected ratio of actual to declared run time on the target `index`.
    pub fn run_time_ratio(&self, index: usize) -> f64 {
        let pair = self.speed_classes.get(index / 2).copied();
        let class = pair.map_or(NOMINAL_CLASS, |it| {
            f64::from(it >> (index % 2 * 4) & MAX_CLASS)
        });
        ((class - NOMINAL_CLASS) / CLASSES_PER_DOUBLING).exp2()
    }

    fn push_class(&mut self, class: u8) {
        match self.free.len() % 2 {
            1 => self.speed_classes.push(class),
            _ => {
                if let Some(last) = self.speed_classes.last_mut() {
                    *last |= class << 4;
                }
            }
        }
    }
}

fn speed_class(run_time_ratio: f64) -> u8 {
    let class = run_time_ratio.log2() * CLASSES_PER_DOUBLING + NOMINAL_CLASS;
    class.round().clamp(0.0, f64::from(MAX_CLASS)) as u8
}

fn quantize(ms: u64) -> u8 {
    u8::try_from(ms.div_ceil(TIME_UNIT_MS)).unwrap_or(u8::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Expected start and end of a task, in milliseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Index of the target.
    pub target: usize,
    /// Start; 0 if it can start now.
    pub start_ms: u64,
    /// End.
    pub end_ms: u64,
    /// Millicores that stay free beside the task.
    pub leftover: u32,
}

/// Expected occupation of the targets of one owner.
#[derive(Clone, Debug)]
pub struct Forecast {
    targets: Vec<Target>,
}

#[derive(Clone, Debug)]
struct Target {
    /// Start of the last task in the forecast; later tasks don't start before.
    ready_ms: u64,
    /// Free millicores at `ready_ms`.
    free: u32,
    run_time_ratio: f64,
    /// Times and millicores that become free, soonest first.
    openings: Vec<(u64, u32)>,
    /// Time until the ends that the summary doesn't name.
    later_ms: Option<u64>,
}

impl Forecast {
    /// Forecast from a load of the age `age`, after all tasks that wait or have
    /// probably arrived since with `priority` or a higher one. These are assumed to need
    /// `cpu` each.
    pub fn new(load: &Load, age: Duration, priority: u8, cpu: u32) -> Forecast {
        let room = &load.room;
        let since_summary = |it: u8| {
            (u64::from(it) * TIME_UNIT_MS)
                .saturating_sub(millis(age))
                .max(MIN_REMAINING_MS)
        };
        let mut targets: Vec<Target> = (room.free.iter().enumerate())
            .map(|(index, free)| Target {
                ready_ms: 0,
                free: u32::from(*free) * room.cpu_unit,
                run_time_ratio: room.run_time_ratio(index),
                openings: Vec::new(),
                later_ms: (room.later > 0).then(|| since_summary(room.later)),
            })
            .collect();
        for opening in &room.openings {
            if let Some(target) = targets.get_mut(usize::from(opening.target)) {
                let freed = u32::from(opening.cpu) * room.cpu_unit;
                target.openings.push((since_summary(opening.after), freed));
            }
        }
        let mut forecast = Forecast { targets };
        forecast.play_backlog(load, priority, cpu);
        forecast.play_arrivals(load, age, priority, cpu);
        forecast
    }

    fn play_backlog(&mut self, load: &Load, priority: u8, cpu: u32) {
        let mut ahead: Vec<_> = load
            .backlog
            .iter()
            .filter(|it| it.priority <= priority)
            .collect();
        ahead.sort_by_key(|it| it.priority);
        for waiting in ahead {
            if waiting.core_ms == 0 {
                continue;
            }
            let tasks = u64::from(waiting.tasks).clamp(1, MAX_PLAYED_TASKS);
            let core_ms = u64::from(waiting.core_ms) / tasks;
            let run_time =
                Duration::from_millis(core_ms * u64::from(MILLICORES) / u64::from(cpu.max(1)));
            self.play(tasks, cpu, run_time);
        }
    }

    /// Plays what has probably arrived since the summary was made. Otherwise all
    /// frontends count on the same room until the next heartbeat.
    fn play_arrivals(&mut self, load: &Load, age: Duration, priority: u8, cpu: u32) {
        let core_ms = load.arriving_cores(priority).saturating_mul(millis(age));
        let task_core_ms = u64::from(cpu) * ARRIVED_TASK_MS / u64::from(MILLICORES);
        let tasks = (core_ms / task_core_ms.max(1)).min(MAX_PLAYED_TASKS);
        if tasks == 0 {
            return;
        }
        let run_ms = core_ms * u64::from(MILLICORES) / u64::from(cpu.max(1)) / tasks;
        self.play(tasks, cpu, Duration::from_millis(run_ms));
    }

    fn play(&mut self, tasks: u64, cpu: u32, run_time: Duration) {
        for _ in 0..tasks {
            let Some(expected) = self.earliest_end(cpu, run_time) else {
                return;
            };
            self.place(expected, cpu);
        }
    }

    /// Place at which a task would end first, and of equal ones the tightest. `None`
    /// if the task fits on none of the targets.
    pub fn earliest_end(&self, cpu: u32, run_time: Duration) -> Option<Expected> {
        let targets = self.targets.iter().enumerate();
        let expected = targets.filter_map(|(index, it)| it.expect(index, cpu, run_time));
        expected.min_by_key(|it| (it.end_ms, it.leftover))
    }

    /// Adds a task at a place that this forecast returned.
    pub fn place(&mut self, expected: Expected, cpu: u32) {
        if let Some(target) = self.targets.get_mut(expected.target) {
            target.place(expected, cpu);
        }
    }
}

impl Target {
    fn expect(&self, index: usize, cpu: u32, run_time: Duration) -> Option<Expected> {
        let run_ms = millis(run_time.mul_f64(self.run_time_ratio));
        let at = |start_ms: u64, free: u32| Expected {
            target: index,
            start_ms,
            end_ms: start_ms.saturating_add(run_ms),
            leftover: free.saturating_sub(cpu),
        };
        let mut free = self.free;
        if free >= cpu {
            return Some(at(self.ready_ms, free));
        }
        for (end_ms, freed) in &self.openings {
            free = free.saturating_add(*freed);
            if free >= cpu {
                return Some(at(self.ready_ms.max(*end_ms), free));
            }
        }
        let later_ms = self.later_ms?;
        Some(at(self.ready_ms.max(later_ms), cpu))
    }

    fn place(&mut self, expected: Expected, cpu: u32) {
        let start_ms = expected.start_ms;
        let ended = self.openings.partition_point(|it| it.0 <= start_ms);
        let freed = self.openings.drain(..ended).map(|it| it.1);
        let free = freed.fold(self.free, u32::saturating_add);
        if free < cpu {
            self.later_ms = None;
        }
        self.free = free.saturating_sub(cpu);
        self.ready_ms = start_ms;
        let position = self.openings.partition_point(|it| it.0 <= expected.end_ms);
        self.openings.insert(position, (expected.end_ms, cpu));
    }
}
