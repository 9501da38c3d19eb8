//! Submission of jobs to their home instance.

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

/// Time after the deadline for which this instance waits for the home's answer.
const GRACE: Duration = Duration::from_millis(250);

/// Initial delay before a request is routed again.
pub(super) const PAUSE: Duration = Duration::from_millis(50);

/// Maximum delay before a request is routed again; the delay doubles each time.
pub(super) const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Time and hops that a request has spent on its way to this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    /// Time since the first instance received the request.
    pub(super) waited: Duration,
    /// Number of times that the request may still be forwarded.
    pub(super) hops: u8,
}

impl Way {
    fn is_passed_on(&self) -> bool {
        self.hops < route::MAX_HOPS
    }

    /// Returns the value for a request that comes from a caller.
    pub(super) fn first() -> Way {
        Way {
            waited: Duration::ZERO,
            hops: route::MAX_HOPS,
        }
    }
}

/// Submits a job to its home instance and waits for the answer; `None` if this
/// instance is not the home and may not forward the request.
pub(super) async fn submit(
    state: &Rc<State>,
    id: Id,
    submission: Submission,
    way: Way,
) -> Result<Option<Rc<Answer>>, Refusal> {
    check::check(&submission)?;
    // The sender may have forwarded it to another instance since then, and it
    // may have been answered as not run.
    if way.is_passed_on() && state.stall.is_recent() {
        return Ok(None);
    }
    let arrived = clock::now();
    let limit = Duration::from_millis(submission.deadline_ms).saturating_sub(way.waited);
    let deadline = arrived + limit;
    let mut lost = false;
    let mut pause = PAUSE;
    loop {
        // A job that is already here stays here, even if its home has changed.
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

/// Waits until shard ownership changes, `pause` has passed or the deadline is
/// reached.
pub(super) async fn changed(state: &State, deadline: Instant, pause: Duration) {
    let changed = std::pin::pin!(state.claims.changed().notified());
    let pause = clock::sleep_until(deadline.min(clock::now() + pause));
    match select(changed, pause).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}
