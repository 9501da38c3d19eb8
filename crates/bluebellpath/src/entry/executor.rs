//! Execution of the dispatcher's assignments.

use std::{rc::Rc, time::Duration};

use bluebellpath_dispatch::{self as dispatch, Assignment, Dropped, NextStep, NotStarted, Report};
use bluebellpath_runtime::{clock, spawn};
use futures_util::future::{Either, select};
use slog::{debug, warn};

use super::{
    InjectedFault, audit, evict,
    fence::StartFence,
    job::{FailureCause, Job, TaskResult},
    state::State,
};
use crate::{
    job::{Id, Outcome},
    platform::Instance,
    target::{self, Fault, Reason, Start, Status},
};

/// Starts tasks when slots become free and drops tasks whose deadline has passed;
/// never returns.
pub(super) async fn run(state: Rc<State>) {
    loop {
        let wakeup = state.executor_wakeup.notified();
        drop_expired(&state);
        state.credit.release_if_expired(&state);
        start_assigned(&state);
        let expiry = state.dispatcher.borrow().next_expiry(clock::now());
        match expiry {
            Some(expiry) => {
                let wakeup = std::pin::pin!(wakeup);
                if let Either::Left(_) = select(wakeup, clock::sleep_until(expiry)).await {}
            }
            None => wakeup.await,
        }
    }
}

fn start_assigned(state: &Rc<State>) {
    loop {
        let assignment = state.dispatcher.borrow_mut().next(clock::now());
        let Some(assignment) = assignment else { return };
        let job = state.jobs.get(assignment.job);
        let target = state.targets.borrow().get(&assignment.target).cloned();
        match (job, target) {
            (Some(job), Some(target)) => {
                let list_age = clock::now().saturating_since(state.list_read_at.get());
                job.max_list_age.set(job.max_list_age.get().max(list_age));
                job.task_started(assignment.task, target.clone());
                drop(spawn(start_task(state.clone(), job, assignment, target)));
            }
            _ => {
                let ending = dispatch::Ending::NotStarted(NotStarted::Leaving);
                report(state, assignment, ending, Duration::ZERO);
            }
        }
    }
}

fn drop_expired(state: &Rc<State>) {
    let dropped = state.dispatcher.borrow_mut().expire(clock::now());
    end_dropped(state, &dropped, "no slot came free before the deadline");
}

/// Ends dropped tasks as not run.
fn end_dropped(state: &State, dropped: &[Dropped], detail: &str) {
    for dropped in dropped {
        if let Some(job) = state.jobs.get(dropped.job) {
            job.set_cause(FailureCause {
                detail: detail.to_owned(),
                retry_after_ms: None,
            });
            end_task(state, &job, dropped.task, TaskResult::not_run());
        }
    }
}

async fn start_task(state: Rc<State>, job: Rc<Job>, assignment: Assignment, target: Rc<Instance>) {
    let started = clock::now();
    let spec = &job.submission.tasks[assignment.task as usize];
    let task = job.task_id(assignment.task);
    let fence = Rc::new(StartFence {
        job: job.clone(),
        claims_expiry: state.claims.held_until(),
        injected_fault: state.config.injected_fault,
    });
    let start = Start {
        task: &task,
        target: &target,
        kind: &spec.kind,
        payload: &spec.payload,
        size: spec.size,
        lease: state.config.task_lease,
        timeout: job.deadline - started,
    };
    let result = state.deps.target_client.start(start, fence).await;
    let elapsed = clock::now() - started;
    let (ending, task_result) = classify(result, elapsed, &state, &job);
    state.meters.started(ending);
    if report(&state, assignment, ending, elapsed) == NextStep::Requeued {
        job.task_requeued(assignment.task);
    } else {
        let failed = task_result.outcome != Outcome::Complete;
        end_task(&state, &job, assignment.task, task_result);
        if failed {
            drop_waiting(&state, &job);
        }
    }
    state.executor_wakeup.notify();
}

/// Drops the waiting tasks of a job that can no longer complete.
fn drop_waiting(state: &State, job: &Job) {
    let dropped = state.dispatcher.borrow_mut().cancel(job.number);
    end_dropped(state, &dropped, "another task of the job came to nothing");
}

fn report(
    state: &State,
    assignment: Assignment,
    ending: dispatch::Ending,
    elapsed: Duration,
) -> NextStep {
    let report = Report {
        assignment,
        ending,
        elapsed,
    };
    state.dispatcher.borrow_mut().finish(report, clock::now())
}

