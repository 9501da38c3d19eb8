/*!
Communication between entry instances.

Heartbeats travel as datagrams, requests and replies over connections. Both go
through the [`Link`] trait, so that tests can cut, delay and replay them;
[`net::Net`] implements it with real sockets. Heartbeats stay within a failure
domain. A request for another domain goes to any of its entry instances, which
forwards it.

All instances share a [`Key`]. A [`frame`] is dropped and counted in [`Traffic`]
if its tag is wrong, if it has another protocol version, or if it comes from
another domain or from a replaced incarnation.
*/

mod config;
pub mod frame;
pub mod gossip;
mod heartbeat;
mod gossip_schedule;
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

pub use bluebellpath_fleet::permission::Contact;
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
