//! Jobs as the dispatcher sees them.

use std::time::Duration;

use bluebellpath_runtime::Instant;

/// Job within one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Team within one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamId(pub u32);

/// Kind of task within one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);

/// Task that waits to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// Place in its job.
    pub index: u32,
    /// Kind of work.
    pub kind: KindId,
    /// Slots that it takes.
    pub size: u32,
    /// Run time that the caller declared.
    pub declared_run_time: Option<Duration>,
    /// May run twice without harm, so it may go to a target in doubt.
    pub idempotent: bool,
}

/// Job with its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Team that pays.
    pub team: TeamId,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Bytes of input that wait with it.
    pub input_bytes: u64,
    /// Tasks, all of which must run.
    pub tasks: Vec<Task>,
}

/// Task that will not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Job of the task.
    pub job: JobId,
    /// Place of the task in its job.
    pub task: u32,
}
