//! Fetching the answer to a job and cancelling it, at the job's home instance.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{
    claimed_key, executor,
    forward::{self, ForwardResult},
    job::JobResult,
    route::{self, Route},
    state::State,
    submit, untracked,
};
use crate::{
    job::{Answer, Id},
    owner::{Lookup, TicketState},
    peer::Request,
};

/// Maximum wait for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Request about an existing job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Wait for the answer.
    Fetch,
    /// Cancel the job and wait for the answer.
    Cancel,
}

/// Result of an [`Action`].
pub(super) enum ActionResult {
    /// Answer to the job.
    Answer(Rc<Answer>),
    /// The home instance doesn't know the job.
    Missing,
    /// This instance is not the home and may not forward the request.
    NotHome,
}

/// Performs `action` on a job at its home instance and waits for the answer.
pub(super) async fn perform(state: &Rc<State>, action: Action, id: &Id, hops: u8) -> ActionResult {
    let deadline = clock::now() + ANSWER_TIMEOUT;
    let mut retry_delay = submit::MIN_RETRY_DELAY;
    loop {
        if let Some(answer) = perform_here(state, action, id).await {
            return ActionResult::Answer(answer);
        }
        match route::route(state, id) {
            Route::Local => return look_up_past_job(state, id).await,
            Route::Gone => {
                let detail = "the instance that issued the ticket is gone";
                return ActionResult::Answer(untracked::unknown(state, id, None, detail));
            }
            Route::Peers(_) if hops == 0 => return ActionResult::NotHome,
            Route::Peers(peers) => {
                let request = request(action, id, hops - 1);
                match forward::forward(state, &peers, id, &request, deadline).await {
                    ForwardResult::Answer(answer) => return ActionResult::Answer(answer),
                    ForwardResult::Missing => return ActionResult::Missing,
                    ForwardResult::Refusal(_) | ForwardResult::NotHome | ForwardResult::NoReply => {
                    }
                }
            }
            Route::Unknown => {}
        }
        if clock::now() >= deadline {
            let detail = "the home of the id was not reached";
            return ActionResult::Answer(untracked::unknown(state, id, None, detail));
        }
        submit::wait_before_retry(state, deadline, retry_delay).await;
        retry_delay = (retry_delay * 2).min(submit::MAX_RETRY_DELAY);
    }
}

fn request(action: Action, id: &Id, hops: u8) -> Request {
    let id = id.clone();
    match action {
        Action::Fetch => Request::Fetch { id, hops },
        Action::Cancel => Request::Cancel { id, hops },
    }
}

/// Performs `action` on a job of this instance; `None` if there is none.
async fn perform_here(state: &Rc<State>, action: Action, id: &Id) -> Option<Rc<Answer>> {
    let job = state.jobs.find(id)?;
    if action == Action::Cancel {
        executor::cancel(state, &job);
    }
    match job.wait_result().await {
        JobResult::Answer(answer) => Some(answer),
        JobResult::Mismatch | JobResult::Moved => None,
    }
}

/// Returns what this instance, the home of the id, can tell about a job that it
/// does not hold.
async fn look_up_past_job(state: &State, id: &Id) -> ActionResult {
    let detail = match id {
        Id::Ticket(ticket) => match state.tickets.state(ticket) {
            TicketState::Fresh | TicketState::Unissued => return ActionResult::Missing,
            TicketState::Used => "the ticket was used; its answer is no longer kept",
            TicketState::Expired => "the ticket is too old to tell whether it was used",
        },
        Id::Key(key) => match state.claims.find(key).await {
            Lookup::Unused => return ActionResult::Missing,
            Lookup::Used(claimed) => {
                return ActionResult::Answer(claimed_key::fetch(state, id, &claimed).await);
            }
            Lookup::Unclear => "the store did not say whether the key was used",
        },
    };
    ActionResult::Answer(untracked::unknown(state, id, None, detail))
}
