//! Claims of runs by their frontends, and runs that lost theirs.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{LocalFuture, clock};
use futures_channel::oneshot;
use futures_util::future::join_all;
use slog::info;

use super::{
    DENY_DURATION, Scheduler, Shared,
    held_target::{HeldTarget, Phase, RunKey},
    outcome_of,
};
use crate::{
    InjectedFault,
    messages::{RunOutcome, RunRequest},
    permission::{Contact, Permission},
    takeover::STOP_ALLOWANCE,
};

/// Time in which a frontend whose connection was reset claims its runs again.
const RECLAIM_TIME: Duration = Duration::from_millis(50);

/// Who waits for the outcome of a run.
#[derive(Clone, Debug)]
pub enum Waiter {
    /// Caller of this instance. The run is stopped once it has gone.
    Caller,
    /// Frontend of a peer. If the connection to it is lost, the run continues for a
    /// while so that the frontend can claim it.
    Peer(Contact),
}

enum Adoption {
    Ended(RunOutcome),
    Running,
    Missing,
}

impl Scheduler {
    /// Takes charge of a run that another owner started, or whose connection to its
    /// frontend was lost, and waits for its outcome.
    ///
    /// If the run is on no held target, denies it here and returns those of
    /// `short_ids` on which it certainly is not. These targets have been polled
    /// during the call.
    pub fn claim(
        &self,
        request: RunRequest,
        short_ids: Vec<u32>,
        waiter: Waiter,
    ) -> LocalFuture<'static, Result<RunOutcome, Vec<u32>>> {
        let shared = self.0.clone();
        Box::pin(async move {
            let key = (request.task, request.run);
            if shared.config.injected_fault == Some(InjectedFault::DenyClaims) {
                return Err(short_ids);
            }
            let permission = shared.permission(&waiter);
            let guard = DropGuard::new(&shared, key, waiter);
            let (reply, outcome) = oneshot::channel();
            let mut reply = Some(reply);
            let mut adoption = shared.adopt(key, &request, &permission, &short_ids, &mut reply);
            let mut absent_from = Vec::new();
            if matches!(adoption, Adoption::Missing) {
                let polls = shared.poll_now(&short_ids).await;
                // A target that answered early may have been lost by the time the
                // last one answers.
                let confirmed = polls
                    .iter()
                    .filter(|(held, number)| held.is_confirmed(*number));
                absent_from = confirmed.map(|(held, _)| held.short_id).collect();
                adoption = shared.adopt(key, &request, &permission, &short_ids, &mut reply);
            }
            match adoption {
                Adoption::Ended(outcome) => Ok(guard.finish(Ok(outcome))),
                Adoption::Running => Ok(guard.finish(outcome.await)),
                Adoption::Missing => {
                    shared.deny(key);
                    guard.disarm();
                    Err(absent_from)
                }
            }
        })
    }
}

impl Shared {
    /// Polls the held targets among `short_ids` at once. Returns each with the
    /// number of its poll.
    async fn poll_now(&self, short_ids: &[u32]) -> Vec<(Rc<HeldTarget>, u64)> {
        let held: Vec<_> = self.held_targets.borrow().values().cloned().collect();
        let polls = held
            .into_iter()
            .filter(|it| short_ids.contains(&it.short_id))
            .map(async |it| {
                let number = it.poll_now(self.config.request_timeout).await;
                (it, number)
            });
        join_all(polls).await
    }

