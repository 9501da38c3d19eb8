/*!
Run time estimates for a target, learned from the runs that ended there.

Targets were bought over several years and differ in speed by a factor of two or
more; temporary slowdowns multiply that. The estimator averages the logarithm of
the ratio of actual to declared run time. This separates fast targets from slow
ones although individual declarations are far off.
*/

use std::time::Duration;

/// Lower bound on the weight of a new observation, reached after many of them.
const MIN_WEIGHT: f64 = 0.15;

/// Weight of the initial assumption that declared run times are correct, in
/// observations.
const PRIOR_OBSERVATIONS: f64 = 2.0;

/// Lower bound on the weight of a new observation in the long-term ratio. One job may
/// bring several runs that take seven times as long; with the weight above they make
/// equal targets appear to differ by more than 1.5.
const MIN_LONG_TERM_WEIGHT: f64 = 0.02;

/// Observations from which the long-term ratio is known. Errors of fewer declared run
/// times do not cancel out.
const MIN_LONG_TERM_OBSERVATIONS: f64 = 30.0;

/// Largest absolute value of one observation, the logarithm of a ratio.
const MAX_LOG_RATIO: f64 = 2.5;

/// Estimates run times from the learned ratio of actual to declared run time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimator {
    mean_log_ratio: f64,
    long_term_log_ratio: f64,
    observations: f64,
}

impl Estimator {
    /// Records a run with declared run time `declared` that took `actual`.
    pub fn record(&mut self, declared: Duration, actual: Duration) {
        if declared.is_zero() || actual.is_zero() {
            return;
        }
        let log_ratio = (actual.as_secs_f64() / declared.as_secs_f64()).ln();
        self.observations += 1.0;
        let log_ratio = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let weight = 1.0 / (self.observations + PRIOR_OBSERVATIONS);
        self.mean_log_ratio += weight.max(MIN_WEIGHT) * (log_ratio - self.mean_log_ratio);
        self.long_term_log_ratio +=
            weight.max(MIN_LONG_TERM_WEIGHT) * (log_ratio - self.long_term_log_ratio);
    }

    /// Estimated run time of a task with declared run time `declared`.
    pub fn estimate(&self, declared: Duration) -> Duration {
        declared.mul_f64(self.ratio())
    }

    /// Expected ratio of actual to declared run time.
    pub fn ratio(&self) -> f64 {
        self.mean_log_ratio.exp()
    }

    /// Ratio of actual to declared run time over many runs, which is a property of the
    /// target. `None` until enough runs ended.
    pub fn long_term_ratio(&self) -> Option<f64> {
        (self.observations >= MIN_LONG_TERM_OBSERVATIONS).then(|| self.long_term_log_ratio.exp())
    }
}
