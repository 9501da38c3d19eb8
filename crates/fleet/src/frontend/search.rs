//! Search for a run whose owner has failed.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bluebellpath_runtime::{Instant, LocalFuture, clock};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::info;

use super::{ActiveJob, Shared, millis, task::CancelOnDrop};
use crate::{
    membership::{CallError, Reply, Request},
    messages::{RunOutcome, RunRequest},
    scheduler::Waiter,
};

/// Time from the first to the second round of a search.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(60);

/// Longest time between two rounds. A new owner keeps a run for several of them
/// until it is claimed.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(160);

/// Where a run may be that its frontend has lost.
pub(super) struct Place {
    /// Last known owner.
    pub(super) owner: SocketAddr,
    /// Short ids of the targets that may have it.
    pub(super) short_ids: Vec<u32>,
    /// Time at which the run is over unless an owner may have it then.
    pub(super) over_at: Instant,
}

impl Shared {
    /// Searches for a run until it has ended or can't be at `place` any more.
    pub(super) async fn find_run(
        self: &Rc<Self>,
        active_job: &ActiveJob<'_>,
        run_request: &RunRequest,
        place: &Place,
    ) -> RunOutcome {
        active_job.started.set(true);
        let run_request = &RunRequest {
            eligible_targets: place.short_ids.as_slice().into(),
            // An owner that has the run has its specification or needs none.
            spec: Rc::from(""),
            ..run_request.clone()
        };
        let since = clock::now();
        if let Some(run_outcome) = self.query_owners(run_request, place).await {
            return run_outcome;
        }
        info!(self.log, "run not found again"; "task" => %run_request.task, "run" => run_request.run,
            "searched_ms" => millis(clock::now() - since));
        RunOutcome::Lost
    }

    /// Claims a run repeatedly, at the owners that may have it, until one returns how
    /// it ended. Returns `None` once no owner has it, or at [`Place::over_at`], or
    /// [`Config::orphan_timeout`] after the last time at which an owner may have
    /// had it.
    ///
    /// These are the owner to which the run was sent, those that hold or should
    /// hold its targets, and those that were asked before. Nobody else knows the
    /// run: an owner places it only on the targets that the request names.
    ///
    /// An owner that adopts the run answers only when the run ends, and one that
    /// has failed never answers. Neither delays the replies of the others.
    async fn query_owners(
        self: &Rc<Self>,
        run_request: &RunRequest,
        place: &Place,
    ) -> Option<RunOutcome> {
        let short_ids = &place.short_ids;
        let mut search_end = place.over_at;
        let mut excluded: Vec<u32> = Vec::new();
        let mut not_found_at = BTreeSet::new();
        let mut presumed = None;
        let mut claims = PendingClaims::new();
        // Live owners that had not answered at the end of the last round.
        let mut pending_before = BTreeSet::new();
        let mut suspects = BTreeSet::from([place.owner, self.config.address]);
        let mut interval = MIN_SEARCH_INTERVAL;
        loop {
            suspects.extend(self.possible_owners(short_ids));
            self.send_claims(run_request, short_ids, &suspects, &mut claims);
            let round_end = clock::now() + interval;
            interval = (interval * 3 / 2).min(MAX_SEARCH_INTERVAL);
            while let Some(Some((owner, reply))) = clock::timeout_at(round_end, claims.next()).await
            {
                match reply {
                    ClaimReply::NotSent => {
                        not_found_at.remove(&owner);
                    }
                    ClaimReply::NoReply
                    | ClaimReply::Ended(RunOutcome::Moved { .. } | RunOutcome::Superseded) => {
                        // An owner may have had the run until now, so the search
                        // starts over.
                        not_found_at.clear();
                        excluded.clear();
                        search_end = clock::now() + self.config.orphan_timeout;
                    }
                    // Another owner may have taken the target over.
                    ClaimReply::Ended(run_outcome) if run_outcome.silent_target().is_some() => {
                        not_found_at.insert(owner);
                        presumed = Some(run_outcome);
                    }
                    ClaimReply::Ended(run_outcome) => return Some(run_outcome),
                    ClaimReply::NotFound(ids_there) => {
                        not_found_at.insert(owner);
                        excluded.extend(ids_there);
                    }
                }
            }
            // Any live owner that has not denied the run may have it.
            let mut owners = self.membership.live_addresses();
            owners.push(self.config.address);
            owners.retain(|it| suspects.contains(it));
            let is_pending = |it: &SocketAddr| claims.iter().any(|claim| claim.owner == *it);
            let pending: BTreeSet<_> = owners.iter().copied().filter(is_pending).collect();
            if pending_before.iter().any(|it| !owners.contains(it)) {
                // It was lost before it answered.
                not_found_at.clear();
                excluded.clear();
            }
            if !pending.is_empty() {
                search_end = clock::now() + self.config.orphan_timeout;
            }
            let denies = |it: &SocketAddr| not_found_at.contains(it) && !pending.contains(it);
            let not_found_anywhere = owners.iter().all(denies);
            pending_before = pending;
            let all_excluded =
                !short_ids.is_empty() && short_ids.iter().all(|it| excluded.contains(it));
            if not_found_anywhere && presumed.is_some() {
                return presumed;
            }
            if not_found_anywhere && (all_excluded || clock::now() >= search_end) {
                return None;
            }
            clock::sleep_until(round_end).await;
        }
    }

