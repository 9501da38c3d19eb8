//! Starting and stopping of single runs.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{clock, spawn as spawn_task};
use slog::{debug, info};

use super::{
    QueuedRun, Shared,
    held_target::{HeldTarget, Phase, Run, RunKey},
};
use crate::{
    backlog::Position,
    messages::{NotStartedReason, RunOutcome},
    target_client::{RequestError, StartRequest},
};

/// Delay between two requests to stop the same run.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reserves capacity on a target and sends the start request.
pub(super) fn spawn_start(
    shared: &Rc<Shared>,
    held: &Rc<HeldTarget>,
    position: Position,
    queued: QueuedRun,
) {
    let key = (queued.request.task, queued.request.run);
    let mut state = held.state.borrow_mut();
    // The order may leave any time later, and has no effect after the end of its lease.
    let now = clock::now();
    let lease = state.longest_renewal(shared.config.lease);
    let lease = queued.permission.longest_lease(lease);
    let Some(lease_end_ms) = state.lease_end_ms(now, lease) else {
        // A lease requires the clock of the target; the next poll reports it.
        drop(state);
        shared.enqueue(key, position.start_by, queued);
        held.state.borrow_mut().synced = false;
        held.poll_requested.notify();
        return;
    };
    state.record_lease(lease);
    let start = StartRequest {
        task: key.0,
        run: key.1,
        spec: queued.request.spec.clone(),
        lease_end_ms,
        fencing_token: state.fencing_token,
    };
    let run = Run {
        phase: Phase::Starting,
        front_address: Some(queued.request.front_address),
        request: Some(queued.request),
        permission: Some(queued.permission),
        reply: Some(queued.reply),
        started_at: now,
        fencing_token: state.fencing_token,
        started_ms: None,
        answered_at: None,
        may_have_run: false,
        start_by: position.start_by,
        expires_at: queued.expires_at,
        claim_deadline: None,
        report_at: None,
        lease_limit: None,
    };
    state.runs.insert(key, run);
    drop(state);
    drop(spawn_task(send_start(
        shared.clone(),
        held.clone(),
        key,
        start,
    )));
}

async fn send_start(shared: Rc<Shared>, held: Rc<HeldTarget>, key: RunKey, start: StartRequest) {
    let fencing_token = start.fencing_token;
    let target = held.target.borrow().clone();
    let answer = shared.target_client.start(&target, start).await;
    if held.released.get() {
        return;
    }
    if handle_start_answer(&shared, &held, key, fencing_token, answer) {
        stop_until_gone(shared, held, key).await;
    }
}

/// Handles the answer to a start request. Returns whether the run is to be stopped.
fn handle_start_answer(
    shared: &Rc<Shared>,
    held: &Rc<HeldTarget>,
    key: RunKey,
    fencing_token: u64,
    answer: Result<u64, RequestError>,
) -> bool {
    debug!(shared.log, "start answered"; "task" => %key.0, "run" => key.1,
        "target" => %held.target.borrow().id, "answer" => ?answer);
    let mut state = held.state.borrow_mut();
    // A poll may have reported the end before the start was answered.
    let Some(run) = state.runs.get_mut(&key) else {
        if let Ok(clock_ms) = answer {
            state.sync_clock(clock_ms);
        }
        return false;
    };
    let stopping = run.phase == Phase::Stopping;
    match answer {
        Ok(clock_ms) => {
            run.started_ms = Some(clock_ms);
            run.answered_at = Some(clock::now());
            if !stopping {
                run.phase = Phase::Running;
            }
            if state.is_clock_reset(clock_ms) {
                // The next poll shows what it is and what runs there.
                state.synced = false;
                held.poll_requested.notify();
            }
            state.sync_clock(clock_ms);
            stopping
        }
        Err(RequestError::Unknown) => {
            if !stopping {
                run.phase = Phase::Unconfirmed;
            }
            state.circuit_breaker.record_failure(clock::now());
            info!(shared.log, "start not confirmed"; "task" => %key.0, "run" => key.1,
                "target" => %held.target.borrow().id);
            drop(state);
            shared.record_lost_answer(held);
            held.poll_requested.notify();
            stopping
        }
        Err(error) => {
            let run = state.runs.remove(&key);
            drop(state);
            if let Some(run) = run {
                handle_refusal(shared, held, key, run, fencing_token, error);
            }
            shared.dispatch();
            false
        }
    }
}

/// Handles a start that certainly had no effect.
fn handle_refusal(
    shared: &Rc<Shared>,
    held: &Rc<HeldTarget>,
    key: RunKey,
    run: Run,
    fencing_token: u64,
    error: RequestError,
) {
    info!(shared.log, "start refused"; "task" => %key.0, "run" => key.1,
        "target" => %held.target.borrow().id, "fault" => %error);
    let reason = match error {
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
    match error {
        RequestError::LeaseExpired => state.clear_clock(),
        RequestError::Unhealthy
        | RequestError::Refused
        | RequestError::NotSent
        | RequestError::NoCapacity => state.circuit_breaker.record_failure(clock::now()),
        _ => {}
    }
    let fenced_off = error == RequestError::Fenced && fencing_token == state.fencing_token;
    drop(state);
    if fenced_off {
        shared.back_off(held, "another owner holds it");
    }
    if matches!(error, RequestError::LeaseExpired | RequestError::Restarted) {
        held.poll_requested.notify();
    }
    shared.requeue(key, run);
}

/// Requests the stop of a run until a poll shows that it is gone.
pub(super) async fn stop_until_gone(shared: Rc<Shared>, held: Rc<HeldTarget>, key: RunKey) {
    loop {
        let fencing_token = {
            let state = held.state.borrow();
            if held.released.get() || !state.runs.contains_key(&key) {
                return;
            }
            state.fencing_token
        };
        let target = held.target.borrow().clone();
        let stopped = shared
            .target_client
            .stop(&target, key.0, key.1, fencing_token)
            .await;
        match stopped {
            Ok(clock_ms) => held.state.borrow_mut().sync_clock(clock_ms),
            Err(error) => {
                debug!(shared.log, "stop failed"; "task" => %key.0, "run" => key.1,
                    "target" => %target.id, "fault" => %error);
            }
        }
        clock::sleep(STOP_RETRY_DELAY).await;
    }
}
