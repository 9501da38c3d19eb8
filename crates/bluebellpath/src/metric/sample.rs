//! Values that are read when metrics are.

use crate::http::Usage;

/// Values that are read when metrics are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Jobs that are kept, answered ones included.
    pub jobs: u64,
    /// Tasks that wait.
    pub waiting: u64,
    /// Tasks that run.
    pub running: u64,
    /// Targets that are listed.
    pub targets: u64,
    /// Peers that were heard of lately.
    pub peers: u64,
    /// Leases of shards that are held.
    pub leases: u64,
    /// Record entries that are not written yet.
    pub unwritten: u64,
    /// Bytes of heartbeats sent so far.
    pub heartbeat_bytes: u64,
    /// Configuration version in force.
    pub config_version: u64,
    /// Milliseconds since it was last known to be the newest.
    pub config_age_ms: u64,
    /// Starts so far in the rack of the data.
    pub starts_near: u64,
    /// Starts so far outside the rack of the data.
    pub starts_far: u64,
    /// Starts so far after a wait for a better target.
    pub starts_waited: u64,
    /// Starts so far outside the rack of the data because it was busy.
    pub starts_spilled: u64,
    /// Failure domains in which an operator lets nothing start.
    pub evacuated_domains: u64,
    /// What callers hold, and what was refused them.
    pub callers: Usage,
}