    /// Returns the live owners that hold or should hold the targets with these short
    /// ids.
    fn possible_owners(&self, short_ids: &[u32]) -> Vec<SocketAddr> {
        let holders = self.membership.holders_of(short_ids);
        let mut owners: Vec<_> = holders.iter().map(|it| it.1).collect();
        let unheld = short_ids
            .iter()
            .filter(|id| !holders.iter().any(|it| it.0 == **id));
        let target_list = self.target_list.borrow();
        let targets: Vec<_> = unheld.filter_map(|it| target_list.find(*it)).collect();
        if targets.is_empty() {
            return owners;
        }
        let assignment = self.membership.assignment_to_peers();
        let targets = targets.into_iter();
        let next_owners = targets.filter_map(|it| assignment.owner_of(&it.id, &it.domain));
        owners.extend(next_owners.filter_map(|it| self.membership.address_of(it)));
        owners
    }

    /// Claims a run at every live owner in `suspects` without a pending claim.
    fn send_claims(
        self: &Rc<Self>,
        run_request: &RunRequest,
        short_ids: &[u32],
        suspects: &BTreeSet<SocketAddr>,
        claims: &mut PendingClaims,
    ) {
        let queried: Vec<_> = claims.iter().map(|it| it.owner).collect();
        let own = self.config.address;
        if !queried.contains(&own) {
            let claim =
                self.scheduler
                    .claim(run_request.clone(), short_ids.to_vec(), Waiter::Caller);
            let reply = async move {
                match claim.await {
                    Ok(run_outcome) => ClaimReply::Ended(run_outcome),
                    Err(excluded) => ClaimReply::NotFound(excluded),
                }
            };
            claims.push(Claim {
                owner: own,
                reply: Box::pin(reply),
            });
        }
        for owner in self.membership.live_addresses() {
            if queried.contains(&owner) || !suspects.contains(&owner) {
                continue;
            }
            let cancel_guard = CancelOnDrop::new(self, owner, run_request);
            let recipient = self.membership.recipient(owner);
            let request = Request::Claim {
                run_request: RunRequest {
                    owner_incarnation: recipient.incarnation,
                    sent_at: recipient.clocks,
                    ..run_request.clone()
                },
                short_ids: short_ids.to_vec(),
            };
            let claim = self.transport.call(owner, request);
            let reply = async move {
                let reply = claim.await;
                cancel_guard.disarm();
                match reply {
                    Ok(Reply::Ended(run_outcome, _)) => ClaimReply::Ended(run_outcome),
                    Ok(Reply::NotFound { excluded }) => ClaimReply::NotFound(excluded),
                    Err(CallError::NotSent) => ClaimReply::NotSent,
                    Ok(_) | Err(CallError::Unknown) => ClaimReply::NoReply,
                }
            };
            claims.push(Claim {
                owner,
                reply: Box::pin(reply),
            });
        }
    }
}

/// Reply of one owner to a claim.
enum ClaimReply {
    Ended(RunOutcome),
    /// None of the targets with these short ids has the run.
    NotFound(Vec<u32>),
    /// The claim certainly did not reach the owner.
    NotSent,
    /// The owner may have adopted the run.
    NoReply,
}

type PendingClaims = FuturesUnordered<Claim>;

/// Claim that an owner has not answered yet.
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
