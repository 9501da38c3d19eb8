/*!
What a regulator can be shown: one entry for each request.

Entries are appended when a request has its answer, and written in batches to
the object store.
*/

mod entry;
mod log;

pub use entry::Entry;
pub use log::Log;
