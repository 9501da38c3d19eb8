//! Identity of entry instances.

use std::{net::SocketAddr, rc::Rc};

use bluebellpath_runtime::Instant;
use serde::{Deserialize, Serialize};

use super::Heartbeat;
use crate::{job::Incarnation, settings::Domain};

/// Identity of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name in the instance list.
    pub name: String,
    /// Incarnation, new with each start of the instance.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Domain,
    /// Address for datagrams and connections of peers.
    pub address: SocketAddr,
}

/// Another entry instance of the domain.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identity of the peer.
    pub identity: Identity,
    /// Its last heartbeat.
    pub heartbeat: Rc<Heartbeat>,
    /// Last sign of life, direct or relayed by another peer.
    pub heard: Instant,
}