    /// Takes charge of a run that is here, on a target in `short_ids` unless they are
    /// empty. Takes `reply` if the run has not ended.
    ///
    /// Another target may have the end of a run with the same number, of a submission of
    /// the job that its frontend doesn't know.
    fn adopt(
        &self,
        key: RunKey,
        request: &RunRequest,
        permission: &Permission,
        short_ids: &[u32],
        reply: &mut Option<oneshot::Sender<RunOutcome>>,
    ) -> Adoption {
        let now = clock::now();
        if let Some(position) = self.backlog_positions.borrow().get(&key) {
            if let Some(queued) = self.backlog.borrow_mut().get_mut(*position)
                && let Some(reply) = reply.take()
            {
                queued.reply = reply;
                queued.permission = permission.clone();
                queued.request = RunRequest {
                    spec: queued.request.spec.clone(),
                    eligible_targets: queued.request.eligible_targets.clone(),
                    sent_at: queued.request.sent_at,
                    ..request.clone()
                };
            }
            return Adoption::Running;
        }
        let held_targets = self.held_targets.borrow();
        let named = |it: &&Rc<HeldTarget>| short_ids.is_empty() || short_ids.contains(&it.short_id);
        for held in held_targets.values().filter(named) {
            let mut state = held.state.borrow_mut();
            let Some(run) = state.runs.get_mut(&key) else {
                continue;
            };
            // A run that is being stopped stays in that phase until it is gone.
            if run.phase == Phase::Unclaimed {
                run.phase = Phase::Running;
            }
            run.claim_deadline = None;
            run.report_at = None;
            if run.phase != Phase::Stopping {
                run.lease_limit = None;
                held.poll_requested.notify();
            }
            run.front_address = Some(request.front_address);
            run.reply = reply.take();
            run.permission = Some(permission.clone());
            run.expires_at = now + Duration::from_millis(request.start_timeout_ms.into());
            run.request.get_or_insert_with(|| request.clone());
            info!(self.log, "adopted run"; "task" => %key.0, "run" => key.1,
                "target" => %held.target.borrow().id);
            return Adoption::Running;
        }
        let mut ends = held_targets
            .values()
            .filter(named)
            .filter_map(|it| it.state.borrow_mut().take_unclaimed_end(key));
        match ends.next() {
            Some(exit_status) => Adoption::Ended(outcome_of(exit_status)),
            None => Adoption::Missing,
        }
    }

    /// Prevents a run from starting here.
    pub(super) fn deny(&self, key: RunKey) {
        let until = clock::now() + DENY_DURATION;
        self.denied_runs.borrow_mut().insert(key, until);
    }

    /// Lets a run whose frontend was lost continue until its claim deadline.
    fn orphan(self: &Rc<Self>, key: RunKey) {
        let now = clock::now();
        for held in self.held_targets.borrow().values() {
            if let Some(run) = held.state.borrow_mut().runs.get_mut(&key) {
                run.claim_deadline = Some(now + self.config.claim_timeout);
                run.report_at = Some(now + RECLAIM_TIME);
                run.lease_limit = Some(now + self.config.claim_timeout + STOP_ALLOWANCE);
                return;
            }
        }
        self.cancel(key, "connection to its front lost");
    }

    /// Whether no receiver waits for the outcome of a run.
    pub(super) fn is_abandoned(&self, key: RunKey) -> bool {
        if let Some(position) = self.backlog_positions.borrow().get(&key) {
            let mut backlog = self.backlog.borrow_mut();
            return backlog
                .get_mut(*position)
                .is_none_or(|it| it.reply.is_canceled());
        }
        let held = self.held_targets.borrow();
        held.values().all(|held| {
            let state = held.state.borrow();
            let run = state.runs.get(&key);
            let reply = run.and_then(|it| it.reply.as_ref());
            reply.is_none_or(|it| it.is_canceled())
        })
    }
}

/// Applies the drop policy to a run whose future is dropped before its end.
pub(super) struct DropGuard {
    shared: Rc<Shared>,
    key: Option<RunKey>,
    waiter: Waiter,
}

impl DropGuard {
    pub(super) fn new(shared: &Rc<Shared>, key: RunKey, waiter: Waiter) -> DropGuard {
        DropGuard {
            shared: shared.clone(),
            key: Some(key),
            waiter,
        }
    }

    fn disarm(mut self) {
        self.key = None;
    }

    pub(super) fn finish(mut self, outcome: Result<RunOutcome, oneshot::Canceled>) -> RunOutcome {
        self.key = None;
        // A sender is dropped only if another claim replaces it.
        outcome.unwrap_or(RunOutcome::Superseded)
    }
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        let Some(key) = self.key else { return };
        // A claim on another connection may have been faster.
        if !self.shared.is_abandoned(key) {
            return;
        }
        match self.waiter {
            Waiter::Caller => {
                self.shared.cancel(key, "nobody waits for it");
            }
            Waiter::Peer(_) => self.shared.orphan(key),
        }
    }
}
