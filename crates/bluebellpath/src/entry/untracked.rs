//! Answers about jobs that this instance has no state for.

use std::rc::Rc;

use super::{audit, state::State};
use crate::job::{Answer, Id, Outcome, Submission, TaskAnswer};

/// Returns and records an answer with `outcome` for the job and all its tasks.
pub(super) fn answer(
    state: &State,
    id: &Id,
    submission: Option<&Submission>,
    outcome: Outcome,
    detail: &str,
) -> Rc<Answer> {
    let view = state.deps.config.view();
    let tasks = submission.map_or(&[][..], |it| &it.tasks);
    let part = |caller: &str| TaskAnswer {
        caller: caller.to_owned(),
        outcome,
        target: None,
        result: None,
        elapsed_us: None,
    };
    let answer = Rc::new(Answer {
        id: id.clone(),
        outcome,
        detail: Some(detail.to_owned()),
        reason: None,
        retry_after_ms: None,
        parts: tasks.iter().map(|it| part(&it.caller)).collect(),
        preset: view.document.preset.clone(),
        config_version: view.version,
    });
    audit::record_untracked(state, &answer, submission, view.unconfirmed_since);
    answer
}

/// Returns and records an answer that the outcome of the job is unknown.
pub(super) fn unknown(
    state: &State,
    id: &Id,
    submission: Option<&Submission>,
    detail: &str,
) -> Rc<Answer> {
    answer(state, id, submission, Outcome::Unknown, detail)
}
