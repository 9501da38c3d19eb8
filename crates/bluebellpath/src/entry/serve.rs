//! Requests that peers pass on.

use bluebellpath_runtime::LocalFuture;

use super::Entry;
use crate::peer::{Handler, Reply, Request};

/// Serves requests of peers.
pub(super) struct Peers(pub(super) Entry);

impl Handler for Peers {
    fn handle(&self, request: Request) -> LocalFuture<'static, Reply> {
        let entry = self.0.clone();
        Box::pin(async move {
            let answer = match request {
                Request::Config { after } => {
                    let update = entry.0.env.config.update(after);
                    return update.map_or(Reply::Missing, |it| Reply::Config(Box::new(it)));
                }
                Request::Submit { id, submission } => {
                    let Ok(answer) = entry.submit(id, submission).await else {
                        return Reply::Mismatch;
                    };
                    Some(answer)
                }
                Request::Fetch { id } => entry.fetch(&id).await,
                Request::Cancel { id } => entry.cancel(&id).await,
            };
            answer.map_or(Reply::Missing, |it| Reply::Answer(Box::new((*it).clone())))
        })
    }
}
