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
    /// Index in its job.
    pub index: u32,
    /// Kind of work.
    pub kind: KindId,
    /// Number of slots that it occupies.
    pub size: u32,
    /// Run time that the caller declared.
    pub declared_run_time: Option<Duration>,
    /// May run twice without harm, so it may probe an excluded target.
    pub idempotent: bool,
}

/// Job with its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Team whose quota the job counts against.
    pub team: TeamId,
    /// Time after which the caller can't use the answer.
    pub deadline: Instant,
    /// Bytes of input kept while the job waits.
    pub input_bytes: u64,
    /// Tasks, all of which must run.
    pub tasks: Vec<Task>,
}

/// Task that will not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Job of the task.
    pub job: JobId,
    /// Index of the task in its job.
    pub task: u32,
}
