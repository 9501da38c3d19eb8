//! What decides where tasks go.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::Instant;

use crate::trace::Job;

/// Start of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// Job.
    pub job: usize,
    /// Task of the job.
    pub task: usize,
    /// Target.
    pub target: usize,
}

/// End of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a result.
    Complete,
    /// With a failure.
    Failed,
    /// Without an answer.
    Unknown,
    /// Stopped on request.
    Stopped,
    /// The target was full.
    Full,
    /// The target said that it is leaving.
    Leaving,
    /// The connection was refused.
    Unreachable,
}

/// What becomes of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It will be started again.
    Again,
    /// It is over.
    Over,
}

/// All entry instances of one domain.
pub trait Scheduler {
    /// Takes in a job, or refuses it.
    fn submit(&mut self, index: usize, job: &Rc<Job>, now: Instant) -> bool;

    /// Next task to start.
    fn next(&mut self, now: Instant) -> Option<Start>;

    /// Takes note of an end.
    fn end(&mut self, start: Start, end: End, elapsed: Duration, now: Instant) -> Verdict;

    /// Drops what waits of a job.
    fn cancel(&mut self, job: usize, now: Instant);

    /// True when a running task of a cancelled job is to be stopped.
    fn should_stop(&self, _start: Start, _now: Instant) -> bool {
        true
    }

    /// Does what is due and returns jobs that were given up.
    fn tick(&mut self, now: Instant) -> Vec<usize>;

    /// Next time at which something is due.
    fn wake(&self, now: Instant) -> Option<Instant>;

    /// Messages between instances beyond the regular ones.
    fn extra_messages(&self) -> u64 {
        0
    }
}
