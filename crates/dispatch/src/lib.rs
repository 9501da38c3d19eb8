/*!
Which task goes to which target, and when.

A [`Dispatcher`] holds the jobs that wait at one entry instance and the slots
that this instance may use. It does no I/O: the entry instance tells it what
happens ([`Dispatcher::submit`], [`Dispatcher::finish`]) and asks it what to
start next ([`Dispatcher::next`]). Work waits here and not in a target's queue,
because here it can still be reordered and cancelled for nothing.
*/

mod assignment;
mod budget;
mod dispatcher;
mod estimate;
mod health;
mod inflow;
mod job;
mod ledger;
mod message;
mod policy;
mod pool;
mod queue;
mod refusal;
mod report;
mod target;
mod team;

pub use assignment::Assignment;
pub use dispatcher::Dispatcher;
pub use estimate::Sketch;
pub use health::Exclusion;
pub use job::{Dropped, Job, JobId, KindId, Task, TeamId};
pub use ledger::SlotLedger;
pub use message::{Acknowledgement, InstanceId, SlotStatus, TargetSlots, Transfer};
pub use policy::Policy;
pub use refusal::{Reason, Refusal};
pub use report::{Ending, NextStep, NotStarted, Report};
pub use target::{Target, TargetId};
pub use team::Team;
