//! Starts and stops of single runs.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{clock, spawn as spawn_task};
use slog::{debug, info};

use super::{
    Shared, Waiting,
    held::{Held, Key, Phase, Run},
};
use crate::{
    backlog::Place,
    messages::{NotStartedReason, RunOutcome},
    target_client::{RequestError, StartRequest},
};

/// Pause between two orders to stop the same run.
const STOP_PAUSE: Duration = Duration::from_millis(100);

/// Takes room on a target and sends the start there.
pub(super) fn spawn(shared: &Rc<Shared>, held: &Rc<Held>, place: Place, waiting: Waiting) {
    let key = (waiting.order.task, waiting.order.run);
    let mut state = held.state.borrow_mut();
    let Some(lease_end_ms) = state.lease(shared.config.lease) else {
        // Without the target's clock there is no lease; the next look has it.
        drop(state);
        shared.enqueue(key, place.start_by, waiting);
        held.state.borrow_mut().known = false;
        held.urgent.notify();
        return;
    };
    state.grant(shared.config.lease);
    let start = StartRequest {
        task: key.0,
        run: key.1,
        spec: waiting.order.spec.clone(),
        lease_end_ms,
        fencing_token: state.fence,
    };
    let run = Run {
        phase: Phase::Starting,
        front: Some(waiting.order.front_address),
        order: Some(waiting.order),
        reply: Some(waiting.reply),
        since: clock::now(),
        fence: state.fence,
        started_ms: None,
        start_by: place.start_by,
        give_up: waiting.give_up,
        claim_by: None,
    };
    state.runs.insert(key, run);
    drop(state);
    drop(spawn_task(begin(shared.clone(), held.clone(), key, start)));
}

async fn begin(shared: Rc<Shared>, held: Rc<Held>, key: Key, start: StartRequest) {
    let fence = start.fencing_token;
    let target = held.target.borrow().clone();
    let answer = shared.orders.start(&target, start).await;
    if held.released.get() {
        return;
    }
    if answered(&shared, &held, key, fence, answer) {
        stop(shared, held, key).await;
    }
}

/// Takes in the answer to a start; true where the run is to be stopped.
fn answered(
    shared: &Rc<Shared>,
    held: &Rc<Held>,
    key: Key,
    fence: u64,
    answer: Result<u64, RequestError>,
) -> bool {
    debug!(shared.log, "start answered"; "task" => %key.0, "run" => key.1,
        "target" => %held.target.borrow().id, "answer" => ?answer);
    let mut state = held.state.borrow_mut();
    // A look may have found its end before the answer came.
    let Some(run) = state.runs.get_mut(&key) else {
        if let Ok(clock_ms) = answer {
            state.sync(clock_ms);
        }
        return false;
    };
    let stopping = run.phase == Phase::Stopping;
    match answer {
        Ok(clock_ms) => {
            run.started_ms = Some(clock_ms);
            if !stopping {
                run.phase = Phase::Running;
            }
            state.sync(clock_ms);
            stopping
        }
        Err(RequestError::Unknown) => {
            if !stopping {
                run.phase = Phase::Doubtful;
            }
            state.trust.record_failure(clock::now());
            info!(shared.log, "start in doubt"; "task" => %key.0, "run" => key.1,
                "target" => %held.target.borrow().id);
            drop(state);
            held.urgent.notify();
            stopping
        }
        Err(fault) => {
            let run = state.runs.remove(&key);
            drop(state);
            if let Some(run) = run {
                refused(shared, held, key, run, fence, fault);
            }
            shared.dispatch();
            false
        }
    }
}

/// Deals with a start that certainly had no effect.
fn refused(
    shared: &Rc<Shared>,
    held: &Rc<Held>,
    key: Key,
    run: Run,
    fence: u64,
    fault: RequestError,
) {
    info!(shared.log, "start refused"; "task" => %key.0, "run" => key.1,
        "target" => %held.target.borrow().id, "fault" => %fault);
    let reason = match fault {
        RequestError::RunNumberUsed => Some(NotStartedReason::RunNumberUsed),
        RequestError::Invalid => Some(NotStartedReason::RejectedByTarget),
        _ => None,
    };
    if let Some(reason) = reason {
        if let Some(reply) = run.reply {
            let _ = reply.send(RunOutcome::NotStarted(reason));
        }
        return;
    }
    let mut state = held.state.borrow_mut();
    match fault {
        RequestError::LeaseExpired => state.unsync(),
        RequestError::Unhealthy | RequestError::NotSent | RequestError::NoCapacity => {
            state.trust.record_failure(clock::now())
        }
        _ => {}
    }
    let lost = fault == RequestError::Fenced && fence == state.fence;
    drop(state);
    if lost {
        shared.yield_to_other(held);
    }
    if matches!(fault, RequestError::LeaseExpired | RequestError::Restarted) {
        held.urgent.notify();
    }
    shared.requeue(key, run);
}

/// Orders a run to stop until a look shows that it is gone.
pub(super) async fn stop(shared: Rc<Shared>, held: Rc<Held>, key: Key) {
    loop {
        let fence = {
            let state = held.state.borrow();
            if held.released.get() || !state.runs.contains_key(&key) {
                return;
            }
            state.fence
        };
        let target = held.target.borrow().clone();
        let stopped = shared.orders.stop(&target, key.0, key.1, fence).await;
        match stopped {
            Ok(clock_ms) => held.state.borrow_mut().sync(clock_ms),
            Err(fault) => {
                debug!(shared.log, "stop failed"; "task" => %key.0, "run" => key.1,
                    "target" => %target.id, "fault" => %fault);
            }
        }
        clock::sleep(STOP_PAUSE).await;
    }
}
