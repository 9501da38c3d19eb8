//! Resources of targets and tasks.

use serde::{Deserialize, Serialize};

/// Amounts of each resource, required by a task or provided by a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpu: u32,
}

impl Resources {
    /// Whether each amount is at most that of `available`.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpu <= available.cpu
            && self.memory_mb <= available.memory_mb
            && self.gpu <= available.gpu
    }

    /// Sum of each amount, saturating at the numeric bounds.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Difference of each amount, saturating at zero.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}
