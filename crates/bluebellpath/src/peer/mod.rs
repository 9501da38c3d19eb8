/*!
The other entry instances.

Datagrams carry heartbeats, connections carry requests that one instance
answers for another. Both pass through [`Link`], so that tests cut, delay and
replay them; [`net::Net`] is the one over real sockets. Heartbeats stay inside a
failure domain; requests for another domain go to any of its entry instances,
which passes them on.

All instances share a [`Key`]. A [`frame`] without its tag, from another
version, from a domain's stranger or from a replaced incarnation is counted in
the [`Traffic`] and dropped.
*/

mod config;
pub mod frame;
pub mod gossip;
mod heartbeat;
mod herald;
mod identity;
mod key;
mod link;
mod membership;
mod message;
pub mod net;
mod offline;
mod roster;
pub mod state;
mod traffic;

pub use config::Config;
pub use heartbeat::{Heartbeat, Load, Phase, Source, Suspect};
pub use identity::{Identity, Peer};
pub use key::{Key, TAG_BYTES};
pub use link::{Datagram, Error, Fault, Handler, Link, Step};
pub use membership::Membership;
pub use message::{Reply, Request};
pub use net::Net;
pub use offline::Offline;
pub use roster::Refusal;
pub use state::PeerState;
pub use traffic::Traffic;
