//! Content of one datagram.

use serde::{Deserialize, Serialize};

use super::{Heartbeat, Identity, Phase, frame};
use crate::job::Incarnation;

/// Maximum number of suspects in one heartbeat.
const MAX_SUSPECTS: usize = 32;

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Heartbeat of the sender.
    pub heartbeat: Heartbeat,
    /// Asks for a heartbeat in return.
    pub probe: bool,
    /// Recent changes of peers that the sender passes on.
    pub updates: Vec<PeerUpdate>,
    /// Times at which the sender last heard from some peers.
    pub relays: Vec<Relay>,
}

impl Gossip {
    /// Gossip without updates and relays; drops suspects from the end until it
    /// fits into a frame of `limit` bytes.
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

    /// Adds `update` if the frame stays within `limit` or half of the largest frame,
    /// whichever is more bytes.
    pub fn add_update(&mut self, update: PeerUpdate, limit: usize) {
        self.updates.push(update);
        if self.bytes() > limit.max(frame::MAX_BYTES / 2) {
            self.updates.pop();
        }
    }

    /// Bytes left in a frame of `limit` bytes.
    pub fn free_bytes(&self, limit: usize) -> usize {
        limit.saturating_sub(self.bytes())
    }

    fn bytes(&self) -> usize {
        let payload = postcard::to_stdvec(self);
        payload.map_or(usize::MAX, |it| it.len() + frame::OVERHEAD_BYTES)
    }
}

/// Report that a peer joined or changed its phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Identity of the peer.
    pub identity: Identity,
    /// Its phase.
    pub phase: Phase,
    /// Sequence number of the heartbeat that reported it.
    pub sequence: u64,
}

/// Time since the sender last heard from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Short id of the peer's incarnation.
    pub short_id: ShortId,
    /// Time since its last sign of life, in units of [`Relay::UNIT_MS`].
    pub age: u8,
}

impl Relay {
    /// Unit of ages in milliseconds.
    pub const UNIT_MS: u64 = 50;

    /// Encoded size in bytes.
    pub const BYTES: usize = 4;
}

/// Short id of an incarnation within its domain.
///
/// 24 bits: among 84 incarnations two share an id in about one of 4,800 domains.
/// The failure of one of the two is then noticed only by instances that probe it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortId([u8; 3]);

impl ShortId {
    /// Short id of `incarnation`.
    pub fn of(incarnation: Incarnation) -> ShortId {
        // Hashed because the low bits are mostly random and the high bits only the time.
        let hash = blake3::hash(&incarnation.to_u64().to_le_bytes());
        let bytes = hash.as_bytes();
        ShortId([bytes[0], bytes[1], bytes[2]])
    }
}
