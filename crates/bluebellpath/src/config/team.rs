//! Teams.

use serde::{Deserialize, Serialize};

/// Team that submits jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, as submissions give it.
    pub name: String,
    /// Share of the slots against other teams.
    pub weight: u32,
    /// Task starts a second that the team may sustain.
    pub sustained_per_s: u32,
    /// Task starts that the team may make at once.
    pub burst: u32,
}
