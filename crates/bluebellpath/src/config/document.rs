//! The configuration document.

use serde::{Deserialize, Serialize};

use super::{Drain, Key, Kind, Limit, Preset, Retention, Team};

/// Complete configuration. Lists are sorted by name, so that equal contents have
/// equal digests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the preset in force.
    pub preset: String,
    /// All presets.
    pub presets: Vec<Preset>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Kinds of task with limits. Tasks of other kinds run as they declare.
    #[serde(default)]
    pub kinds: Vec<Kind>,
    /// Limits of targets, by failure domain.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Targets that receive no new tasks.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// Keys of operators and teams.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Retention times of records and history.
    #[serde(default)]
    pub retention: Retention,
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
                preset("maintenance", 3, 100_000, 60_000),
                preset("ordinary", 3, 100_000, 10_000),
                preset("peak", 2, 50_000, 10_000),
            ],
            teams: vec![Team {
                name: "default".to_owned(),
                weight: 1,
                sustained_per_s: 100_000,
                burst: 100_000,
            }],
            kinds: Vec::new(),
            limits: Vec::new(),
            drains: Vec::new(),
            keys: Vec::new(),
            retention: Retention::default(),
        }
    }
}

impl Document {
    /// Returns the document with sorted lists.
    pub fn sorted(mut self) -> Document {
        self.presets.sort_by(|a, b| a.name.cmp(&b.name));
        self.teams.sort_by(|a, b| a.name.cmp(&b.name));
        self.kinds.sort_by(|a, b| a.name.cmp(&b.name));
        self.limits.sort_by_key(|it| it.domain);
        self.drains.sort();
        self.keys.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// BLAKE3 digest of the content, in hexadecimal.
    pub fn digest(&self) -> String {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }

    /// Preset in force.
    pub fn preset(&self) -> Option<&Preset> {
        self.presets.iter().find(|it| it.name == self.preset)
    }

    /// Team named `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let index = self.teams.binary_search_by(|it| it.name.as_str().cmp(name));
        index.ok().map(|it| &self.teams[it])
    }

    /// Kind of task named `name`.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        let index = self.kinds.binary_search_by(|it| it.name.as_str().cmp(name));
        index.ok().map(|it| &self.kinds[it])
    }
}
