/*!
Stand-ins for all that is not this project: the platform, the targets, the
network between entry instances.

The types of this crate implement the library's traits in memory, with faults
that a test switches on and off. The same types behind [`serve`] answer over
HTTP, for daemons as separate processes. No crate of the product depends on this
one but for the demonstration and for tests.
*/

mod dice;
mod fault;
mod feed;
mod fleet;
mod gate;
mod identities;
mod instances;
mod mesh;
mod network;
mod objects;
pub mod load;
pub mod serve;
mod table;
mod targets;
mod yard;

pub use fault::Faults;
pub use feed::Feed;
pub use fleet::{Fleet, Layout, Member};
pub use gate::Gate;
pub use identities::Identities;
pub use instances::Instances;
pub use mesh::Mesh;
pub use network::{Network, Node};
pub use objects::Objects;
pub use table::Table;
pub use targets::{Behaviour, Run, Targets, Trouble, Work};
pub use yard::{Cut, Mishap, Yard};
