//! What a task takes of a target.

use serde::{Deserialize, Serialize};

/// Amounts of each resource, as a request or as a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Resources {
    /// True when each amount is at most that of `room`.
    pub fn fits(self, room: Resources) -> bool {
        self.cpu <= room.cpu && self.memory_mb <= room.memory_mb && self.gpu <= room.gpu
    }

    /// Sum of both, at most the largest number.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// What is left after `other` is taken, at least nothing.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}
