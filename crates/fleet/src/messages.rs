//! Parts of the messages between a frontend and the owners of targets: requests to
//! run tasks, their outcomes, loads and clock readings.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::clock;
use serde::{Deserialize, Serialize};

use crate::{
    Resources, TaskId,
    crash_history::{Fate, Loss},
    room::Room,
};

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

    /// Time since this reading, on the clock on which more has passed.
    pub fn age(self) -> Duration {
        let now = ClockReading::now();
        let monotonic_ms = now.monotonic_ms.saturating_sub(self.monotonic_ms);
        let wall_ms = now.wall_ms.saturating_sub(self.wall_ms);
        Duration::from_millis(monotonic_ms.max(wall_ms))
    }

    /// Whether more than `limit` has passed since this reading on either clock.
    pub fn is_older_than(self, limit: Duration) -> bool {
        self.age() > limit
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

impl RunRequest {
    /// Bytes that the request holds at its owner until it is answered.
    pub fn held_bytes(&self) -> usize {
        let text = |it: &Option<Rc<str>>| it.as_ref().map_or(0, |it| it.len());
        let texts = self.spec.len() + text(&self.constraint) + text(&self.affinity);
        size_of::<RunRequest>() + texts + size_of_val(&self.eligible_targets[..])
    }
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
    /// The run is over unless another owner has renewed its lease.
    Expired {
        /// Short id of the target.
        target: u32,
    },
    /// The run is certainly over because its target was lost.
    TargetLost(Loss),
    /// The run certainly never started.
    NotStarted(NotStartedReason),
    /// Another claim replaced this request; the run continues.
    Superseded,
    /// Another owner of the target may have the run.
    Moved {
        /// Short id of the target.
        target: u32,
    },
}

impl RunOutcome {
    /// Target that did not answer, if the owner has concluded the end of the run from
    /// the end of its lease. That is wrong if another owner has the target.
    pub fn silent_target(&self) -> Option<u32> {
        match self {
            RunOutcome::Expired { target } => Some(*target),
            RunOutcome::TargetLost(loss) => (loss.fate != Fate::Crashed).then_some(loss.target),
            _ => None,
        }
    }
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

/// Load of the targets that an instance owns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Room on the owned targets that accept work from other instances.
    pub room: Room,
    /// Total cores of all owned targets that accept work.
    pub total_cores: u32,
    /// Waiting work by priority.
    pub backlog: Vec<Waiting>,
}

/// Waiting tasks of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of tasks.
    pub tasks: u16,
    /// Work in core-milliseconds.
    pub core_ms: u32,
    /// Cores that are kept busy by the work of this priority that arrives.
    pub arriving_cores: u16,
}

impl Load {
    /// Waiting work with the same or a higher priority than `priority`, in
    /// core-milliseconds.
    pub fn backlog_ahead_of(&self, priority: u8) -> u64 {
        let entries = self.backlog.iter().filter(|it| it.priority <= priority);
        entries.map(|it| u64::from(it.core_ms)).sum()
    }

    /// Cores that arriving work with the same or a higher priority than `priority`
    /// keeps busy.
    pub fn arriving_cores(&self, priority: u8) -> u64 {
        let entries = self.backlog.iter().filter(|it| it.priority <= priority);
        entries.map(|it| u64::from(it.arriving_cores)).sum()
    }

    /// Adds a waiting task of `priority` with its work in core-milliseconds.
    pub fn add_backlog(&mut self, priority: u8, core_ms: u64) {
        let core_ms = u32::try_from(core_ms).unwrap_or(u32::MAX);
        let entry = self.waiting_mut(priority);
        entry.tasks = entry.tasks.saturating_add(1);
        entry.core_ms = entry.core_ms.saturating_add(core_ms);
    }

    /// Sets the cores that arriving work of `priority` keeps busy.
    pub fn set_arriving_cores(&mut self, priority: u8, cores: u16) {
        self.waiting_mut(priority).arriving_cores = cores;
    }

    fn waiting_mut(&mut self, priority: u8) -> &mut Waiting {
        let known = self.backlog.iter().position(|it| it.priority == priority);
        let index = known.unwrap_or_else(|| {
            self.backlog.push(Waiting {
                priority,
                ..Waiting::default()
            });
            self.backlog.len() - 1
        });
        &mut self.backlog[index]
    }
}
