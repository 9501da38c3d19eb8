//! Parameters of the dispatcher's decisions.

use std::time::Duration;

/// Parameters of a [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Most tasks that may wait, 1 to 1,000,000.
    pub max_waiting: usize,
    /// Most bytes of input that may wait.
    pub max_input_bytes: u64,
    /// Longest time that a task may wait.
    pub max_wait: Duration,
    /// Run time assumed for a task without a declaration or observations.
    pub default_run_time: Duration,
    /// Number of attempts after which a task that never started is given up, 1 to
    /// 10.
    pub max_attempts: u32,
    /// Retries allowed per 1,000 first attempts, 0 to 1,000.
    pub retry_permille: u32,
    /// Seconds of earlier arrival that outweigh one second less of work when jobs
    /// are ranked, 0 (by arrival only) to 10.
    pub work_weight: f64,
    /// How readily a task waits for a faster target, 0 (never) to 2. At 1, a task
    /// waits if it is expected to end earlier that way.
    pub wait_factor: f64,
    /// Largest fraction of the targets that may be excluded at once, 0 to 1.
    pub max_excluded: f64,
    /// Fraction of the time to its deadline that a job over its team's quota may
    /// be expected to wait, 0.1 to 1. Beyond it, the job is refused.
    pub shed_threshold: f64,
    /// Remaining run time from which a task of a cancelled job is stopped. Below
    /// it, the task runs to its end and its result is discarded.
    pub min_remaining_to_stop: Duration,
}

impl Policy {
    /// Normal operation: short response times come first.
    pub const ORDINARY: Policy = Policy {
        max_waiting: 100_000,
        max_input_bytes: 64 * 1024 * 1024,
        max_wait: Duration::from_secs(60),
        default_run_time: Duration::from_millis(500),
        max_attempts: 3,
        retry_permille: 100,
        work_weight: 1.0,
        wait_factor: 0.8,
        max_excluded: 0.34,
        shed_threshold: 0.4,
        min_remaining_to_stop: Duration::from_millis(1500),
    };

    /// Peak load: earlier load shedding, fewer retries.
    pub const PEAK: Policy = Policy {
        max_waiting: 50_000,
        max_attempts: 2,
        retry_permille: 20,
        work_weight: 2.0,
        shed_threshold: 0.3,
        min_remaining_to_stop: Duration::from_millis(500),
        ..Policy::ORDINARY
    };

    /// Maintenance: targets join and leave often, so more of them may be excluded.
    pub const MAINTENANCE: Policy = Policy {
        retry_permille: 200,
        max_excluded: 0.5,
        ..Policy::ORDINARY
    };

    /// Policy of the preset `name`. Presets that operators define use
    /// [`Policy::ORDINARY`].
    pub fn of_preset(name: &str) -> Policy {
        match name {
            "peak" => Policy::PEAK,
            "maintenance" => Policy::MAINTENANCE,
            _ => Policy::ORDINARY,
        }
    }
}

impl Default for Policy {
    /// [`Policy::ORDINARY`].
    fn default() -> Policy {
        Policy::ORDINARY
    }
}
