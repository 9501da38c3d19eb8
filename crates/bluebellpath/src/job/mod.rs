/*!
Jobs as callers see them.

A job is a parallel batch of tasks with one deadline. Its [`Id`] decides which
instance may ever start it: a [`Ticket`] names the only incarnation that may, a
caller's own [`Key`] names a home domain, in which one owner may.

An [`Answer`] is whole or says why it is not: results of single tasks are handed
out only when every task completed. The third outcome, [`Outcome::Unknown`], is
for tasks that may or may not have run; it is never reported as not run.
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
