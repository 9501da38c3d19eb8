//! From a job's answer to its entry in the record.

use bluebellpath_runtime::clock;

use super::{job::Job, state::State};
use crate::record::{Entry, Facts, Times};

/// Enters the answer of `job` in the record.
pub(super) fn enter(state: &State, job: &Job) {
    let Some(answer) = job.given() else { return };
    let list_age = job.admitted.saturating_since(state.listed.get());
    let facts = Facts {
        right: job.right(),
        list_age_ms: list_age.as_millis() as u64,
        unconfirmed_since: job.view.unconfirmed_since,
    };
    let times = Times {
        submitted_ms: job.submitted_ms,
        answered_ms: clock::wall(),
        deadline_ms: job.submission.deadline_ms,
    };
    state.record.append(Entry::new(
        &state.config.name,
        state.config.incarnation,
        &job.submission.team,
        &answer,
        times,
        &facts,
    ));
}
