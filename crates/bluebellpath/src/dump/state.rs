//! State of one process.

use serde::{Deserialize, Serialize};

use super::{Job, Peer, Table, Target};
use crate::{job::Incarnation, peer::Phase};

/// State of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Name in the instance list.
    pub instance: String,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Wall time of the dump, in milliseconds since the epoch.
    pub wall_ms: u64,
    /// Configuration version in force.
    pub config_version: u64,
    /// Preset in force.
    pub preset: String,
    /// Wall time since when the version can't be confirmed, in milliseconds
    /// since the epoch.
    pub unconfirmed_since: Option<u64>,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that run.
    pub running: usize,
    /// Record entries that are not written yet.
    pub unwritten: usize,
    /// Jobs, oldest first.
    pub jobs: Table<Job>,
    /// Targets by their numbers.
    pub targets: Table<Target>,
    /// Peers of the domain by name.
    pub peers: Table<Peer>,
    /// Shards whose lease this instance holds.
    pub shards: Table<u16>,
}
