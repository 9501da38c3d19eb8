/*!
What a regulator can be shown: one entry for each request.

Entries are appended to the [`Log`] of an incarnation when a request has its
answer, and written in batches to the object store. Each batch holds the hash
of the one before; the table holds a [`Mark`] with the hash of the last, and a
row for each job with its place. So nothing can be changed, removed or cut off
unnoticed in one of the two stores alone, and a job is found without a scan.

While the store is away entries wait within bounded memory; what does not fit is
declared as a [`Gap`]. What a crash takes with it shows as a chain that was not
closed. [`Reader`] reads and checks it all.
*/

mod batch;
mod buffer;
mod config;
mod entry;
mod log;
mod mark;
mod promise;
mod proof;
mod reader;
mod report;

pub use batch::{Batch, Gap, Hash, Head, Item};
pub use config::Config;
pub use entry::{Entry, Task, Times};
pub use log::Log;
pub use mark::Mark;
pub use promise::Promise;
pub use proof::{Facts, Finding, How, Proof, Right, Why};
pub use reader::{Found, Reader};
pub use report::{Flaw, Report};
