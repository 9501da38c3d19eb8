/*!
Admission control for jobs, with the delay before a retry.

Under overload of some seconds, a job whose tasks end too late takes capacity from
jobs that can still be served in time. It is therefore refused when it arrives,
before any of its tasks has run. [`expect`] estimates the end of the job from the
room of all owners; a job whose tasks can all start now is always admitted, because
refusing it would leave targets idle. The retry delay tells its caller when the work
ahead of it should be done.
*/

use std::time::Duration;

use crate::{messages::Load, owner_selection, room::Forecast};

/// Shortest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest retry delay of the highest priority, before it is spread.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Lowest priority with retry delays of its own; lower ones share them.
const LAST_RETRY_PRIORITY: u8 = 3;

/// Percentages of the expected wait and run time that must fit into the goal of a job
/// while nothing overtakes it. With 300 and 140, less than a fifth of the most urgent
/// jobs were served at three times the load, and a third with these.
const WAIT_PERCENT: u32 = 230;
const RUN_PERCENT: u32 = 110;

/// Percentages added for a job that is overtaken under full load. Declared run times are
/// off by 40 %; the wait doesn't contain what arrives meanwhile. Without them, 345
/// targets served 879 jobs/s in time at three times the load and 1,050 at twice.
const OVERTAKEN_WAIT_PERCENT: u32 = 70;
const OVERTAKEN_RUN_PERCENT: u32 = 30;

/// Shares of the cores that arriving work keeps busy, in thousandths, between which the
/// additions grow from nothing to all. Half of all pairs don't fit on one target, so
/// targets are full at about 750. Additions at any load cost half of the jobs of the
/// lowest priority already at 500.
const BUSY_FROM_PERMILLE: u64 = 500;
const BUSY_TO_PERMILLE: u64 = 750;

/// Expected times of a job when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Expected wait until its last task that needs no other starts.
    pub wait: Duration,
    /// Expected time until its last task ends.
    pub end: Duration,
    /// Risk that arriving work of a higher priority overtakes the job, in thousandths.
    pub overtaking_permille: u32,
    /// Time after which its answer is too late.
    pub time_limit: Duration,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Number that differs between jobs.
    pub spread: u64,
}

/// Step of a job as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct StepDemand<'a> {
    /// Number of tasks.
    pub tasks: u16,
    /// Processor of each task, in millicores.
    pub cpu: u32,
    /// Declared run time of a task.
    pub run_time: Duration,
    /// Indexes of the steps that must complete before.
    pub dependencies: &'a [usize],
}

/// Decision on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job can be served in time.
    Admit,
    /// The job would come too late; the caller may retry after this delay.
    Refuse(Duration),
}

/// Expected wait until the last task without dependencies starts, and expected end of
/// the job. `None` if one of these tasks fits nowhere.
///
/// Later steps are expected to start without a wait.
pub fn expect(steps: &[StepDemand<'_>], owners: &mut [Forecast]) -> Option<(Duration, Duration)> {
    let mut wait_ms = 0;
    let mut step_ends = vec![Duration::ZERO; steps.len()];
    for (number, step) in steps.iter().enumerate() {
        if !step.dependencies.is_empty() {
            continue;
        }
        for _ in 0..step.tasks {
            let places = owners.iter().enumerate();
            let places = places
                .filter_map(|(owner, it)| Some((owner, it.earliest_end(step.cpu, step.run_time)?)));
            let (owner, place) = places.min_by_key(|it| (it.1.end_ms, it.1.leftover))?;
            owners[owner].place(place, step.cpu);
            wait_ms = wait_ms.max(place.start_ms);
            step_ends[number] = step_ends[number].max(Duration::from_millis(place.end_ms));
        }
    }
    // A path through the steps has at most as many of them as there are.
    for _ in steps {
        let before = step_ends.clone();
        for (number, step) in steps.iter().enumerate() {
            let ready = step
                .dependencies
                .iter()
                .filter_map(|it| before.get(*it))
                .max();
            if let Some(ready) = ready {
                step_ends[number] = *ready + step.run_time;
            }
        }
        if before == step_ends {
            break;
        }
    }
    let end = step_ends.into_iter().max().unwrap_or_default();
    Some((Duration::from_millis(wait_ms), end))
}

/// Risk in thousandths that arriving work overtakes a job of `priority`.
pub fn overtaking_permille<'a>(priority: u8, loads: impl Iterator<Item = &'a Load>) -> u32 {
    let (mut cores, mut busy, mut overtaking) = (0, 0, false);
    for load in loads {
        cores += u64::from(load.total_cores);
        busy += load.arriving_cores(u8::MAX);
        overtaking |= load.has_arrivals_ahead_of(priority);
    }
    if !overtaking {
        return 0;
    }
    let busy_permille = (busy * 1_000 / cores.max(1)).clamp(BUSY_FROM_PERMILLE, BUSY_TO_PERMILLE);
    let range = BUSY_TO_PERMILLE - BUSY_FROM_PERMILLE;
    u32::try_from((busy_permille - BUSY_FROM_PERMILLE) * 1_000 / range).unwrap_or(1_000)
}

/// Decides whether to admit a job.
pub fn decide(estimate: Estimate) -> Decision {
    let run_time = estimate.end.saturating_sub(estimate.wait);
    let added = |percent: u32| percent * estimate.overtaking_permille / 1_000;
    let wait_percent = WAIT_PERCENT + added(OVERTAKEN_WAIT_PERCENT);
    let run_percent = RUN_PERCENT + added(OVERTAKEN_RUN_PERCENT);
    let end = (estimate.wait * wait_percent + run_time * run_percent) / 100;
    if estimate.wait.is_zero() || end <= estimate.time_limit {
        return Decision::Admit;
    }
    let excess = end.saturating_sub(estimate.time_limit);
    Decision::Refuse(retry_delay(excess, estimate.priority, estimate.spread))
}

/// Delay after which the caller of a refused job may retry, if room for the job is
/// expected after `room_in`.
///
/// The jobs of one priority return spread over half of that time, so that those
/// refused at the same moment don't return together, and those of the next priority
/// after them.
pub fn retry_delay(room_in: Duration, priority: u8, spread: u64) -> Duration {
    let earliest = room_in.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let window = earliest / 2;
    let before = window * u32::from(priority.min(LAST_RETRY_PRIORITY));
    let permille = u32::try_from(owner_selection::mix(spread) % 1_000).unwrap_or_default();
    earliest + before + window * permille / 1_000
}
