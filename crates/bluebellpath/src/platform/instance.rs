//! List of live and leaving instances, which lags behind.

use std::net::SocketAddr;

use bluebellpath_runtime::LocalFuture;
use serde::{Deserialize, Serialize};

use super::Error;
use crate::settings::Domain;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry instance of this system.
    Entry,
    /// Target that runs tasks.
    Target,
}

/// State of an instance as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// Shutting down; takes no new work.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: String,
    /// Role.
    pub role: Role,
    /// State as the platform reports it.
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

/// Version of the list, used to request later changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Run of the list's service; versions of different runs aren't comparable.
    pub epoch: u64,
    /// Number within the run.
    pub number: u64,
}

/// Changes that concern the entry instances of one domain: targets of that
/// domain and entry instances of all domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version of the list after these changes.
    pub version: Version,
    /// True if `instances` is the full list instead of the changes.
    pub whole: bool,
    /// Instances that were added or changed.
    pub instances: Vec<Instance>,
    /// Names of removed instances.
    pub gone: Vec<String>,
}

/// Client of the instance list. Each call is one attempt.
pub trait List {
    /// All instances that the platform knows, as of some seconds ago.
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>>;

    /// Changes after `since` that concern `domain`; the full list if `since` is
    /// `None` or unknown to the service.
    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>>;
}
