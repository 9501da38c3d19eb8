/*!
Speed of a target, learnt from the runs that ended there.

Targets were bought over years and differ by a factor of two and more, and a
slow spell multiplies that. The ratio of a run's time to its declared time,
averaged over its logarithm, tells a fast target from a slow one although single
declarations are far off.
*/

use std::time::Duration;

/// Weight of the newest observation once there are many.
const NEWEST: f64 = 0.15;

/// Weight of a target's being like all others, in observations.
const PRIOR: f64 = 2.0;

/// Bounds of one observation, as logarithms of the ratio.
const BOUND: f64 = 2.5;

/// Learnt ratio of run time to declared time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimator {
    mean: f64,
    seen: f64,
}

impl Estimator {
    /// Learns from a run that took `actual` where `declared` was declared.
    pub fn record(&mut self, declared: Duration, actual: Duration) {
        if declared.is_zero() || actual.is_zero() {
            return;
        }
        let ratio = (actual.as_secs_f64() / declared.as_secs_f64()).ln();
        self.seen += 1.0;
        let weight = (1.0 / (self.seen + PRIOR)).max(NEWEST);
        self.mean += weight * (ratio.clamp(-BOUND, BOUND) - self.mean);
    }

    /// Run time to expect where `declared` is declared.
    pub fn estimate(&self, declared: Duration) -> Duration {
        declared.mul_f64(self.mean.exp())
    }
}
