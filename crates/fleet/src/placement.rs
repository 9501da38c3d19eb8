/*!
Placement of a task on a target.

A task uses about half of a target, so two fit on a small target and three on a
large one, and the capacity left over is too small for another task. Best fit
preserves large blocks of free capacity. Long tasks go to fast targets because
they would miss their latency goal on a slow one: targets on which the task ends
in time are preferred, and if there are none, the fastest target is chosen.
*/

use std::time::Duration;

use crate::Resources;

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
