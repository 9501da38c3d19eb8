//! Entry of the record.

use serde::{Deserialize, Serialize};

use crate::job::{Id, Incarnation, Outcome};

/// What happened to one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Job.
    pub job: Id,
    /// Instance that answered.
    pub instance: String,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Wall time of admission, in milliseconds since the epoch.
    pub submitted_ms: u64,
    /// Wall time of the answer, in milliseconds since the epoch.
    pub answered_ms: u64,
    /// Time within which the answer was due, in milliseconds.
    pub deadline_ms: u64,
    /// What became of the job.
    pub outcome: Outcome,
    /// Preset in force at admission.
    pub preset: String,
    /// Configuration version in force at admission.
    pub config_version: u64,
    /// Wall time since when that version could not be confirmed.
    pub unconfirmed_since: Option<u64>,
}