fn classify(
    result: Result<target::Reply, target::Error>,
    elapsed: Duration,
    state: &State,
    job: &Job,
) -> (dispatch::Ending, TaskResult) {
    let elapsed_us = Some(elapsed.as_micros() as u64);
    let finished = |outcome, result| TaskResult {
        outcome,
        result,
        elapsed_us,
    };
    match result {
        Ok(reply) => match reply.status {
            Status::Complete => (
                dispatch::Ending::Complete,
                finished(Outcome::Complete, Some(reply.body)),
            ),
            Status::Failed => {
                job.set_cause(FailureCause {
                    detail: reply.body,
                    retry_after_ms: None,
                });
                (dispatch::Ending::Failed, finished(Outcome::Failed, None))
            }
            Status::Stopped => (dispatch::Ending::Stopped, finished(Outcome::Failed, None)),
        },
        Err(error) => {
            debug!(state.deps.log, "start failed"; "job" => %job.id, "error" => %error);
            match error.fault {
                Fault::NotStarted(reason) => (
                    dispatch::Ending::NotStarted(not_started(reason)),
                    TaskResult::not_run(),
                ),
                Fault::Unknown => {
                    let detail = error.to_string();
                    job.set_cause(FailureCause {
                        detail,
                        retry_after_ms: None,
                    });
                    let outcome = match state.config.injected_fault {
                        Some(InjectedFault::NotRunAfterSend) => Outcome::NotRun,
                        _ => Outcome::Unknown,
                    };
                    (dispatch::Ending::Unknown, finished(outcome, None))
                }
            }
        }
    }
}

fn not_started(reason: Reason) -> NotStarted {
    match reason {
        Reason::Unreachable => NotStarted::Unreachable,
        Reason::Connections | Reason::Full => NotStarted::Full,
        Reason::Leaving => NotStarted::Leaving,
        Reason::Unsupported => NotStarted::Unsupported,
        Reason::Lapsed => NotStarted::LeaseExpired,
    }
}

fn end_task(state: &State, job: &Rc<Job>, index: u32, result: TaskResult) {
    if job.task_ended(index, result) {
        answer_job(state, job, job.outcome());
    }
}

/// Builds the answer to a job, records it and delivers it in the order of its
/// callers' jobs.
pub(super) fn answer_job(state: &State, job: &Rc<Job>, outcome: Outcome) {
    if job.is_answered() {
        return;
    }
    job.build_answer(outcome, state.config.injected_fault);
    let response = clock::now() - job.created;
    state.meters.answered(outcome, response, job.longest_run());
    store_claim_outcome(state, job, outcome);
    state.outcomes.count(&job.submission.team, outcome);
    audit::record_answer(state, job);
    if job.cancelled.get() && state.config.injected_fault == Some(InjectedFault::DropAnswer) {
        return;
    }
    for job in state.answer_order.take_deliverable(job, outcome) {
        job.deliver();
    }
    evict::schedule(state, job, outcome);
}

/// Stores the outcome with the claim of the key. A job of which no task ran may be
/// submitted again, unless it was cancelled.
fn store_claim_outcome(state: &State, job: &Job, outcome: Outcome) {
    if let (Id::Key(key), Some(grant)) = (&job.id, job.grant.get()) {
        let may_resubmit = outcome == Outcome::NotRun && !job.cancelled.get();
        let outcome = Some(outcome).filter(|_| !may_resubmit);
        state.claims.ended(key, job.digest, grant, outcome);
    }
}

/// Cancels a job: drops waiting tasks and tells targets to stop running ones.
pub(super) fn cancel(state: &Rc<State>, job: &Rc<Job>) {
    if job.is_answered() || job.cancelled.replace(true) {
        return;
    }
    job.set_cause(FailureCause {
        detail: "cancelled".to_owned(),
        retry_after_ms: None,
    });
    let dropped = state.dispatcher.borrow_mut().cancel(job.number);
    end_dropped(state, &dropped, "cancelled");
    for (index, target) in job.running_tasks() {
        let dispatcher = state.dispatcher.borrow();
        if !dispatcher.should_stop(job.number, index, clock::now()) {
            continue;
        }
        drop(dispatcher);
        let (state, task) = (state.clone(), job.task_id(index));
        drop(spawn(async move {
            state.meters.stopped();
            if let Err(error) = state.deps.target_client.stop(&target, &task).await {
                warn!(state.deps.log, "stop failed"; "task" => %task, "error" => %error);
            }
        }));
    }
}
