//! Requests that are passed on to an id's home.
//!
//! Every request is idempotent, so one without a reply may be made again.

use std::{net::SocketAddr, rc::Rc};

use bluebellpath_runtime::{Instant, clock};
use slog::debug;

use super::{Refusal, state::State};
use crate::{
    job::{Answer, Id},
    peer::{Fault, Reply, Request},
};

/// What came of passing a request on.
pub(super) enum Passed {
    /// Answer of the job.
    Answer(Rc<Answer>),
    /// No answer of a job.
    Refusal(Refusal),
    /// No such job at its home.
    Missing,
    /// No peer that was reached is the home now.
    NotHome,
    /// A peer got the request and its reply did not come.
    Lost,
}

/// Makes `request` at one of `peers` and waits until `deadline`.
pub(super) async fn pass(
    state: &State,
    peers: &[SocketAddr],
    id: &Id,
    request: &Request,
    deadline: Instant,
) -> Passed {
    for peer in peers {
        let call = state.deps.link.call(*peer, request.clone());
        let reply = match clock::timeout_at(deadline, call).await {
            Some(Ok(reply)) => reply,
            Some(Err(error)) => {
                debug!(state.deps.log, "request not passed on"; "job" => %id, "error" => %error);
                match error.fault {
                    Fault::NotSent => continue,
                    Fault::Unknown => return Passed::Lost,
                }
            }
            None => return Passed::Lost,
        };
        let id = id.clone();
        return match reply {
            Reply::Answer(answer) => Passed::Answer(Rc::new(*answer)),
            Reply::Mismatch => Passed::Refusal(Refusal::Mismatch { id }),
            Reply::Full => Passed::Refusal(Refusal::Full { id }),
            Reply::Missing => Passed::Missing,
            // A peer of another version may answer what was not asked.
            Reply::NotOwner
            | Reply::Promise(_)
            | Reply::Account(_)
            | Reply::Config(_)
            | Reply::Fleet(_) => continue,
        };
    }
    Passed::NotHome
}
