//! Submission of jobs to their home instance.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use futures_util::future::{Either, select};

use super::{
    Refusal,
    forward::{self, ForwardResult},
    home::{self, HomeResult},
    route::{self, Route},
    stall,
    state::State,
    untracked, validate,
};
use crate::{
    job::{Answer, Id, Submission},
    peer::Request,
};

/// Time after the deadline for which this instance waits for the home's answer.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Initial delay before a request is routed again.
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay before a request is routed again; the delay doubles each time.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time and hops that a request has spent on its way to this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transit {
    /// Time since the first instance received the request.
    pub(super) elapsed: Duration,
    /// Number of times that the request may still be forwarded.
    pub(super) hops: u8,
}

impl Transit {
    fn is_forwarded(&self) -> bool {
        self.hops < route::MAX_HOPS
    }

    /// Returns the value for a request that comes from a caller.
    pub(super) fn from_caller() -> Transit {
        Transit {
            elapsed: Duration::ZERO,
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
    transit: Transit,
) -> Result<Option<Rc<Answer>>, Refusal> {
    validate::validate(&submission)?;
    // A request that was received before a stall may be old: the sender may have
    // forwarded it to another instance, and it may have been answered as not run.
    if transit.is_forwarded() && stall::stalled_recently(&state.suspensions) {
        return Ok(None);
    }
    let arrived = clock::now();
    let limit = Duration::from_millis(submission.deadline_ms).saturating_sub(transit.elapsed);
    let deadline = arrived + limit;
    let mut no_reply = false;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        // A job that is already here stays here, even if its home has changed.
        if let Some(result) = home::join(state, &id, &submission).await {
            match result {
                HomeResult::Answer(answer) => return Ok(Some(answer)),
                HomeResult::Refusal(refusal) => return Err(refusal),
                HomeResult::Moved => {}
            }
        }
        match route::route(state, &id) {
            Route::Local => {
                let elapsed = transit.elapsed;
                match home::submit(state, &id, &submission, arrived, elapsed).await {
                    HomeResult::Answer(answer) => return Ok(Some(answer)),
                    HomeResult::Refusal(refusal) => return Err(refusal),
                    HomeResult::Moved => {}
                }
            }
            Route::Gone => {
                let detail = "the instance that issued the ticket is gone";
                return Ok(Some(untracked::unknown(
                    state,
                    &id,
                    Some(&submission),
                    detail,
                )));
            }
            Route::Peers(_) if transit.hops == 0 => return Ok(None),
            Route::Peers(peers) => {
                let elapsed = transit.elapsed + (clock::now() - arrived);
                let request = Request::Submit {
                    id: id.clone(),
                    submission: submission.clone(),
                    waited_ms: elapsed.as_millis() as u64,
                    hops: transit.hops - 1,
                };
                match forward::forward(state, &peers, &id, &request, deadline + ANSWER_GRACE).await
                {
                    ForwardResult::Answer(answer) => return Ok(Some(answer)),
                    ForwardResult::Refusal(refusal) => return Err(refusal),
                    ForwardResult::NoReply => no_reply = true,
                    ForwardResult::Missing | ForwardResult::NotHome => {}
                }
            }
            Route::Unknown => {}
        }
        if clock::now() >= deadline {
            return Ok(Some(deadline_answer(state, &id, &submission, no_reply)));
        }
        wait_before_retry(state, deadline, retry_delay).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

fn deadline_answer(state: &State, id: &Id, submission: &Submission, no_reply: bool) -> Rc<Answer> {
    let detail = if no_reply {
        "the home of the id did not answer before the deadline"
    } else {
        "the home of the id was not reached; this request started nothing"
    };
    untracked::unknown(state, id, Some(submission), detail)
}

/// Waits until shard ownership changes, `retry_delay` has passed or the deadline is
/// reached.
pub(super) async fn wait_before_retry(state: &State, deadline: Instant, retry_delay: Duration) {
    let changed = std::pin::pin!(state.claims.changed().notified());
    let timeout = clock::sleep_until(deadline.min(clock::now() + retry_delay));
    match select(changed, timeout).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}
