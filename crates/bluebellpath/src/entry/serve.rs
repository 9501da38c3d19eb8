//! Handler for requests from peers.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::LocalFuture;

use super::{
    Entry, Refusal,
    ask::{self, Ask, Told},
    state::State,
    submit::{self, Way},
};
use crate::{
    job::{Id, Submission},
    peer::{Handler, Reply, Request},
};

/// Handles requests from peers.
pub(super) struct Peers(pub(super) Entry);

impl Handler for Peers {
    fn handle(&self, request: Request) -> LocalFuture<'static, Reply> {
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
                    let way = Way {
                        waited: Duration::from_millis(waited_ms),
                        hops,
                    };
                    submitted(&state, id, submission, way).await
                }
                Request::Fetch { id, hops } => asked(&state, Ask::Fetch, &id, hops).await,
                Request::Cancel { id, hops } => asked(&state, Ask::Cancel, &id, hops).await,
                Request::Hold(hold) => Reply::Promise(state.claims.promise(hold)),
                Request::Account { holder } => Reply::Account(state.claims.account(holder)),
                // Only instances that schedule by capacity handle these requests.
                Request::Fleet(_) => Reply::Missing,
            }
        })
    }
}

async fn submitted(state: &Rc<State>, id: Id, submission: Submission, way: Way) -> Reply {
    match submit::submit(state, id, submission, way).await {
        Ok(Some(answer)) => Reply::Answer(Box::new((*answer).clone())),
        Ok(None) => Reply::NotOwner,
        Err(Refusal::Full { .. }) => Reply::Full,
        // The forwarding instance has checked the limits. If this instance finds
        // the submission invalid, the peer runs another version with other limits,
        // so that the content can't be accepted here.
        Err(Refusal::Mismatch { .. } | Refusal::Invalid { .. }) => Reply::Mismatch,
    }
}

async fn asked(state: &Rc<State>, ask: Ask, id: &Id, hops: u8) -> Reply {
    match ask::ask(state, ask, id, hops).await {
        Told::Answer(answer) => Reply::Answer(Box::new((*answer).clone())),
        Told::Missing => Reply::Missing,
        Told::NotHome => Reply::NotOwner,
    }
}
