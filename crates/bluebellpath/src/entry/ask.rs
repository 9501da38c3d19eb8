//! Fetching the answer to a job and cancelling it, at the job's home instance.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{
    doubt,
    forward::{self, Passed},
    job::Verdict,
    pump,
    route::{self, Route},
    state::State,
    submit, taken,
};
use crate::{
    job::{Answer, Id},
    owner::{Lookup, TicketState},
    peer::Request,
};

/// Maximum wait for the answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// Request about an existing job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ask {
    /// Wait for the answer.
    Fetch,
    /// Cancel the job and wait for the answer.
    Cancel,
}

/// Result of an [`Action`].
pub(super) enum Told {
    /// Answer to the job.
    Answer(Rc<Answer>),
    /// The home instance doesn't know the job.
    Missing,
    /// This instance is not the home and may not forward the request.
    NotHome,
}

/// Performs `action` on a job at its home instance and waits for the answer.
pub(super) async fn ask(state: &Rc<State>, ask: Ask, id: &Id, hops: u8) -> Told {
    let deadline = clock::now() + PATIENCE;
    let mut pause = submit::PAUSE;
    loop {
        if let Some(answer) = here(state, ask, id).await {
            return Told::Answer(answer);
        }
        match route::route(state, id) {
            Route::Here => return unknown_here(state, id).await,
            Route::Gone => {
                let detail = "the instance that issued the ticket is gone";
                return Told::Answer(doubt::unknown(state, id, None, detail));
            }
            Route::Peers(_) if hops == 0 => return Told::NotHome,
            Route::Peers(peers) => {
                let request = request(ask, id, hops - 1);
                match forward::pass(state, &peers, id, &request, deadline).await {
                    Passed::Answer(answer) => return Told::Answer(answer),
                    Passed::Missing => return Told::Missing,
                    Passed::Refusal(_) | Passed::NotHome | Passed::Lost => {}
                }
            }
            Route::Wait => {}
        }
        if clock::now() >= deadline {
            let detail = "the home of the id was not reached";
            return Told::Answer(doubt::unknown(state, id, None, detail));
        }
        submit::changed(state, deadline, pause).await;
        pause = (pause * 2).min(submit::PAUSE_MAX);
    }
}

fn request(ask: Ask, id: &Id, hops: u8) -> Request {
    let id = id.clone();
    match ask {
        Ask::Fetch => Request::Fetch { id, hops },
        Ask::Cancel => Request::Cancel { id, hops },
    }
}

/// Performs `action` on a job of this instance; `None` if there is none.
async fn here(state: &Rc<State>, ask: Ask, id: &Id) -> Option<Rc<Answer>> {
    let job = state.jobs.find(id)?;
    if ask == Ask::Cancel {
        pump::cancel(state, &job);
    }
    match job.settled().await {
        Verdict::Answer(answer) => Some(answer),
        Verdict::Mismatch | Verdict::Moved => None,
    }
}

/// Returns what this instance, the home of the id, can tell about a job that it
/// does not hold.
async fn unknown_here(state: &State, id: &Id) -> Told {
    let detail = match id {
        Id::Ticket(ticket) => match state.tickets.state(ticket) {
            TicketState::Fresh | TicketState::Unissued => return Told::Missing,
            TicketState::Used => "the ticket was used; its answer is no longer kept",
            TicketState::Expired => "the ticket is too old to tell whether it was used",
        },
        Id::Key(key) => match state.claims.find(key).await {
            Lookup::Unused => return Told::Missing,
            Lookup::Used(claimed) => {
                return Told::Answer(taken::fetched(state, id, &claimed).await);
            }
            Lookup::Unclear => "the store did not say whether the key was used",
        },
    };
    Told::Answer(doubt::unknown(state, id, None, detail))
}
