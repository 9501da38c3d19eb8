/*!
The platform: a transactional table, an object store, a lagging instance list.

Each is a trait with one method per request. An implementation makes one
attempt and reports what is known of it; retries, budgets and the handling of
lost answers stand above, where their policy can be tested against fakes.

A failed write is of one of two kinds, and the difference decides what may be
claimed later: [`Fault::Refused`] never took effect, [`Fault::Unknown`] may
have.
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
