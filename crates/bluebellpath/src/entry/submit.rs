//! From a submission to its answer, wherever its home is.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use futures_util::future::{Either, select};

use super::{
    Refusal, check, doubt,
    forward::{self, Passed},
    home::{self, Settled},
    route::{self, Route},
    state::State,
};
use crate::{
    job::{Answer, Id, Submission},
    peer::Request,
};

/// Time after the deadline for which the home's answer is waited for.
const GRACE: Duration = Duration::from_millis(250);

/// First pause before a request is routed anew.
pub(super) const PAUSE: Duration = Duration::from_millis(50);

/// Longest such pause.
pub(super) const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Way that a request has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    /// Time that it has been on its way.
    pub(super) waited: Duration,
    /// Times that it may still be passed on.
    pub(super) hops: u8,
}

impl Way {
    fn is_passed_on(&self) -> bool {
        self.hops < route::MAX_HOPS
    }

    /// Way of a request from a caller.
    pub(super) fn first() -> Way {
        Way {
            waited: Duration::ZERO,
            hops: route::MAX_HOPS,
        }
    }
}

/// Submits a job at its home and waits for the answer; `None` when this
/// instance is not the home and may not pass it on.
pub(super) async fn submit(
    state: &Rc<State>,
    id: Id,
    submission: Submission,
    way: Way,
) -> Result<Option<Rc<Answer>>, Refusal> {
    check::check(&submission)?;
    // It may have gone another way since, and been answered as not run.
    if way.is_passed_on() && state.stall.is_recent() {
        return Ok(None);
    }
    let arrived = clock::now();
    let limit = Duration::from_millis(submission.deadline_ms).saturating_sub(way.waited);
    let deadline = arrived + limit;
    let mut lost = false;
    let mut pause = PAUSE;
    loop {
        // A job that is here stays here, whoever its home is by now.
        if let Some(settled) = home::join(state, &id, &submission).await {
            match settled {
                Settled::Answer(answer) => return Ok(Some(answer)),
                Settled::Refusal(refusal) => return Err(refusal),
                Settled::Moved => {}
            }
        }
        match route::route(state, &id) {
            Route::Here => {
                let waited = way.waited;
                match home::submit(state, &id, &submission, arrived, waited).await {
                    Settled::Answer(answer) => return Ok(Some(answer)),
                    Settled::Refusal(refusal) => return Err(refusal),
                    Settled::Moved => {}
                }
            }
            Route::Gone => {
                let detail = "the instance that issued the ticket is gone";
                return Ok(Some(doubt::unknown(state, &id, Some(&submission), detail)));
            }
            Route::Peers(_) if way.hops == 0 => return Ok(None),
            Route::Peers(peers) => {
                let waited = way.waited + (clock::now() - arrived);
                let request = Request::Submit {
                    id: id.clone(),
                    submission: submission.clone(),
                    waited_ms: waited.as_millis() as u64,
                    hops: way.hops - 1,
                };
                match forward::pass(state, &peers, &id, &request, deadline + GRACE).await {
                    Passed::Answer(answer) => return Ok(Some(answer)),
                    Passed::Refusal(refusal) => return Err(refusal),
                    Passed::Lost => lost = true,
                    Passed::Missing | Passed::NotHome => {}
                }
            }
            Route::Wait => {}
        }
        if clock::now() >= deadline {
            return Ok(Some(too_late(state, &id, &submission, lost)));
        }
        changed(state, deadline, pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

fn too_late(state: &State, id: &Id, submission: &Submission, lost: bool) -> Rc<Answer> {
    let detail = if lost {
        "the home of the id did not answer before the deadline"
    } else {
        "the home of the id was not reached; this request started nothing"
    };
    doubt::unknown(state, id, Some(submission), detail)
}

/// Waits for a change of homes, for `pause`, or for the deadline.
pub(super) async fn changed(state: &State, deadline: Instant, pause: Duration) {
    let changed = std::pin::pin!(state.claims.changed().notified());
    let pause = clock::sleep_until(deadline.min(clock::now() + pause));
    match select(changed, pause).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}
