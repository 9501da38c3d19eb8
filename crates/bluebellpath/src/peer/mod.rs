/*!
The other entry instances.

Datagrams carry heartbeats, connections carry requests that one instance
answers for another. Both pass through [`Link`], so that tests cut, delay and
replay them. Heartbeats stay inside a failure domain; requests for another
domain go to any of its entry instances, which passes them on.
*/

mod heartbeat;
mod link;
mod membership;
mod message;
mod offline;

pub use heartbeat::{Heartbeat, Load, Phase, Source, Suspect};
pub use link::{Datagram, Error, Fault, Handler, Link, Step};
pub use membership::{Config, Identity, Membership, Peer};
pub use message::{Reply, Request};
pub use offline::Offline;
