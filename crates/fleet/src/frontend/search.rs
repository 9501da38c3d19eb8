//! Search for a run whose owner was lost.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bluebellpath_runtime::{LocalFuture, clock};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::info;

use super::{ActiveJob, CancelOnDrop, Shared, millis};
use crate::{
    membership::{Reply, Request},
    messages::{RunOutcome, RunRequest},
    scheduler::DropPolicy,
};

/// Pause between two searches for a run whose owner was lost.
const SEARCH_INTERVAL: Duration = Duration::from_millis(60);

impl Shared {
    /// Looks for a run at all owners until it is certainly over: none that
    /// holds one of the targets `tags` has it.
    pub(super) async fn find_run(
        self: &Rc<Self>,
        active: &ActiveJob<'_>,
        order: &RunRequest,
        tags: &[u32],
    ) -> RunOutcome {
        active.started.set(true);
        let order = &RunRequest {
            eligible_targets: tags.into(),
            ..order.clone()
        };
        let since = clock::now();
        if let Some(ending) = self.query_owners(order, tags).await {
            return ending;
        }
        info!(self.log, "run not found again"; "task" => %order.task, "run" => order.run,
            "searched_ms" => millis(clock::now() - since));
        RunOutcome::Lost
    }

    /// Asks all owners for a run, again and again, until one has its end; `None`
    /// once it is nowhere, or could not be found in [`Config::orphan_timeout`].
    ///
    /// An owner that takes charge of the run answers only with its end, and one
    /// that is gone never does; neither holds up the others.
    async fn query_owners(self: &Rc<Self>, order: &RunRequest, tags: &[u32]) -> Option<RunOutcome> {
        let mut search_end = clock::now() + self.config.orphan_timeout;
        let mut excluded: Vec<u32> = Vec::new();
        let mut not_found_at = BTreeSet::new();
        let mut claims = PendingClaims::new();
        loop {
            self.send_claims(order, tags, &mut claims);
            let round_end = clock::now() + SEARCH_INTERVAL;
            while let Some(Some((owner, reply))) = clock::timeout_at(round_end, claims.next()).await
            {
                match reply {
                    ClaimReply::NoReply => {
                        not_found_at.remove(&owner);
                    }
                    ClaimReply::Ended(RunOutcome::Moved { .. } | RunOutcome::Superseded) => {
                        // It was there until now, so the search begins anew.
                        not_found_at.clear();
                        excluded.clear();
                        search_end = clock::now() + self.config.orphan_timeout;
                    }
                    ClaimReply::Ended(ending) => return Some(ending),
                    ClaimReply::NotFound(tags_there) => {
                        not_found_at.insert(owner);
                        excluded.extend(tags_there);
                    }
                }
            }
            // Whoever lives and has not denied it may have it.
            let alive = self
                .membership
                .live_peers()
                .into_iter()
                .map(|it| it.address);
            let mut owners = alive.chain([self.config.address]);
            let pending = |owner| claims.iter().any(|it| it.owner == owner);
            let not_found_anywhere = owners.all(|it| not_found_at.contains(&it) && !pending(it));
            let all_excluded = !tags.is_empty() && tags.iter().all(|it| excluded.contains(it));
            if not_found_anywhere && (all_excluded || clock::now() >= search_end) {
                return None;
            }
            clock::sleep_until(round_end).await;
        }
    }

    /// PendingClaims a run at every owner that has no claim to answer.
    fn send_claims(self: &Rc<Self>, order: &RunRequest, tags: &[u32], claims: &mut PendingClaims) {
        let queried: Vec<_> = claims.iter().map(|it| it.owner).collect();
        let own = self.config.address;
        if !queried.contains(&own) {
            let claim = self
                .keeper
                .claim(order.clone(), tags.to_vec(), DropPolicy::Stop);
            let reply = async move {
                match claim.await {
                    Ok(ending) => ClaimReply::Ended(ending),
                    Err(excluded) => ClaimReply::NotFound(excluded),
                }
            };
            claims.push(Claim {
                owner: own,
                reply: Box::pin(reply),
            });
        }
        for heartbeat in self.membership.live_peers() {
            let owner = heartbeat.address;
            if queried.contains(&owner) {
                continue;
            }
            let cancel_guard = CancelOnDrop::new(self, owner, order);
            let request = Request::Claim {
                order: order.clone(),
                tags: tags.to_vec(),
            };
            let claim = self.transport.call(owner, request);
            let reply = async move {
                let reply = claim.await;
                cancel_guard.disarm();
                match reply {
                    Ok(Reply::Ended(ending, _)) => ClaimReply::Ended(ending),
                    Ok(Reply::NotFound { excluded }) => ClaimReply::NotFound(excluded),
                    Ok(_) | Err(_) => ClaimReply::NoReply,
                }
            };
            claims.push(Claim {
                owner,
                reply: Box::pin(reply),
            });
        }
    }
}

/// What one owner says of a run that is looked for.
enum ClaimReply {
    Ended(RunOutcome),
    /// It is on none of the targets with these tags.
    NotFound(Vec<u32>),
    NoReply,
}

type PendingClaims = FuturesUnordered<Claim>;

/// Claim that one owner has not answered yet.
struct Claim {
    owner: SocketAddr,
    reply: LocalFuture<'static, ClaimReply>,
}

impl Future for Claim {
    type Output = (SocketAddr, ClaimReply);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let owner = self.owner;
        self.reply.as_mut().poll(cx).map(|it| (owner, it))
    }
}
