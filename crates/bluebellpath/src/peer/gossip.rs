//! What one datagram carries.

use serde::{Deserialize, Serialize};

use super::{Heartbeat, Identity, Phase};
use crate::job::Incarnation;

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// What the sender says of itself.
    pub heartbeat: Heartbeat,
    /// Asks for a heartbeat in return.
    pub probe: bool,
    /// Peers that the sender has learned of lately.
    pub news: Vec<News>,
    /// How lately the sender has heard of some peers.
    pub relays: Vec<Relay>,
}

/// Peer that came, or changed its phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Who it is.
    pub identity: Identity,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Number of the heartbeat that said so.
    pub sequence: u64,
}

/// How lately a peer was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Which peer.
    pub tag: Tag,
    /// Time since its last sign of life, in units of [`Relay::UNIT_MS`].
    pub age: u8,
}

impl Relay {
    /// Unit of ages in milliseconds.
    pub const UNIT_MS: u64 = 50;

    /// Bytes on the wire.
    pub const BYTES: usize = 4;
}

/// Short name of an incarnation within its domain.
///
/// 24 bits: two of 84 incarnations share a tag once in about 4,800 domains, and
/// then one that has gone is noticed only by who probes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag([u8; 3]);

impl Tag {
    /// Tag of `incarnation`.
    pub fn of(incarnation: Incarnation) -> Tag {
        // The low bits hold little but chance, the high ones only the time.
        let hash = blake3::hash(&incarnation.to_u64().to_le_bytes());
        let bytes = hash.as_bytes();
        Tag([bytes[0], bytes[1], bytes[2]])
    }
}
