/*!
Targets, which run the tasks.

Targets check nothing: whoever sends the bytes of a start has started the task.
So the last step before those bytes go to the socket is a test of the
[`Fence`], and the errors of a start are of two kinds. [`Fault::NotStarted`]
is certain, and the only one after which another target may be tried. After
[`Fault::Unknown`] the task may be running.
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
