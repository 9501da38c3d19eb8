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

/// State of the list, to ask for what changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Run of the list's service; versions of two runs don't compare.
    pub epoch: u64,
    /// Number within the run.
    pub number: u64,
}

/// What an entry instance of one domain has to know: the targets of its domain
/// and the entry instances of all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// State of the list after these changes.
    pub version: Version,
    /// True when `instances` is all there is, and not what changed.
    pub whole: bool,
    /// Instances that came or changed.
    pub instances: Vec<Instance>,
    /// Names of instances that went.
    pub gone: Vec<String>,
}

/// Client of the instance list. Each call is one attempt.
pub trait List {
    /// All instances that the platform knows, as of some seconds ago.
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>>;

    /// What `domain` has to know and what changed of it after `since`; all of
    /// it without `since`, or when the list does not know that version.
    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>>;
}
