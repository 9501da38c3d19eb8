/*!
The look at one held target, again and again.

One long poll renews the lease, reports ends at once and shows who else is
there. A start in doubt cuts the poll short: the next look carries a higher
fencing token, after which the start is either listed or can never happen.
*/

use std::rc::Rc;

use bluebellpath_runtime::clock;
use futures_util::future::{Either, select};
use slog::{info, warn};

use super::{
    Shared,
    held::{Held, Phase, millis},
};
use crate::{
    InjectedFault, fencing,
    target_client::{PollRequest, RequestError},
};

/// Pause after a look that failed.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// First step of a climbing token, in milliseconds of wall time.
const FIRST_CLIMB_MS: u64 = 250;

/// Steps before a target is left to its owner; together 4 s, twice what clocks
/// may be apart.
const MAX_CLIMBS: u32 = 4;

pub(super) async fn run(shared: Rc<Shared>, held: Rc<Held>) {
    let mut climbs = 0;
    let mut lost = false;
    while !held.released.get() {
        let asked = held.asked.get();
        let Some(hold) = prepare(&shared, &held) else {
            // A later hold of the same target begins with a fresh token.
            shared.release(&held, "its token can't be raised any more");
            return;
        };
        let target = held.target.borrow().clone();
        let looking = shared.orders.poll(&target, hold);
        let answer = match select(looking, std::pin::pin!(held.urgent.notified())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => continue,
        };
        if held.released.get() {
            return;
        }
        match answer {
            Ok(listing) => {
                if std::mem::take(&mut lost) {
                    info!(shared.log, "target answers again"; "target" => %target.id);
                }
                climbs = 0;
                let mut state = held.state.borrow_mut();
                let first = !state.known;
                let effects =
                    state.apply(&listing, hold.fencing_token, shared.config.claim_timeout);
                if first && state.known {
                    info!(shared.log, "target is held"; "target" => %target.id,
                        "fence" => hold.fencing_token, "runs_found" => state.runs.len());
                }
                drop(state);
                shared.settle(&held, effects);
                held.answered.set(asked);
                held.looked.notify();
            }
            Err(RequestError::Fenced) => {
                let state = held.state.borrow();
                let (current, taken) = (state.fence == hold.fencing_token, state.taken);
                drop(state);
                if !current {
                    continue;
                }
                if taken || climbs >= MAX_CLIMBS {
                    shared.yield_to_other(&held);
                    return;
                }
                // Not taken yet: another instance's clock may be ahead.
                let ahead = FIRST_CLIMB_MS << climbs;
                climbs += 1;
                let mut state = held.state.borrow_mut();
                state.fence = shared.fences.next(clock::wall(), state.fence, ahead);
            }
            Err(fault) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(shared.log, "target does not answer"; "target" => %target.id,
                        "fault" => %fault);
                }
                silent(&shared, &held);
                clock::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Next look, under a higher token where a start is in doubt.
fn prepare(shared: &Rc<Shared>, held: &Rc<Held>) -> Option<PollRequest> {
    let mut state = held.state.borrow_mut();
    let fence = state.fence;
    let doubtful = state.runs.values().any(|it| {
        let open = matches!(it.phase, Phase::Doubtful | Phase::Stopping);
        open && it.started_ms.is_none() && it.fence >= fence
    });
    if doubtful {
        state.known = false;
        match shared.config.injected_fault {
            Some(InjectedFault::KeepFencingToken) => state.believe_raised(),
            _ => state.fence = fencing::increment(fence)?,
        }
    }
    // A target that does not answer gets no new lease, so that the last one ends.
    let silent = shared.config.injected_fault == Some(InjectedFault::RenewUnresponsive);
    let lease_end_ms = match state.known || silent {
        true => state.lease(shared.config.lease),
        false => None,
    };
    if lease_end_ms.is_some() && !silent {
        state.grant(shared.config.lease);
    }
    let asked = held.asked.get() > held.answered.get();
    let wait = state.known && lease_end_ms.is_some() && !doubtful && !asked;
    Some(PollRequest {
        fencing_token: state.fence,
        lease_end_ms,
        acknowledged_end: state.seen,
        max_wait_ms: if wait {
            millis(shared.config.poll_timeout)
        } else {
            0
        },
    })
}

/// Notes that a look got no answer; once the lease is over nothing runs there.
fn silent(shared: &Rc<Shared>, held: &Rc<Held>) {
    let mut state = held.state.borrow_mut();
    state.known = false;
    if state.runs.is_empty() || clock::now() < state.lease_end {
        return;
    }
    // A start that is still under way answers for itself.
    let starting = state.runs.values().any(|it| it.phase == Phase::Starting);
    if starting {
        return;
    }
    // Orders that were delayed on the way must not take effect any more. Where
    // the token can't be raised, it is too late for them under the old one.
    state.fence = fencing::increment(state.fence).unwrap_or(state.fence);
    let effects = state.drop_all();
    drop(state);
    shared.settle(held, effects);
}
