//! Forwarding of requests to the home instance of an id.
//!
//! All requests are idempotent, so a request without a reply may be repeated.

use std::{net::SocketAddr, rc::Rc};

use bluebellpath_runtime::{Instant, clock};
use slog::debug;

use super::{Refusal, state::State};
use crate::{
    job::{Answer, Id},
    peer::{Fault, Reply, Request},
};

/// Result of forwarding a request.
pub(super) enum ForwardResult {
    /// Answer to the job.
    Answer(Rc<Answer>),
    /// The home instance refused the request.
    Refusal(Refusal),
    /// The home instance doesn't know the job.
    Missing,
    /// None of the peers that were reached is the home.
    NotHome,
    /// A peer may have received the request, but no reply came.
    NoReply,
}

/// Sends `request` to the peers in order. Moves on to the next peer if the request
/// was not sent or the peer is not the home. Waits until `deadline` at most.
pub(super) async fn forward(
    state: &State,
    peers: &[SocketAddr],
    id: &Id,
    request: &Request,
    deadline: Instant,
) -> ForwardResult {
    for peer in peers {
        let call = state.deps.link.call(*peer, request.clone());
        let reply = match clock::timeout_at(deadline, call).await {
            Some(Ok(reply)) => reply,
            Some(Err(error)) => {
                debug!(state.deps.log, "request not forwarded"; "job" => %id, "error" => %error);
                match error.fault {
                    Fault::NotSent => continue,
                    Fault::Unknown => return ForwardResult::NoReply,
                }
            }
            None => return ForwardResult::NoReply,
        };
        let id = id.clone();
        return match reply {
            Reply::Answer(answer) => ForwardResult::Answer(Rc::new(*answer)),
            Reply::Mismatch => ForwardResult::Refusal(Refusal::Mismatch { id }),
            Reply::Full => ForwardResult::Refusal(Refusal::Full { id }),
            Reply::Missing => ForwardResult::Missing,
            // A peer of another version may send a reply that doesn't match the
            // request.
            Reply::NotOwner
            | Reply::Extension(_)
            | Reply::Tenure(_)
            | Reply::Config(_)
            | Reply::Fleet(_) => continue,
        };
    }
    ForwardResult::NotHome
}
