//! Entry instances as others know them.

use std::{net::SocketAddr, rc::Rc};

use bluebellpath_runtime::Instant;
use serde::{Deserialize, Serialize};

use super::Heartbeat;
use crate::{job::Incarnation, settings::Domain};

/// Who an entry instance is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name in the instance list.
    pub name: String,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Domain,
    /// Address for peers.
    pub address: SocketAddr,
}

/// Another entry instance of the domain.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// Its last heartbeat.
    pub heartbeat: Rc<Heartbeat>,
    /// Last sign of life, its own or as told by another peer.
    pub heard: Instant,
}
