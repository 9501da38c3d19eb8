/*!
Assigns tasks to targets.

A [`Dispatcher`] holds the jobs that wait at one entry instance and the target
slots that this instance may use. It does no I/O: the entry instance reports what
happens ([`Dispatcher::submit`], [`Dispatcher::finish`]) and asks for the next task
to start ([`Dispatcher::next`]). Tasks wait here and not in a queue of the target,
because here they can still be reordered, and cancelled at no cost.

A [`SlotLedger`] shares the slots of targets with the other entry instances of the
failure domain.
*/

mod arrival_rate;
mod assignment;
mod budget;
mod dispatcher;
mod estimate;
mod health;
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
pub use estimate::Histogram;
pub use health::Exclusion;
pub use job::{Dropped, Job, JobId, KindId, Task, TeamId};
pub use ledger::SlotLedger;
pub use message::{Acknowledgement, InstanceId, SlotStatus, TargetSlots, Transfer};
pub use policy::Policy;
pub use refusal::{Reason, Refusal};
pub use report::{Ending, NextStep, NotStarted, Report};
pub use target::{Target, TargetId};
pub use team::Team;
