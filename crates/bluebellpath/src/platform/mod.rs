/*!
Clients of the platform: a transactional table, an object store and an instance
list that lags behind.

Each is a trait with one method per request. An implementation makes a single
attempt and reports what is known of its effect. Retries, retry budgets and the
handling of lost answers are in [`guard`], where they are tested against fakes.

A write fails in one of two ways, which decide what may be reported later:
[`Fault::Refused`] certainly had no effect, [`Fault::Unknown`] may have had one.
*/

mod bytes;
mod error;
pub mod guard;
pub mod http;
mod instance;
mod object;
mod instance_cache;
mod table;

pub use error::{Error, Fault, Step};
pub use guard::Guarded;
pub use instance::{Changes, Instance, List, Role, State, Version};
pub use instance_cache::InstanceCache;
pub use object::Store;
pub use table::{Commit, Conflict, Expect, Item, Row, Table, Write};
