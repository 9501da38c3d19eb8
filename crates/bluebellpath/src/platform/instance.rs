//! Lagging list of live and leaving instances.

use std::net::SocketAddr;

use bluebellpath_runtime::LocalFuture;
use serde::{Deserialize, Serialize};

use super::Error;
use crate::settings::Domain;

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry instance of this system.
    Entry,
    /// Target that runs tasks.
    Target,
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to go; takes no new work.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// What the platform says of it.
    pub state: State,
    /// Failure domain.
    pub domain: Domain,
    /// Rack within the domain.
    pub rack: u32,
    /// Address of its service: HTTP for targets, peers' port for entries.
    pub address: SocketAddr,
    /// Tasks that run at once; targets only.
    pub slots: u32,
    /// Connections that it accepts; targets only.
    pub connections: u32,
}

/// Client of the instance list. Each call is one attempt.
pub trait List {
    /// All instances that the platform knows, as of some seconds ago.
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>>;
}
