//! Work that a front hands to the owner of a target.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::clock;
use serde::{Deserialize, Serialize};

use crate::{Resources, TaskId};

/// Reading of an instance's clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Monotonic time in milliseconds, which stands still while a machine is
    /// suspended.
    pub monotonic_ms: u64,
    /// Wall time in milliseconds, which may be set.
    pub wall_ms: u64,
}

impl ClockReading {
    /// Reading of this instance's clocks now.
    pub fn now() -> ClockReading {
        ClockReading {
            monotonic_ms: clock::now().as_nanos() / 1_000_000,
            wall_ms: clock::wall(),
        }
    }

    /// Reading expected `elapsed` later.
    pub fn after(self, elapsed: Duration) -> ClockReading {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        ClockReading {
            monotonic_ms: self.monotonic_ms.saturating_add(elapsed),
            wall_ms: self.wall_ms.saturating_add(elapsed),
        }
    }

    /// True when `limit` has passed since, on one of the clocks.
    pub fn is_older_than(self, limit: Duration) -> bool {
        let now = ClockReading::now();
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        now.monotonic_ms.saturating_sub(self.monotonic_ms) > limit
            || now.wall_ms.saturating_sub(self.wall_ms) > limit
    }
}

/// One run of a task, with what its owner needs to place it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// What to run.
    pub spec: Rc<str>,
    /// Service whose targets may run it.
    pub service: Rc<str>,
    /// What it takes.
    pub resources: Resources,
    /// Label that the target must carry.
    pub constraint: Option<Rc<str>>,
    /// Rack that holds its data.
    pub affinity: Option<Rc<str>>,
    /// Most tasks of its step on one target, 0 for any number.
    pub max_per_target: u16,
    /// Declared run time in milliseconds.
    pub estimate_ms: u32,
    /// Priority, 0 first.
    pub priority: u8,
    /// Time left until its job is late, in milliseconds.
    pub goal_remaining_ms: u32,
    /// Longest wait for its start, in milliseconds from now.
    pub start_timeout_ms: u32,
    /// Tags of the targets on which it may run, any where there are none. Its
    /// front knows then where to look for it when its owner is lost.
    pub eligible_targets: Rc<[u32]>,
    /// Time of its sending on the owner's own clocks, as its front knows them.
    pub sent_at: ClockReading,
    /// Address of the front's own listener, which shows whose work it is.
    pub front_address: SocketAddr,
}

/// What a front learns of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed on a target.
    Failed,
    /// It is certainly over and has not done its work.
    Lost,
    /// It certainly never started.
    NotStarted(NotStartedReason),
    /// A later claim on it came first; the run goes on.
    Superseded,
    /// Its target has another owner now, and may still run it.
    Moved {
        /// Id of the target.
        target: Rc<str>,
    },
}

/// Why a run never started.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// No room came up in time.
    #[display("no room in time")]
    StartTimeout,
    /// The run number was used before.
    #[display("run number already used")]
    RunNumberUsed,
    /// No target here may run it.
    #[display("no suitable target")]
    NoSuitableTarget,
    /// The target rejected it as invalid.
    #[display("rejected as invalid")]
    RejectedByTarget,
    /// Its front took it back.
    #[display("taken back")]
    Cancelled,
    /// The owner holds none of its targets any more.
    #[display("owner has given its targets up")]
    OwnerUnavailable,
}

impl Load {
    /// Work that goes before or beside a task of `priority`, in
    /// core-milliseconds.
    pub fn backlog_ahead_of(&self, priority: u8) -> u64 {
        let ahead = self.backlog.iter().filter(|it| it.0 <= priority);
        ahead.map(|it| it.1).sum()
    }

    /// Adds work of `priority`, in core-milliseconds.
    pub fn add_backlog(&mut self, priority: u8, work: u64) {
        match self.backlog.iter_mut().find(|it| it.0 == priority) {
            Some(waiting) => waiting.1 = waiting.1.saturating_add(work),
            None => self.backlog.push((priority, work)),
        }
    }
}

/// Load of an instance's own targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Free processor of each owned target that takes work, in cores.
    pub free_cores: Vec<u16>,
    /// Processor of all owned targets that take work, in cores.
    pub total_cores: u32,
    /// Work that waits in core-milliseconds, by priority.
    pub backlog: Vec<(u8, u64)>,
}
