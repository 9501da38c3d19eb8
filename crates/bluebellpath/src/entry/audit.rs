//! Audit record entries for answers.

use bluebellpath_runtime::clock;

use super::{job::Job, state::State};
use crate::{
    job::{Answer, Submission},
    record::{Entry, Facts, Right, Times},
};

/// Appends the answer to `job` to the record.
pub(super) fn record_answer(state: &State, job: &Job) {
    let Some(answer) = job.answer() else { return };
    let facts = Facts {
        right: job.start_right(),
        list_age_ms: job.max_list_age.get().as_millis() as u64,
        unconfirmed_since: job.config_view.unconfirmed_since,
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

/// Appends an answer about a job that this instance has no state for.
pub(super) fn record_untracked(
    state: &State,
    answer: &Answer,
    submission: Option<&Submission>,
    unconfirmed_since: Option<u64>,
) {
    let list_age = clock::now().saturating_since(state.list_read_at.get());
    let facts = Facts {
        right: Right::None,
        list_age_ms: list_age.as_millis() as u64,
        unconfirmed_since,
    };
    let now = clock::wall();
    let times = Times {
        submitted_ms: now,
        answered_ms: now,
        deadline_ms: submission.map_or(0, |it| it.deadline_ms),
    };
    state.record.append(Entry::new(
        &state.config.name,
        state.config.incarnation,
        submission.map_or("", |it| it.team.as_str()),
        answer,
        times,
        &facts,
    ));
}
