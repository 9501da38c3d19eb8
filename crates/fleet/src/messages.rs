//! Parts of the messages between a frontend and the owners of targets: requests to
//! run tasks, their outcomes, loads and clock readings.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::clock;
use serde::{Deserialize, Serialize};

use crate::{Resources, TaskId, crash_history::Loss};

/// Reading of the clocks of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Monotonic time in milliseconds. It does not advance while the machine is
    /// suspended.
    pub monotonic_ms: u64,
    /// Wall time in Unix milliseconds. It may be adjusted.
    pub wall_ms: u64,
}

impl ClockReading {
    /// Current reading of the clocks of this instance.
    pub fn now() -> ClockReading {
        ClockReading {
            monotonic_ms: clock::now().as_nanos() / 1_000_000,
            wall_ms: clock::wall(),
        }
    }

    /// Expected reading after `elapsed`.
    pub fn after(self, elapsed: Duration) -> ClockReading {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        ClockReading {
            monotonic_ms: self.monotonic_ms.saturating_add(elapsed),
            wall_ms: self.wall_ms.saturating_add(elapsed),
        }
    }

    /// Whether more than `limit` has passed since this reading on either clock.
    pub fn is_older_than(self, limit: Duration) -> bool {
        let now = ClockReading::now();
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        now.monotonic_ms.saturating_sub(self.monotonic_ms) > limit
            || now.wall_ms.saturating_sub(self.wall_ms) > limit
    }
}

/// Request to run a task once, with what the owner needs to place it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Task.
    pub task: TaskId,
    /// Run number, which distinguishes repeated attempts of the task.
    pub run: u32,
    /// What to run, in a format that only the target interprets.
    pub spec: Rc<str>,
    /// Service whose targets may run the task.
    pub service: Rc<str>,
    /// Required resources.
    pub resources: Resources,
    /// Label that the target must have.
    pub constraint: Option<Rc<str>>,
    /// Rack that holds the data of the task.
    pub affinity: Option<Rc<str>>,
    /// Maximum number of tasks of the same step on one target; 0 for no limit.
    pub max_per_target: u16,
    /// Whether the task needs a target of its own, because it may crash it.
    pub exclusive: bool,
    /// Declared run time in milliseconds.
    pub estimate_ms: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time left until the job misses its latency goal, in milliseconds.
    pub goal_remaining_ms: u32,
    /// Maximum time until the start, in milliseconds from receipt.
    pub start_timeout_ms: u32,
    /// Short ids of the targets on which the task may run; empty for any. Tells
    /// the frontend where to search for the run if its owner is lost.
    pub eligible_targets: Rc<[u32]>,
    /// Incarnation of the owner that may execute the request. A later process at the
    /// same address doesn't know which runs that one has denied.
    pub owner_incarnation: u64,
    /// Time of sending on the clocks of the owner, as estimated by the frontend.
    pub sent_at: ClockReading,
    /// Address at which peers reach the frontend, which identifies it.
    pub front_address: SocketAddr,
}

/// Outcome of a run, as reported to the frontend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed on a target.
    Failed,
    /// The run is certainly over and did not succeed.
    Lost,
    /// The run is certainly over because its target was lost.
    TargetLost(Loss),
    /// The run certainly never started.
    NotStarted(NotStartedReason),
    /// Another claim replaced this request; the run continues.
    Superseded,
    /// The target has a new owner and may still execute the run.
    Moved {
        /// Id of the target.
        target: Rc<str>,
    },
}

/// Why a run never started.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// No capacity became free in time.
    #[display("no room in time")]
    StartTimeout,
    /// The run number was used before.
    #[display("run number already used")]
    RunNumberUsed,
    /// It did not become known in time whether the task had crashed targets.
    #[display("fate of lost targets unknown")]
    TargetFateUnknown,
    /// No target of this owner may run the task.
    #[display("no suitable target")]
    NoSuitableTarget,
    /// The target rejected the request as invalid.
    #[display("rejected as invalid")]
    RejectedByTarget,
    /// The frontend cancelled the request.
    #[display("cancelled")]
    Cancelled,
    /// The owner holds none of the eligible targets, or they are evacuated.
    #[display("owner has no usable target for it")]
    OwnerUnavailable,
}

impl Load {
    /// Waiting work with the same or a higher priority than `priority`, in
    /// core-milliseconds.
    pub fn backlog_ahead_of(&self, priority: u8) -> u64 {
        let entries = self.backlog.iter().filter(|it| it.0 <= priority);
        entries.map(|it| it.1).sum()
    }

    /// Adds waiting work of `priority`, in core-milliseconds.
    pub fn add_backlog(&mut self, priority: u8, core_ms: u64) {
        match self.backlog.iter_mut().find(|it| it.0 == priority) {
            Some(entry) => entry.1 = entry.1.saturating_add(core_ms),
            None => self.backlog.push((priority, core_ms)),
        }
    }
}

/// Load of the targets that an instance owns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Free cores of each owned target that accepts work from other instances.
    pub free_cores: Vec<u16>,
    /// Total cores of all owned targets that accept work.
    pub total_cores: u32,
    /// Waiting work by priority, in core-milliseconds.
    pub backlog: Vec<(u8, u64)>,
}
