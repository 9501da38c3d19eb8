/*!
Estimates of run times, learnt from completed tasks.

A [`Histogram`] has buckets of a quarter octave and a mean, in constant space.
Times are nominal: the run time on a target divided by the target's slowness. A
declared run time counts only until there are observations of the kind from the
same team, or of the kind from any team.
*/

use std::{collections::HashMap, time::Duration};

use crate::{KindId, Task, TeamId};

/// Number of observations from which a histogram is used.
const MIN_OBSERVATIONS: u32 = 5;
/// Number of observations over which the mean is averaged.
const MEAN_WINDOW: f64 = 200.0;
/// Number of observations at which the counts of a histogram are halved.
const MAX_OBSERVATIONS: u32 = 1_000;
/// Most histograms by team and kind; further teams use those of the kind.
const MAX_HISTOGRAMS: usize = 16_384;
const BUCKETS: usize = 64;
/// Lower bound of the first bucket, in seconds.
const MIN_SECONDS: f64 = 0.002;
/// Bounds to which a declared run time is clamped, in seconds.
const DECLARED_BOUNDS: (f64, f64) = (0.02, 5.0);

/// Distribution of the run times of one kind, in constant space.
#[derive(Clone)]
pub struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
    mean: f64,
}

impl Default for Histogram {
    /// Histogram without observations.
    fn default() -> Histogram {
        Histogram {
            counts: [0; BUCKETS],
            total: 0,
            mean: 0.0,
        }
    }
}

impl Histogram {
    /// Adds a run time in seconds.
    pub fn observe(&mut self, seconds: f64) {
        let bucket = ((seconds / MIN_SECONDS).max(1.0).log2() * 4.0) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        let weight = 1.0 / f64::from(self.total).min(MEAN_WINDOW);
        self.mean += weight * (seconds - self.mean);
        if self.total >= MAX_OBSERVATIONS {
            self.counts.iter_mut().for_each(|it| *it /= 2);
            self.total = self.counts.iter().map(|it| u32::from(*it)).sum();
        }
    }

    /// Mean in seconds; `None` until there are enough observations.
    pub fn mean(&self) -> Option<f64> {
        (self.total >= MIN_OBSERVATIONS).then_some(self.mean)
    }

    /// Time in seconds that the fraction `q` of the observations doesn't exceed;
    /// `None` until there are enough observations.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        let rank = (f64::from(self.total) * q).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|it| {
            seen += u32::from(*it);
            seen >= rank
        });
        let bucket = bucket.unwrap_or(BUCKETS - 1);
        Some(MIN_SECONDS * 2f64.powf((bucket as f64 + 1.0) / 4.0))
    }
}

/// Estimated run time of a task at nominal speed, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Mean.
    pub(crate) mean: f64,
    /// Time that few tasks exceed.
    pub(crate) high: f64,
    /// From observations, not from a declared or default run time.
    pub(crate) measured: bool,
}

/// Histograms by team and kind.
#[derive(Default)]
pub(crate) struct Estimates {
    by_team: HashMap<(TeamId, KindId), Histogram>,
    by_kind: HashMap<KindId, Histogram>,
}

impl Estimates {
    /// Adds the nominal run time of a task, in seconds.
    pub(crate) fn observe(&mut self, team: TeamId, kind: KindId, seconds: f64) {
        let known = self.by_team.contains_key(&(team, kind));
        if known || self.by_team.len() < MAX_HISTOGRAMS {
            let histogram = self.by_team.entry((team, kind)).or_default();
            histogram.observe(seconds);
        }
        if self.by_kind.contains_key(&kind) || self.by_kind.len() < MAX_HISTOGRAMS {
            self.by_kind.entry(kind).or_default().observe(seconds);
        }
    }

    /// Estimates the run time of `task`.
    pub(crate) fn estimate(&self, team: TeamId, task: &Task, default: Duration) -> Estimate {
        let by_team = self.by_team.get(&(team, task.kind));
        let by_kind = self.by_kind.get(&task.kind);
        let histogram = by_team.filter(|it| it.mean().is_some()).or(by_kind);
        let mean = histogram.and_then(Histogram::mean);
        let high = histogram.and_then(|it| it.quantile(0.98));
        if let (Some(mean), Some(high)) = (mean, high) {
            let measured = true;
            return Estimate {
                mean,
                high,
                measured,
            };
        }
        let declared = task.declared_run_time.map(|it| it.as_secs_f64());
        let declared = declared.map(|it| it.clamp(DECLARED_BOUNDS.0, DECLARED_BOUNDS.1));
        let mean = declared.unwrap_or(default.as_secs_f64());
        // The real run time may be ten times the declared one.
        let high = mean * 10.0;
        Estimate {
            mean,
            high,
            measured: false,
        }
    }
}
