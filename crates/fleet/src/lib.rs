/*!
Targets with capacity: who owns them, and how tasks wait, are placed and are
refused.

Targets of this kind do not limit their own load, so each has one owner among
the entry instances. The owner holds the target with a fencing token, renews the
leases of its runs and is the only one to start tasks on it. The instance that
takes a job from a caller is the frontend of the job, `front` in settings and
logs. It splits the job into tasks and sends each to an owner.

* [`ownership`], [`fencing`], [`identity`]: which instance should own a target, and
  the token that proves it to the target.
* [`target_client`]: requests to a target, and its replies.
* [`scheduler`]: the owner's side, from a waiting task to its end.
* [`frontend`]: the caller's side, from a job to its answer.
* [`node`]: one instance, assembled from these.
* [`table_watch`]: watches on the platform's tables.
* [`target_list`], [`config`]: the listed targets, and the queues in force.
* [`evacuation`]: the failure domains in which nothing may start.
* [`crash_history`]: the tasks that were running on targets which were lost.
* [`orphans`]: the runs that no frontend waits for.
* [`membership`]: the other instances, their load and whether they are alive.
* [`owner_selection`], [`backlog`], [`reservation`], [`placement`], [`forecast`],
  [`room`], [`active_services`], [`admission`], [`run_time`], [`circuit_breaker`],
  [`overdue`], [`takeover`], [`permission`], [`lost_answers`], [`read_schedule`]: decisions without I/O.

This crate does no I/O of its own: it reaches targets through
[`target_client::TargetClient`], instances through [`membership::Transport`] and the
platform through [`table_watch::Table`].
*/

pub mod active_services;
pub mod admission;
pub mod evacuation;
pub mod target_list;
pub mod config;
pub mod crash_history;
pub mod orphans;
pub mod fencing;
pub mod identity;
pub mod table_watch;
pub mod forecast;
pub mod lost_answers;
pub mod room;
pub mod owner_selection;
pub mod takeover;
pub mod frontend;
pub mod scheduler;
pub mod membership;
pub mod node;
pub mod target_client;
pub mod ownership;
pub mod permission;
mod injected_fault;
pub mod backlog;
pub mod overdue;
pub mod reservation;
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
