//! Handler for requests from peers.

use std::{rc::Rc, time::Duration};

use bluebellpath_fleet::permission::Contact;
use bluebellpath_runtime::LocalFuture;

use super::{
    Entry, Refusal,
    action::{self, Action, ActionResult},
    state::State,
    submit::{self, Transit},
};
use crate::{
    job::{Id, Submission},
    peer::{Handler, Reply, Request},
};

/// Handles requests from peers.
pub(super) struct PeerHandler(pub(super) Entry);

impl Handler for PeerHandler {
    fn handle(&self, request: Request, _: &Contact) -> LocalFuture<'static, Reply> {
        let state = self.0.0.clone();
        Box::pin(async move {
            match request {
                Request::Config { after } => {
                    let update = state.deps.config.update(after);
                    update.map_or(Reply::Missing, |it| Reply::Config(Box::new(it)))
                }
                Request::Submit {
                    id,
                    submission,
                    waited_ms,
                    hops,
                } => {
                    let transit = Transit {
                        elapsed: Duration::from_millis(waited_ms),
                        hops,
                    };
                    handle_submit(&state, id, submission, transit).await
                }
                Request::Fetch { id, hops } => perform(&state, Action::Fetch, &id, hops).await,
                Request::Cancel { id, hops } => perform(&state, Action::Cancel, &id, hops).await,
                Request::ExtendClaims(hold) => {
                    Reply::Extension(state.claims.handle_extension(hold))
                }
                Request::ReportTenure { holder } => Reply::Tenure(state.claims.account(holder)),
                // Only instances that schedule by capacity handle these requests.
                Request::Fleet(_) => Reply::Missing,
            }
        })
    }
}

async fn handle_submit(
    state: &Rc<State>,
    id: Id,
    submission: Submission,
    transit: Transit,
) -> Reply {
    match submit::submit(state, id, submission, transit).await {
        Ok(Some(answer)) => Reply::Answer(Box::new((*answer).clone())),
        Ok(None) => Reply::NotOwner,
        Err(Refusal::Full { .. }) => Reply::Full,
        // The forwarding instance has checked the limits. If this instance finds
        // the submission invalid, the peer runs another version with other limits,
        // so that the content can't be accepted here.
        Err(Refusal::Mismatch { .. } | Refusal::Invalid { .. }) => Reply::Mismatch,
    }
}

async fn perform(state: &Rc<State>, action: Action, id: &Id, hops: u8) -> Reply {
    match action::perform(state, action, id, hops).await {
        ActionResult::Answer(answer) => Reply::Answer(Box::new((*answer).clone())),
        ActionResult::Missing => Reply::Missing,
        ActionResult::NotHome => Reply::NotOwner,
    }
}
