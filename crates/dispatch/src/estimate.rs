/*!
Run times, learnt.

A [`Sketch`] is a histogram over steps of a quarter octave with its mean, in
fixed space. Times are nominal: what a target took, over its slowness. A
declaration counts only until there are observations of the team's kind, or of
the kind under any team.
*/

use std::{collections::HashMap, time::Duration};

use crate::{KindId, Task, TeamId};

/// Observations after which a sketch is believed.
const ENOUGH: u32 = 5;
/// Weight of the past in a mean, in observations.
const MEMORY: f64 = 200.0;
/// Observations at which a histogram is halved.
const FULL: u32 = 1_000;
/// Most sketches of teams; further teams use those of their kinds.
const MAX_SKETCHES: usize = 16_384;
const STEPS: usize = 64;
/// Shortest time that the histogram tells apart, in seconds.
const SHORTEST: f64 = 0.002;
/// Bounds within which a declaration is believed, in seconds.
const DECLARED: (f64, f64) = (0.02, 5.0);

/// Distribution of the run time of one kind, in fixed space.
#[derive(Clone)]
pub struct Sketch {
    counts: [u16; STEPS],
    total: u32,
    mean: f64,
}

impl Default for Sketch {
    /// Sketch without observations.
    fn default() -> Sketch {
        Sketch {
            counts: [0; STEPS],
            total: 0,
            mean: 0.0,
        }
    }
}

impl Sketch {
    /// Takes in a run time in seconds.
    pub fn observe(&mut self, seconds: f64) {
        let step = ((seconds / SHORTEST).max(1.0).log2() * 4.0) as usize;
        self.counts[step.min(STEPS - 1)] += 1;
        self.total += 1;
        let weight = 1.0 / f64::from(self.total).min(MEMORY);
        self.mean += weight * (seconds - self.mean);
        if self.total >= FULL {
            self.counts.iter_mut().for_each(|it| *it /= 2);
            self.total = self.counts.iter().map(|it| u32::from(*it)).sum();
        }
    }

    /// Mean in seconds; `None` until there are enough observations.
    pub fn mean(&self) -> Option<f64> {
        (self.total >= ENOUGH).then_some(self.mean)
    }

    /// Time in seconds that a part `q` of the observations stays within.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        if self.total < ENOUGH {
            return None;
        }
        let rank = (f64::from(self.total) * q).ceil() as u32;
        let mut seen = 0;
        let step = self.counts.iter().position(|it| {
            seen += u32::from(*it);
            seen >= rank
        });
        let step = step.unwrap_or(STEPS - 1);
        Some(SHORTEST * 2f64.powf((step as f64 + 1.0) / 4.0))
    }
}

/// What is expected of a task at nominal speed, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Expected {
    /// Mean.
    pub(crate) mean: f64,
    /// Time that few tasks exceed.
    pub(crate) long: f64,
    /// From observations and not from a declaration.
    pub(crate) learnt: bool,
}

/// Sketches by team and kind.
#[derive(Default)]
pub(crate) struct Estimates {
    by_team: HashMap<(TeamId, KindId), Sketch>,
    by_kind: HashMap<KindId, Sketch>,
}

impl Estimates {
    /// Takes in the nominal run time of a task in seconds.
    pub(crate) fn observe(&mut self, team: TeamId, kind: KindId, seconds: f64) {
        let known = self.by_team.contains_key(&(team, kind));
        if known || self.by_team.len() < MAX_SKETCHES {
            let sketch = self.by_team.entry((team, kind)).or_default();
            sketch.observe(seconds);
        }
        if self.by_kind.contains_key(&kind) || self.by_kind.len() < MAX_SKETCHES {
            self.by_kind.entry(kind).or_default().observe(seconds);
        }
    }

    /// What is expected of `task`.
    pub(crate) fn expected(&self, team: TeamId, task: &Task, default: Duration) -> Expected {
        let by_team = self.by_team.get(&(team, task.kind));
        let by_kind = self.by_kind.get(&task.kind);
        let learnt = by_team.filter(|it| it.mean().is_some()).or(by_kind);
        let mean = learnt.and_then(Sketch::mean);
        let long = learnt.and_then(|it| it.quantile(0.98));
        if let (Some(mean), Some(long)) = (mean, long) {
            let learnt = true;
            return Expected { mean, long, learnt };
        }
        let declared = task.declared_run_time.map(|it| it.as_secs_f64());
        let declared = declared.map(|it| it.clamp(DECLARED.0, DECLARED.1));
        let mean = declared.unwrap_or(default.as_secs_f64());
        // A declaration may be a tenth of the truth.
        let long = mean * 10.0;
        Expected {
            mean,
            long,
            learnt: false,
        }
    }
}
