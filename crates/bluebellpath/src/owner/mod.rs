/*!
Ownership of jobs: which instance may start them.

A ticket names the only incarnation that may start its job. [`Tickets`] issues
tickets and tracks which ones were used, in bounded memory.

A key chosen by a caller belongs to a shard of its home domain, and a shard
belongs to the instance named in its [`lease`] row in the platform's table. The
holder claims keys with conditional inserts, many in one transaction. The
transaction also rewrites the lease rows of the shards concerned, each
conditional on its known version. A claim therefore takes effect only while its
instance still holds the shard, and a second claim of a key fails whoever makes
it. Leases decide which instance is asked; claim rows decide which instance may
start the job.

A transaction whose response is lost is sent again unchanged until the table
gives a definite answer. It can't take effect twice, because it rewrites the
lease rows it depends on. A lease row names the transaction that wrote it, so
the second answer tells whether the first attempt took effect.

Another instance takes a shard over when it has seen the same version of the
lease row for the whole lease duration on its own monotonic clock. No wall
clocks are compared. The only assumption is that the monotonic clocks of two
instances drift apart by less than the margin within one lease.

While the table can't be reached, a holder continues only as long as every other
instance of its domain extends the leases: each keeps copies of the holder's
claims and doesn't take its shards over. The right to start a job under such a
claim is checked against the monotonic clock immediately before the start. A
successor that can't find out what its predecessor claimed last answers
`unknown` for keys without a row.
*/

mod acquisition;
mod batch;
mod claim;
mod claimed_keys;
mod claims;
mod config;
mod expiry;
mod extension;
pub mod lease;
mod outage;
mod shards;
mod tenure;
mod tickets;
mod write_queue;
mod writer;

pub use claim::{Claim, ClaimRow, Grant, Lookup};
pub use claims::Claims;
pub use config::Config;
pub use extension::{ExtensionReply, ExtensionRequest, ReplicatedClaim, ShardLease};
pub use shards::Holder;
pub use tenure::TenureReport;
pub use tickets::{TicketState, Tickets};
