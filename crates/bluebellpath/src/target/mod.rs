/*!
Targets, which run the tasks.

Targets don't check who may start a task: any instance that sends the bytes of a
start request has started the task. Therefore the [`Fence`] is checked as the
last step before those bytes go to the socket. The errors of a start are of two
kinds. [`Fault::NotStarted`] is certain; only then may another target be
tried. After [`Fault::Unknown`] the task may be running.
*/

mod client;
mod error;
mod fence;
pub mod http;
mod reply;
mod start;

pub use client::Client;
pub use error::{Error, Fault, Reason, Step};
pub use fence::{Fence, Lapsed, Open};
pub use http::Http;
pub use reply::{Reply, Status};
pub use start::Start;
