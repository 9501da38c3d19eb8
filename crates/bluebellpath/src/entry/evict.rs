//! Eviction of answered jobs after their retention, or earlier if the limit on
//! jobs is reached.
//!
//! An evicted job never runs again: its ticket stays marked as used, or its key
//! stays claimed. Only the answer is lost, and requests for it are told so. Jobs
//! of which no task ran may be submitted again.

use std::rc::Rc;

use bluebellpath_runtime::clock;

use super::{job::Job, state::State};
use crate::job::{Id, Outcome};

/// Interval between checks for jobs to evict.
const CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

/// Evicts jobs whose retention has ended; never returns.
pub(super) async fn run(state: Rc<State>) {
    loop {
        while let Some(job) = state.jobs.evict(clock::now()) {
            renew_ticket(&state, &job);
        }
        clock::sleep(CHECK_INTERVAL).await;
    }
}

/// Schedules the eviction of an answered job at the end of its retention.
pub(super) fn schedule(state: &State, job: &Job, outcome: Outcome) {
    let retention = if may_resubmit(job, outcome) {
        state.config.refusal_retention
    } else {
        state.config.answer_retention
    };
    state.jobs.schedule_eviction(job, clock::now() + retention);
}

/// Evicts answered jobs until there is room for one more; false if too many jobs
/// are unanswered.
pub(super) fn make_room(state: &State) -> bool {
    while state.jobs.len() >= state.config.max_jobs {
        let Some(eviction) = state.jobs.next_eviction() else {
            return false;
        };
        if let Some(job) = state.jobs.evict(eviction) {
            renew_ticket(state, &job);
        }
    }
    true
}

fn renew_ticket(state: &State, job: &Job) {
    let outcome = job.outcome();
    if let (Id::Ticket(ticket), true) = (&job.id, may_resubmit(job, outcome)) {
        state.tickets.renew(ticket);
    }
}

/// True if no task of the job ran and it may be submitted again. Cancelled jobs
/// stay cancelled.
fn may_resubmit(job: &Job, outcome: Outcome) -> bool {
    outcome == Outcome::NotRun && !job.cancelled.get()
}
