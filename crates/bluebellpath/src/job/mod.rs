/*!
Jobs: submissions, ids and answers.

A job is a batch of tasks that run in parallel under one deadline. Its [`Id`]
determines which instance may start it. A [`Ticket`] contains the only
incarnation that may start the job. A [`Key`], which the caller chooses, maps to
a home domain, where the owner of the key's shard may start the job.

An [`Answer`] contains the results of tasks only if all tasks completed.
Otherwise it says why the job is not complete. [`Outcome::Unknown`] is for tasks
that may or may not have run; such tasks are never reported as
[`Outcome::NotRun`].
*/

mod answer;
mod digest;
mod id;
mod incarnation;
mod key;
mod outcome;
mod reason;
mod submission;
mod task;
mod ticket;

pub use answer::{Answer, TaskAnswer};
pub use digest::Digest;
pub use id::{Id, ParseError};
pub use incarnation::Incarnation;
pub use key::Key;
pub use outcome::Outcome;
pub use reason::RefusalReason;
pub use submission::Submission;
pub use task::{TaskId, TaskSpec};
pub use ticket::Ticket;
