//! Forgets answered jobs after their retention, or earlier when memory is full.
//!
//! What is forgotten never runs again: a ticket stays marked as used, and a key
//! stays claimed. Only the answer is gone, and asking for it says so.

use std::rc::Rc;

use bluebellpath_runtime::clock;

use super::{job::Job, state::State};
use crate::job::{Id, Outcome};

/// Time between two looks at what is due.
const INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

/// Forgets jobs as they are due, for ever.
pub(super) async fn run(state: Rc<State>) {
    loop {
        while let Some(job) = state.jobs.evict(clock::now()) {
            forget(&state, &job);
        }
        clock::sleep(INTERVAL).await;
    }
}

/// Keeps an answered job for its retention.
pub(super) fn keep(state: &State, job: &Job, outcome: Outcome) {
    let retention = if is_anew(job, outcome) {
        state.config.refusal_retention
    } else {
        state.config.answer_retention
    };
    state.jobs.keep(job, clock::now() + retention);
}

/// Makes room for one more job; false when no answered job can go.
pub(super) fn make_room(state: &State) -> bool {
    while state.jobs.len() >= state.config.max_jobs {
        let Some(due) = state.jobs.next_eviction() else {
            return false;
        };
        if let Some(job) = state.jobs.evict(due) {
            forget(state, &job);
        }
    }
    true
}

fn forget(state: &State, job: &Job) {
    let outcome = job.outcome();
    if let (Id::Ticket(ticket), true) = (&job.id, is_anew(job, outcome)) {
        state.tickets.renew(ticket);
    }
}

/// True for jobs that came to nothing and may be submitted anew.
fn is_anew(job: &Job, outcome: Outcome) -> bool {
    outcome == Outcome::NotRun && !job.cancelled.get()
}
