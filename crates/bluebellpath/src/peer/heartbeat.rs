//! Heartbeats between the entry instances of a failure domain.

use bluebellpath_dispatch::SlotStatus;
use serde::{Deserialize, Serialize};

use super::Identity;

/// Lifecycle phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not serving yet.
    Starting,
    /// Serving.
    Serving,
    /// Finishing its jobs; takes over nothing new.
    Draining,
    /// Stopped; reported in the last heartbeat of the sender.
    Left,
}

/// Work at an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
}

/// Slow or failing target that an instance avoids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Name of the target.
    pub target: String,
    /// Slowness relative to other targets, in thousandths; `u32::MAX` if it fails.
    pub slowness_permille: u32,
}

/// Status that an instance sends to the peers of its domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: Identity,
    /// Sequence number within the sender's incarnation, from 1.
    pub sequence: u64,
    /// Lifecycle phase of the sender.
    pub phase: Phase,
    /// Newest configuration version that the sender knows, in force or not; 0
    /// without one.
    pub config_version: u64,
    /// Wall time at which the last read of the configuration's head that found no
    /// newer version began, in milliseconds since the epoch.
    pub config_read_ms: Option<u64>,
    /// Work at the sender.
    pub load: Load,
    /// Targets that the sender avoids.
    pub suspects: Vec<Suspect>,
    /// Slots of targets held by the sender.
    pub credit: SlotStatus,
}

impl Heartbeat {
    /// Heartbeat of `from` with default values.
    pub fn new(from: Identity, sequence: u64) -> Heartbeat {
        Heartbeat {
            from,
            sequence,
            phase: Phase::Starting,
            config_version: 0,
            config_read_ms: None,
            load: Load::default(),
            suspects: Vec::new(),
            credit: SlotStatus::default(),
        }
    }
}

/// Provides the content of an instance's heartbeats.
pub trait Source {
    /// Sets all fields but the sender and the sequence number.
    fn fill(&self, heartbeat: &mut Heartbeat);
}
