/*!
Whole sessions under faults, from a seed.

A [`Case`] names one or two faults and a seed. [`session::run`] plays it: a fleet
of entry instances on the paused clock, submitters that submit, resubmit, cancel
and fetch, and the faults at seeded moments. What the submitters saw goes into a
[`History`]; when all is quiet, the [`check`]ers compare it with the log of what
the targets truly ran.

The same case plays the same way each time, so that a seed is a whole report of
a violation.
*/

mod case;
pub mod check;
mod fault;
mod history;
mod plan;
mod report;
pub mod session;
mod strike;
mod submitter;
mod sweep;

pub use case::Case;
pub use fault::Fault;
pub use history::{Ask, Got, History, Seen};
pub use plan::{Plan, Planned, Try, Way};
pub use report::{Outcomes, Report};
pub use sweep::Sweep;
