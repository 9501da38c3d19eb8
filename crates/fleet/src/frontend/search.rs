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

use super::{Recall, Shared, Ticket, millis};
use crate::{
    membership::{Reply, Request},
    messages::{RunOutcome, RunRequest},
    scheduler::DropPolicy,
};

/// Pause between two searches for a run whose owner was lost.
const SEARCH_PAUSE: Duration = Duration::from_millis(60);

impl Shared {
    /// Looks for a run at all owners until it is certainly over: none that
    /// holds one of the targets `tags` has it.
    pub(super) async fn search(
        self: &Rc<Self>,
        ticket: &Ticket<'_>,
        order: &RunRequest,
        tags: &[u32],
    ) -> RunOutcome {
        ticket.begun.set(true);
        let order = &RunRequest {
            eligible_targets: tags.into(),
            ..order.clone()
        };
        let since = clock::now();
        if let Some(ending) = self.census(order, tags).await {
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
    async fn census(self: &Rc<Self>, order: &RunRequest, tags: &[u32]) -> Option<RunOutcome> {
        let mut end = clock::now() + self.config.orphan_timeout;
        let mut settled: Vec<u32> = Vec::new();
        let mut denied = BTreeSet::new();
        let mut claims = Claims::new();
        loop {
            self.ask_owners(order, tags, &mut claims);
            let round = clock::now() + SEARCH_PAUSE;
            while let Some(Some((owner, claimed))) = clock::timeout_at(round, claims.next()).await {
                match claimed {
                    Claimed::Silent => {
                        denied.remove(&owner);
                    }
                    Claimed::Ended(RunOutcome::Moved { .. } | RunOutcome::Superseded) => {
                        // It was there until now, so the search begins anew.
                        denied.clear();
                        settled.clear();
                        end = clock::now() + self.config.orphan_timeout;
                    }
                    Claimed::Ended(ending) => return Some(ending),
                    Claimed::Missing(there) => {
                        denied.insert(owner);
                        settled.extend(there);
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
            let everywhere = owners.all(|it| denied.contains(&it) && !pending(it));
            let certain = !tags.is_empty() && tags.iter().all(|it| settled.contains(it));
            if everywhere && (certain || clock::now() >= end) {
                return None;
            }
            clock::sleep_until(round).await;
        }
    }

    /// Claims a run at every owner that has no claim to answer.
    fn ask_owners(self: &Rc<Self>, order: &RunRequest, tags: &[u32], claims: &mut Claims) {
        let asked: Vec<_> = claims.iter().map(|it| it.owner).collect();
        let own = self.config.address;
        if !asked.contains(&own) {
            let claim = self
                .keeper
                .claim(order.clone(), tags.to_vec(), DropPolicy::Stop);
            let claimed = async move {
                match claim.await {
                    Ok(ending) => Claimed::Ended(ending),
                    Err(settled) => Claimed::Missing(settled),
                }
            };
            claims.push(Claim {
                owner: own,
                claimed: Box::pin(claimed),
            });
        }
        for heartbeat in self.membership.live_peers() {
            let owner = heartbeat.address;
            if asked.contains(&owner) {
                continue;
            }
            let recall = Recall::new(self, owner, order);
            let request = Request::Claim {
                order: order.clone(),
                tags: tags.to_vec(),
            };
            let claim = self.peers.call(owner, request);
            let claimed = async move {
                let reply = claim.await;
                recall.done();
                match reply {
                    Ok(Reply::Ended(ending, _)) => Claimed::Ended(ending),
                    Ok(Reply::Missing { settled }) => Claimed::Missing(settled),
                    Ok(_) | Err(_) => Claimed::Silent,
                }
            };
            claims.push(Claim {
                owner,
                claimed: Box::pin(claimed),
            });
        }
    }
}

/// What one owner says of a run that is looked for.
enum Claimed {
    Ended(RunOutcome),
    /// It is on none of the targets with these tags.
    Missing(Vec<u32>),
    Silent,
}

type Claims = FuturesUnordered<Claim>;

/// Claim that one owner has not answered yet.
struct Claim {
    owner: SocketAddr,
    claimed: LocalFuture<'static, Claimed>,
}

impl Future for Claim {
    type Output = (SocketAddr, Claimed);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let owner = self.owner;
        self.claimed.as_mut().poll(cx).map(|it| (owner, it))
    }
}
