//! Named sets of policies.

use serde::{Deserialize, Serialize};

/// Named set of policies, of which one is in force at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Name.
    pub name: String,
    /// Maximum attempts for a task that certainly never started.
    pub max_attempts: u32,
    /// Maximum length of the queue, in tasks.
    pub max_waiting: u32,
    /// Longest duration of a planned stop, in milliseconds.
    pub drain_ms: u64,
}
