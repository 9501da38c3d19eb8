//! Requests for jobs whose keys were claimed before.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{
    Refusal,
    forward::{self, ForwardResult},
    route,
    state::State,
    untracked,
};
use crate::{
    job::{Answer, Digest, Id, Outcome, Submission},
    owner::ClaimRow,
    peer::Request,
};

/// Maximum wait for the answer of the instance that claimed the key.
const OWNER_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers a submission whose key was claimed before.
pub(super) async fn submit(
    state: &State,
    id: &Id,
    submission: &Submission,
    claimed: &ClaimRow,
) -> Result<Rc<Answer>, Refusal> {
    if claimed.digest != Digest::of(submission) {
        return Err(Refusal::Mismatch { id: id.clone() });
    }
    let request = Request::Submit {
        id: id.clone(),
        submission: submission.clone(),
        waited_ms: 0,
        hops: 0,
    };
    let timeout = Duration::from_millis(submission.deadline_ms).min(OWNER_TIMEOUT);
    Ok(
        match ask_owner(state, id, claimed, &request, timeout).await {
            Some(answer) => answer,
            None => stored_answer(state, id, Some(submission), claimed),
        },
    )
}

/// Answers a fetch for a key that was claimed.
pub(super) async fn fetch(state: &State, id: &Id, claimed: &ClaimRow) -> Rc<Answer> {
    let request = Request::Fetch {
        id: id.clone(),
        hops: 0,
    };
    match ask_owner(state, id, claimed, &request, OWNER_TIMEOUT).await {
        Some(answer) => answer,
        None => stored_answer(state, id, None, claimed),
    }
}

/// Forwards `request` to the instance that claimed the key. That instance may
/// still hold the job after it has released the shard.
async fn ask_owner(
    state: &State,
    id: &Id,
    claimed: &ClaimRow,
    request: &Request,
    timeout: Duration,
) -> Option<Rc<Answer>> {
    if claimed.incarnation == state.config.incarnation {
        return None;
    }
    let address = route::peer_address(state, claimed.incarnation)?;
    let deadline = clock::now() + timeout;
    match forward::forward(state, &[address], id, request, deadline).await {
        ForwardResult::Answer(answer) => Some(answer),
        _ => None,
    }
}

/// Returns the answer that follows from the outcome stored in the claim.
fn stored_answer(
    state: &State,
    id: &Id,
    submission: Option<&Submission>,
    claimed: &ClaimRow,
) -> Rc<Answer> {
    let (outcome, detail) = match claimed.outcome {
        Some(Outcome::NotRun) => (Outcome::NotRun, "cancelled before anything ran"),
        Some(Outcome::Complete) => (
            Outcome::Unknown,
            "recorded as complete; the results are no longer kept",
        ),
        Some(Outcome::Failed) => (
            Outcome::Unknown,
            "recorded as failed; what ran is no longer known",
        ),
        Some(Outcome::Unknown) => (Outcome::Unknown, "recorded as unknown"),
        None => (Outcome::Unknown, "claimed before; its end was not recorded"),
    };
    untracked::answer(state, id, submission, outcome, detail)
}
