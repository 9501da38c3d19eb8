//! What one datagram carries.

use serde::{Deserialize, Serialize};

use super::{Heartbeat, Identity, Phase, frame};
use crate::job::Incarnation;

/// Most suspects in one heartbeat.
const MAX_SUSPECTS: usize = 32;

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// What the sender says of itself.
    pub heartbeat: Heartbeat,
    /// Asks for a heartbeat in return.
    pub probe: bool,
    /// Peers that the sender has learned of lately.
    pub updates: Vec<PeerUpdate>,
    /// How lately the sender has heard of some peers.
    pub relays: Vec<Relay>,
}

impl Gossip {
    /// Gossip without news; suspects that do not fit into a frame of `limit`
    /// bytes are left out, the last ones first.
    pub fn new(heartbeat: Heartbeat, probe: bool, limit: usize) -> Gossip {
        let mut gossip = Gossip {
            heartbeat,
            probe,
            updates: Vec::new(),
            relays: Vec::new(),
        };
        gossip.heartbeat.suspects.truncate(MAX_SUSPECTS);
        while gossip.bytes() > limit && gossip.heartbeat.suspects.pop().is_some() {}
        gossip
    }

    /// Adds `news`, which may go beyond `limit` but never fill a frame.
    pub fn tell(&mut self, news: PeerUpdate, limit: usize) {
        self.updates.push(news);
        if self.bytes() > limit.max(frame::MAX_BYTES / 2) {
            self.updates.pop();
        }
    }

    /// Bytes left in a frame of `limit` bytes.
    pub fn room(&self, limit: usize) -> usize {
        limit.saturating_sub(self.bytes())
    }

    fn bytes(&self) -> usize {
        let payload = postcard::to_stdvec(self);
        payload.map_or(usize::MAX, |it| it.len() + frame::OVERHEAD_BYTES)
    }
}

/// Peer that came, or changed its phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
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
