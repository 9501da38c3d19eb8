//! Presets.

use serde::{Deserialize, Serialize};

/// Policies that go together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Name.
    pub name: String,
    /// Tries for a task that certainly never started.
    pub max_attempts: u32,
    /// Longest queue, in tasks.
    pub max_waiting: u32,
    /// Time that a planned stop may take, in milliseconds.
    pub drain_ms: u64,
}
