/*!
Whether a job can be served in time, and when to come back if not.

Load pattern: more work than room, for seconds. A job whose tasks would start
too late to matter takes room from jobs that can still be served, so it is
refused at its arrival, before anything of it has run. Its caller is told the
time in which the work ahead of it will be done.
*/

use std::time::Duration;

/// Shortest time after which a caller is asked back.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// Longest time after which a caller is asked back.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// What is known of a job at its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Wait to expect before its last task starts.
    pub wait: Duration,
    /// Run time to expect of its longest task.
    pub run_time: Duration,
    /// Time after which its answer serves nobody.
    pub time_limit: Duration,
}

/// Decision on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Take it.
    Admit,
    /// It would come too late; room is expected after this time.
    Refuse(Duration),
}

/// Decides on a job.
pub fn decide(estimate: Estimate) -> Decision {
    if estimate.wait + estimate.run_time <= estimate.time_limit {
        return Decision::Admit;
    }
    let excess = (estimate.wait + estimate.run_time).saturating_sub(estimate.time_limit);
    Decision::Refuse(excess.clamp(MIN_RETRY, MAX_RETRY))
}
