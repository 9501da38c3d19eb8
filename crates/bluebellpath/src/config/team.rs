//! Teams.

use serde::{Deserialize, Serialize};

/// Team that submits jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name used in submissions.
    pub name: String,
    /// Weight of the team in the fair sharing of slots.
    pub weight: u32,
    /// Sustained rate limit, in task starts per second.
    pub sustained_per_s: u32,
    /// Burst limit, in task starts.
    pub burst: u32,
}
