//! Entry of the record.

use serde::{Deserialize, Serialize};

use super::{Facts, Proof};
use crate::job::{Answer, Id, Incarnation, Outcome};

/// What became of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whom the result was for.
    pub caller: String,
    /// Target that the task was handed to.
    pub target: Option<String>,
    /// What became of it.
    pub outcome: Outcome,
    /// Time from hand-over to reply, in microseconds.
    pub elapsed_us: Option<u64>,
}

/// Times of a request, as wall time in milliseconds since the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Times {
    /// Admission.
    pub submitted_ms: u64,
    /// Answer.
    pub answered_ms: u64,
    /// Time within which the answer was due, from admission.
    pub deadline_ms: u64,
}

/// What happened to one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Job.
    pub job: Id,
    /// Team that pays for the job.
    pub team: String,
    /// Instance that answered.
    pub instance: String,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// When.
    pub times: Times,
    /// What became of the job.
    pub outcome: Outcome,
    /// Why, for all but complete jobs.
    pub detail: Option<String>,
    /// What became of each task.
    pub tasks: Vec<Task>,
    /// Preset in force at admission.
    pub preset: String,
    /// Configuration version in force at admission.
    pub config_version: u64,
    /// Wall time since when that version could not be confirmed.
    pub unconfirmed_since: Option<u64>,
    /// What can be shown of each promise.
    pub proofs: Vec<Proof>,
}

impl Entry {
    /// Entry for a request of `team` that `incarnation` of `instance` answered.
    pub fn new(
        instance: &str,
        incarnation: Incarnation,
        team: &str,
        answer: &Answer,
        times: Times,
        facts: &Facts,
    ) -> Entry {
        let tasks = answer.parts.iter().map(|it| Task {
            caller: it.caller.clone(),
            target: it.target.clone(),
            outcome: it.outcome,
            elapsed_us: it.elapsed_us,
        });
        Entry {
            job: answer.id.clone(),
            team: team.to_owned(),
            instance: instance.to_owned(),
            incarnation,
            times,
            outcome: answer.outcome,
            detail: answer.detail.clone(),
            tasks: tasks.collect(),
            preset: answer.preset.clone(),
            config_version: answer.config_version,
            unconfirmed_since: facts.unconfirmed_since,
            proofs: Proof::all(answer, facts),
        }
    }
}
