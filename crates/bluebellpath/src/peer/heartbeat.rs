//! What entry instances of a domain tell each other all the time.

use bluebellpath_dispatch::SlotStatus;
use serde::{Deserialize, Serialize};

use super::Identity;

/// Where an instance stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not serving yet.
    Starting,
    /// Serving.
    Serving,
    /// Finishing what it has; takes nothing new over.
    Draining,
    /// Stopped; the sender's last word.
    Left,
}

/// Work at an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
}

/// Target that an instance has reason to avoid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Name of the target.
    pub target: String,
    /// Slowness against its peers, in thousandths; `u32::MAX` when it fails.
    pub slowness_permille: u32,
}

/// What an instance tells its domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: Identity,
    /// Number within the sender's incarnation, from 1.
    pub sequence: u64,
    /// Where the sender stands in its life.
    pub phase: Phase,
    /// Newest configuration version that the sender knows, in force or not; 0
    /// without one.
    pub config_version: u64,
    /// Wall time at which the last reading of the configuration's head began
    /// that showed no newer version, in milliseconds since the epoch.
    pub config_read_ms: Option<u64>,
    /// Work at the sender.
    pub load: Load,
    /// Targets that the sender has found reason to avoid.
    pub suspects: Vec<Suspect>,
    /// Slots of targets that the sender holds.
    pub credit: SlotStatus,
}

impl Heartbeat {
    /// Heartbeat that says nothing but that `from` is there.
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

/// Fills in what an instance tells in its heartbeats.
pub trait Source {
    /// Fills in all but the sender and the sequence.
    fn fill(&self, heartbeat: &mut Heartbeat);
}
