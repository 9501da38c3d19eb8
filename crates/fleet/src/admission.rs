/*!
Admission control for jobs, with the delay before a retry.

Under overload of some seconds, a job whose tasks would start too late takes
capacity from jobs that can still be served in time. It is therefore refused
when it arrives, before any of its tasks has run. The retry delay tells its
caller when the work ahead of it should be done.
*/

use std::time::Duration;

/// Shortest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Expected times of a job when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Expected wait until its last task starts.
    pub wait: Duration,
    /// Expected run time of its longest task.
    pub run_time: Duration,
    /// Time after which its answer is useless.
    pub time_limit: Duration,
}

/// Decision on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job can be served in time.
    Admit,
    /// The job would come too late; the caller may retry after this delay.
    Refuse(Duration),
}

/// Decides whether to admit a job.
pub fn decide(estimate: Estimate) -> Decision {
    if estimate.wait + estimate.run_time <= estimate.time_limit {
        return Decision::Admit;
    }
    let excess = (estimate.wait + estimate.run_time).saturating_sub(estimate.time_limit);
    Decision::Refuse(excess.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
}
