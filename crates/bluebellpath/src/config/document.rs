//! The configuration document.

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

/// Whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the preset in force.
    pub preset: String,
    /// All presets.
    pub presets: Vec<Preset>,
    /// All teams.
    pub teams: Vec<Team>,
}

impl Default for Document {
    /// One team `default`, presets `ordinary`, `peak` and `maintenance`.
    fn default() -> Document {
        let preset = |name: &str, max_attempts, max_waiting, drain_ms| Preset {
            name: name.to_owned(),
            max_attempts,
            max_waiting,
            drain_ms,
        };
        Document {
            preset: "ordinary".to_owned(),
            presets: vec![
                preset("ordinary", 3, 100_000, 10_000),
                preset("peak", 2, 50_000, 10_000),
                preset("maintenance", 3, 100_000, 60_000),
            ],
            teams: vec![Team {
                name: "default".to_owned(),
                weight: 1,
                sustained_per_s: 100_000,
                burst: 100_000,
            }],
        }
    }
}
