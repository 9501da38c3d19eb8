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

use crate::{owner_selection, room::Forecast};

/// Shortest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest retry delay of the highest priority, before it is spread.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Lowest priority with retry delays of its own; lower ones share them.
const LAST_RETRY_PRIORITY: u8 = 3;

/// Percentage of the expected wait that must fit into the goal of a job. The wait does
/// not contain what arrives meanwhile and goes first.
const WAIT_PERCENT: u32 = 200;

/// Expected times of a job when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Expected wait until its last task that needs no other starts.
    pub wait: Duration,
    /// Expected time until its last task ends.
    pub end: Duration,
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

/// Decides whether to admit a job.
pub fn decide(estimate: Estimate) -> Decision {
    let run_time = estimate.end.saturating_sub(estimate.wait);
    let end = estimate.wait * WAIT_PERCENT / 100 + run_time;
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
