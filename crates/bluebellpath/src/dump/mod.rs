/*!
Dump of the tables of one process, on request.

Each table tells how many rows it has and shows at most as many as the request
allows, in a fixed order, so that a dump stays small under load.
*/

mod job;
mod peer;
mod state;
mod table;
mod target;

pub use job::Job;
pub use peer::Peer;
pub use state::State;
pub use table::Table;
pub use target::Target;
