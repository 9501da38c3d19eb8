//! Peer in a dump.

use serde::{Deserialize, Serialize};

use crate::{job::Incarnation, peer::Phase};

/// Peer in a dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name in the instance list.
    pub name: String,
    /// Run of the peer.
    pub incarnation: Incarnation,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Configuration version that it acts under.
    pub config_version: u64,
}
