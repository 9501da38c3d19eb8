/*!
Targets with capacity: who owns them, and how tasks wait, are placed and are
refused.

Targets of this kind do not guard their room, so each has one owner among the
entry instances. The owner holds the target with a fencing token, renews the
lease of what runs there and is the only one to start tasks on it. The instance
that took a job from its caller, its front, splits it into tasks and hands each
to an owner.

* [`ownership`], [`fencing`]: who should own a target, and what shows it there.
* [`target_client`]: what a target is told, and what it answers.
* [`scheduler`]: the owner's side, from a waiting task to its end.
* [`frontend`]: the caller's side, from a job to its answer.
* [`node`]: one instance, put together from these.
* [`table_watch`]: how the platform's tables are followed.
* [`target_list`], [`config`]: the targets listed, and the queues in force.
* [`membership`]: the other instances, their load and whether they live.
* [`owner_selection`], [`backlog`], [`placement`], [`admission`], [`run_time`], [`circuit_breaker`], [`read_schedule`]: decisions
  without I/O.

Nothing here does I/O of its own: targets are met behind [`target_client::TargetClient`],
instances behind [`membership::Transport`] and the platform behind [`table_watch::Table`].
*/

pub mod admission;
pub mod target_list;
pub mod config;
pub mod fencing;
pub mod table_watch;
pub mod owner_selection;
pub mod frontend;
pub mod scheduler;
pub mod membership;
pub mod node;
pub mod target_client;
pub mod ownership;
mod injected_fault;
pub mod backlog;
mod resource;
pub mod placement;
pub mod run_time;
pub mod circuit_breaker;
mod target;
mod task;
pub mod read_schedule;
pub mod messages;

pub use injected_fault::InjectedFault;
pub use resource::Resources;
pub use target::Target;
pub use task::{JobId, ParseIdError, TaskId};
