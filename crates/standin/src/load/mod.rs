/*!
Open-loop load over real sockets, and a check of what came of it.

[`run`] submits jobs at a steady rate to entry instances in turn, as a balancer
would, and writes one [`Line`] for each job. [`check`] compares those lines with
the runs that targets logged. Both are for soaks of separate processes; sessions
on the paused clock check the same with more faults.
*/

mod check;
mod client;
mod line;

pub use check::{Report, check};
pub use client::{Config, run};
pub use line::{Line, RunLine};
