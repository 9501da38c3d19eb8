/*!
Choice of a target for a task.

Load pattern: tasks take about half of a target, so two fit in a small one and
three in a large one, and what is left over in between serves nobody. The
tightest fit keeps large holes whole. Long tasks go to fast targets, because on
a slow one they would miss their goal: a target counts only while the task can
end in time there, and where none can, the fastest does.
*/

use std::time::Duration;

use crate::Resources;

/// Target that could take a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Room left.
    pub free: Resources,
    /// Run time to expect there.
    pub expected_run_time: Duration,
    /// False while it has to prove itself after trouble.
    pub healthy: bool,
}

/// Best of `candidates` for a task that takes `need` and has `goal` left.
pub fn choose(
    need: Resources,
    goal: Duration,
    candidates: impl Iterator<Item = (usize, Candidate)>,
) -> Option<usize> {
    let fitting = candidates.filter(|(_, it)| need.fits(it.free));
    let best = fitting.min_by_key(|(_, it)| {
        let late = it.expected_run_time.saturating_sub(goal);
        let left = it.free.cpu - need.cpu;
        (!it.healthy, late, left, it.expected_run_time)
    });
    best.map(|it| it.0)
}
