/*!
Poll loop of one held target.

Each long poll renews the lease, reports ended runs without delay and shows
whether another owner has taken the target over. An unconfirmed start interrupts
the poll. The next one carries a higher fencing token, after which the start is
either listed or can no longer take effect.
*/

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock, spawn};
use futures_util::future::{Either, select};
use slog::{info, warn};

use super::{
    Shared,
    held_target::{HeldTarget, Phase, State, millis},
};
use crate::{
    InjectedFault,
    crash_history::Fate,
    fencing,
    permission::longest_lease,
    takeover::Limits,
    target_client::{PollRequest, RequestError, Status},
};

/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest wait of a poll while the lease is renewed for a short time only.
const LIMITED_POLL_WAIT: Duration = Duration::from_millis(50);

/// Share of the usual lease from which on polls wait for the usual time.
const LONG_LEASE_SHARE: f64 = 0.75;

/// First increase of a rejected fencing token, in milliseconds of wall time. Each
/// further step doubles it.
const MIN_TOKEN_STEP_MS: u64 = 250;

/// Number of steps before the target is left to its owner. They add up to about
/// 4 s, twice the maximum clock difference between instances.
const MAX_TOKEN_STEPS: u32 = 4;

/// Polls a target until it is released.
pub(super) async fn run(shared: Rc<Shared>, held: Rc<HeldTarget>) {
    let mut token_steps = 0;
    let mut unresponsive = false;
    while !held.released.get() {
        let requested = held.requested_polls.get();
        let Some(poll) = next_poll(&shared, &held) else {
            // Taking the target over again starts with a new token.
            shared.release(&held, "fencing token exhausted");
            return;
        };
        let target = held.target.borrow().clone();
        let sent_at = clock::now();
        let polling = shared.target_client.poll(&target, poll);
        let answer = match select(polling, std::pin::pin!(held.poll_requested.notified())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => continue,
        };
        if held.released.get() {
            return;
        }
        match answer {
            Ok(status) => {
                if std::mem::take(&mut unresponsive) {
                    info!(shared.log, "target answers again"; "target" => %target.id);
                }
                token_steps = 0;
                if renew_token(&shared, &held, &status) {
                    continue;
                }
                handle_status(&shared, &held, poll, sent_at, &status);
                held.answered_polls.set(requested);
                held.poll_answered.notify();
            }
            Err(RequestError::Unknown) if held.state.borrow().last_heard > sent_at => {
                // The target answered other requests meanwhile.
                shared.record_lost_answer(&held);
            }
            Err(RequestError::Fenced) => {
                let state = held.state.borrow();
                let (is_current, acquired) =
                    (state.fencing_token == poll.fencing_token, state.acquired);
                drop(state);
                if !is_current {
                    continue;
                }
                if acquired || token_steps >= MAX_TOKEN_STEPS {
                    shared.back_off(&held, "another owner holds it");
                    return;
                }
                // Not acquired yet: the clock of another instance may be ahead.
                let step_ms = MIN_TOKEN_STEP_MS << token_steps;
                token_steps += 1;
                if let Some(token) = shared.next_token(&target.id, step_ms) {
                    held.state.borrow_mut().fencing_token = token;
                }
            }
            // The answer may have come while nobody read it.
            Err(RequestError::Unknown | RequestError::NotSent)
                if sent_at < shared.running_since() =>
            {
                held.state.borrow_mut().synced = false;
                info!(shared.log, "asking target again after a suspension"; "target" => %target.id,
                    "waited_ms" => millis(clock::now() - sent_at));
            }
            Err(error) => {
                if !std::mem::replace(&mut unresponsive, true) {
                    warn!(shared.log, "target does not answer"; "target" => %target.id,
                        "fault" => %error);
                }
                if error == RequestError::Unknown {
                    shared.record_lost_answer(&held);
                }
                handle_no_answer(&shared, &held, error);
                clock::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Starts a second poll loop for a target, unless it has one.
pub(super) fn start_backup(shared: &Rc<Shared>, held: &Rc<HeldTarget>) {
    if !held.has_backup.replace(true) {
        drop(spawn(run_backup(shared.clone(), held.clone())));
    }
}

/// Polls a target beside [`run`] while answers of several targets are being lost.
/// Only answers count here; failures are left to the other loop.
async fn run_backup(shared: Rc<Shared>, held: Rc<HeldTarget>) {
    while !held.released.get() && shared.is_hedging() {
        let poll = held.has_runs().then(|| next_poll(&shared, &held)).flatten();
        let Some(poll) = poll else {
            clock::sleep(RETRY_DELAY).await;
            continue;
        };
        let target = held.target.borrow().clone();
        let sent_at = clock::now();
        let polling = shared.target_client.poll(&target, poll);
        match select(polling, std::pin::pin!(held.poll_requested.notified())).await {
            Either::Left((Ok(status), _)) if !held.released.get() => {
                if !renew_token(&shared, &held, &status) {
                    handle_status(&shared, &held, poll, sent_at, &status);
                }
            }
            Either::Left(_) => clock::sleep(RETRY_DELAY).await,
            Either::Right(_) => {}
        }
    }
    held.has_backup.set(false);
}

/// Takes a new token if `status` is the first one of another incarnation and another owner
/// may have taken the former one over unnoticed. The new incarnation knows no token, so
/// that it would obey both owners. Returns whether the token is new.
fn renew_token(shared: &Rc<Shared>, held: &Rc<HeldTarget>, status: &Status) -> bool {
    let mut state = held.state.borrow_mut();
    if !state.is_first_of_incarnation(status) || unnoticed_time(shared, held, &state).is_zero() {
        return false;
    }
    let id = held.target.borrow().id.clone();
    let Some(token) = shared.next_token(&id, 0) else {
        return false;
    };
    info!(shared.log, "target has restarted and may have another owner"; "target" => %id,
        "fence" => token, "fence_before" => state.fencing_token);
    state.fencing_token = token.max(state.fencing_token);
    state.synced = false;
    true
}

/// Longest time for which another owner may keep runs on a target alive unnoticed.
fn unnoticed_time(shared: &Shared, held: &HeldTarget, state: &State) -> Duration {
    let limits = Limits {
        claim_timeout: shared.config.claim_timeout,
        lease: longest_lease(shared.config.lease),
    };
    limits.unnoticed_time(
        shared.hearing.borrow().as_ref(),
        &held.target.borrow().domain,
        state.confirmed_at,
    )
}

/// Applies the answer to a poll that was sent at `sent_at`.
fn handle_status(
    shared: &Rc<Shared>,
    held: &Rc<HeldTarget>,
    poll: PollRequest,
    sent_at: Instant,
    status: &Status,
) {
    let loss = held.loss(Fate::Silent);
    let mut state = held.state.borrow_mut();
    let (was_unsynced, was_acquired) = (!state.synced, state.acquired);
    let events = state.apply_status(
        status,
        poll.fencing_token,
        sent_at,
        shared.config.claim_timeout,
        loss,
    );
    if !was_acquired && state.acquired {
        // The last holder may have renewed the lease just before.
        state.record_lease(shared.config.lease);
    }
    if poll.fencing_token == state.fencing_token {
        state.confirmed_at = state.confirmed_at.max(sent_at);
    }
    if was_unsynced && state.synced {
        let mut silent_ids = shared.silent_ids.borrow_mut();
        silent_ids.remove(&held.target.borrow().id);
        info!(shared.log, "target is held"; "target" => %held.target.borrow().id,
            "fence" => poll.fencing_token, "runs_found" => state.runs.len());
    }
    drop(state);
    shared.apply_events(held, events);
}

/// Next poll, with a higher token if a start is unconfirmed. `None` if the token
/// is exhausted.
fn next_poll(shared: &Rc<Shared>, held: &Rc<HeldTarget>) -> Option<PollRequest> {
    let mut state = held.state.borrow_mut();
    let fencing_token = state.fencing_token;
    let unconfirmed = state.runs.values().any(|it| {
        let may_run = matches!(it.phase, Phase::Unconfirmed | Phase::Stopping);
        may_run && it.started_ms.is_none() && it.fencing_token >= fencing_token
    });
    if unconfirmed {
        state.synced = false;
        match shared.config.injected_fault {
            Some(InjectedFault::KeepFencingToken) => state.fake_token_increment(),
            _ => state.fencing_token = fencing::increment(fencing_token)?,
        }
    }
    let now = clock::now();
    // The lease of an unresponsive target is not renewed, so that it expires.
    let renew_unresponsive = shared.config.injected_fault == Some(InjectedFault::RenewUnresponsive);
    let lease = state.longest_renewal(shared.config.lease);
    let lease_end_ms = match (state.synced && !lease.is_zero()) || renew_unresponsive {
        true => state.lease_end_ms(now, lease),
        false => None,
    };
    if lease_end_ms.is_some() && !renew_unresponsive {
        state.record_lease(lease);
    }
    let is_requested = held.requested_polls.get() > held.answered_polls.get();
    let may_wait = state.synced && state.knows_clock() && !unconfirmed && !is_requested;
    let is_long = lease >= shared.config.lease.mul_f64(LONG_LEASE_SHARE);
    let wait = match (may_wait, is_long) {
        (true, true) => shared.config.poll_timeout,
        // The whole lease is to be renewed as soon as that is possible.
        (true, false) => shared.config.poll_timeout.min(LIMITED_POLL_WAIT),
        (false, _) => Duration::ZERO,
    };
    Some(PollRequest {
        fencing_token: state.fencing_token,
        lease_end_ms,
        acknowledged_end: state.acknowledged_end,
        max_wait_ms: millis(wait),
    })
}

/// Handles a failed poll. Removes all runs once they have ended with the lease, or if
/// another incarnation has answered.
///
/// An owner that is cut off does not learn that another one has taken the target over
/// and has renewed the lease until it stops the unclaimed runs. A refused connection is
/// no proof that the target is gone, as a cut may refuse as well.
fn handle_no_answer(shared: &Rc<Shared>, held: &Rc<HeldTarget>, error: RequestError) {
    let replaced = error == RequestError::Restarted;
    let fate = match error {
        RequestError::Refused => Fate::Refusing,
        _ => Fate::Silent,
    };
    let loss = held.loss(fate);
    let mut state = held.state.borrow_mut();
    state.synced = false;
    // The answer to a pending start decides about its run.
    let starting = state.runs.values().any(|it| it.phase == Phase::Starting);
    if starting {
        return;
    }
    if replaced {
        let events = state.replaced(loss);
        drop(state);
        shared.apply_events(held, events);
        return;
    }
    let takeover_time = unnoticed_time(shared, held, &state);
    if state.runs.is_empty() || clock::now() < state.lease_end + takeover_time {
        let suspicion = match fate {
            Fate::Refusing => state.suspect_runs(loss),
            _ => None,
        };
        drop(state);
        if let Some(suspicion) = suspicion {
            shared.apply_events(held, vec![suspicion]);
        }
        return;
    }
    // Delayed requests must no longer take effect. If the token is exhausted, the
    // expired lease prevents that under the old token.
    state.fencing_token = fencing::increment(state.fencing_token).unwrap_or(state.fencing_token);
    let events = state.give_up_runs(loss);
    drop(state);
    shared.apply_events(held, events);
}
