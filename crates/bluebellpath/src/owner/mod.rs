/*!
Ownership of jobs: which instance may start them.

A ticket names the only incarnation that may start its job; [`Tickets`] issues
them and knows which ones were used, in bounded memory.

A caller's own key belongs to a shard of its home domain, and a shard to the
instance that holds its [`lease`] row in the platform's table. The holder claims
keys with conditional inserts, many in one transaction, and the transaction
rewrites the lease rows of the shards concerned under their known versions. So a
claim takes effect only while its instance still holds the shard, and a second
claim of a key fails whoever makes it. Leases decide who is asked; claim rows
decide who may start.

A transaction whose answer is lost is sent again as it is until the table gives
a definite answer. It can't take effect twice, because it rewrites the lease
rows it depends on, and a lease row names the transaction that wrote it, so the
second answer tells which of the two happened.

Another instance takes a shard over when it has seen the same version of the
lease row for the whole lease on its own monotonic clock. No wall clocks are
compared: the assumption is only that monotonic clocks of two instances run
apart by less than the margin within one lease.

While the table can't be reached, a holder goes on only as long as every other
instance of its domain remembers its claims and promises not to take over; the
right to start under such a claim is tested against the monotonic clock at the
last step. A successor that can't account for its predecessor's last stretch
answers unknown for keys without a row.
*/

mod account;
mod batch;
mod claim;
mod claims;
mod config;
mod hold;
mod keeper;
mod known;
pub mod lease;
mod pending;
mod promise;
mod shards;
mod sweep;
mod tickets;
mod writer;

pub use account::TenureReport;
pub use claim::{Claim, ClaimRow, Grant, Lookup};
pub use claims::Claims;
pub use config::Config;
pub use promise::{ExtensionReply, ExtensionRequest, Held, Holding};
pub use shards::Holder;
pub use tickets::{TicketState, Tickets};
