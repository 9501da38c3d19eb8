//! Execution of the dispatcher's assignments.

use std::{rc::Rc, time::Duration};

use bluebellpath_dispatch::{self as dispatch, Assignment, Dropped, NextStep, NotStarted, Report};
use bluebellpath_runtime::{clock, spawn};
use futures_util::future::{Either, select};
use slog::{debug, warn};

use super::{
    InjectedFault, audit, evict,
    fence::Right,
    job::{Cause, Ending, Job},
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
        let work = state.work.notified();
        expire(&state);
        state.credit.lapse_if_late(&state);
        start_all(&state);
        let expiry = state.dispatcher.borrow().next_expiry(clock::now());
        match expiry {
            Some(expiry) => {
                let work = std::pin::pin!(work);
                if let Either::Left(_) = select(work, clock::sleep_until(expiry)).await {}
            }
            None => work.await,
        }
    }
}

fn start_all(state: &Rc<State>) {
    loop {
        let assignment = state.dispatcher.borrow_mut().next(clock::now());
        let Some(assignment) = assignment else { return };
        let job = state.jobs.get(assignment.job);
        let target = state.targets.borrow().get(&assignment.target).cloned();
        match (job, target) {
            (Some(job), Some(target)) => {
                let list_age = clock::now().saturating_since(state.listed.get());
                job.list_age.set(job.list_age.get().max(list_age));
                job.started(assignment.task, target.clone());
                drop(spawn(start(state.clone(), job, assignment, target)));
            }
            _ => {
                let ending = dispatch::Ending::NotStarted(NotStarted::Leaving);
                report(state, assignment, ending, Duration::ZERO);
            }
        }
    }
}

fn expire(state: &Rc<State>) {
    let dropped = state.dispatcher.borrow_mut().expire(clock::now());
    not_run(state, &dropped, "no slot came free before the deadline");
}

/// Ends dropped tasks as not run.
fn not_run(state: &State, dropped: &[Dropped], detail: &str) {
    for dropped in dropped {
        if let Some(job) = state.jobs.get(dropped.job) {
            job.set_cause(Cause {
                detail: detail.to_owned(),
                retry_after_ms: None,
            });
            end(state, &job, dropped.task, Ending::not_run());
        }
    }
}

async fn start(state: Rc<State>, job: Rc<Job>, assignment: Assignment, target: Rc<Instance>) {
    let began = clock::now();
    let spec = &job.submission.tasks[assignment.task as usize];
    let task = job.task(assignment.task);
    let fence = Rc::new(Right {
        job: job.clone(),
        held_until: state.claims.held_until(),
        injected_fault: state.config.injected_fault,
    });
    let start = Start {
        task: &task,
        target: &target,
        kind: &spec.kind,
        payload: &spec.payload,
        size: spec.size,
        lease: state.config.task_lease,
        timeout: job.deadline - began,
    };
    let result = state.deps.target_client.start(start, fence).await;
    let elapsed = clock::now() - began;
    let (ending, task_ending) = endings(result, elapsed, &state, &job);
    state.meters.started(ending);
    if report(&state, assignment, ending, elapsed) == NextStep::Requeued {
        job.requeued(assignment.task);
    } else {
        let failed = task_ending.outcome != Outcome::Complete;
        end(&state, &job, assignment.task, task_ending);
        if failed {
            abandon(&state, &job);
        }
    }
    state.work.notify();
}

/// Drops the waiting tasks of a job that can no longer complete.
fn abandon(state: &State, job: &Job) {
    let dropped = state.dispatcher.borrow_mut().cancel(job.number);
    not_run(state, &dropped, "another task of the job came to nothing");
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

fn endings(
    result: Result<target::Reply, target::Error>,
    elapsed: Duration,
    state: &State,
    job: &Job,
) -> (dispatch::Ending, Ending) {
    let elapsed_us = Some(elapsed.as_micros() as u64);
    let ran = |outcome, result| Ending {
        outcome,
        result,
        elapsed_us,
    };
    match result {
        Ok(reply) => match reply.status {
            Status::Complete => (
                dispatch::Ending::Complete,
                ran(Outcome::Complete, Some(reply.body)),
            ),
            Status::Failed => {
                job.set_cause(Cause {
                    detail: reply.body,
                    retry_after_ms: None,
                });
                (dispatch::Ending::Failed, ran(Outcome::Failed, None))
            }
            Status::Stopped => (dispatch::Ending::Stopped, ran(Outcome::Failed, None)),
        },
        Err(error) => {
            debug!(state.deps.log, "start failed"; "job" => %job.id, "error" => %error);
            match error.fault {
                Fault::NotStarted(reason) => (
                    dispatch::Ending::NotStarted(not_started(reason)),
                    Ending::not_run(),
                ),
                Fault::Unknown => {
                    let detail = error.to_string();
                    job.set_cause(Cause {
                        detail,
                        retry_after_ms: None,
                    });
                    let outcome = match state.config.injected_fault {
                        Some(InjectedFault::NotRunAfterSend) => Outcome::NotRun,
                        _ => Outcome::Unknown,
                    };
                    (dispatch::Ending::Unknown, ran(outcome, None))
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

fn end(state: &State, job: &Rc<Job>, index: u32, ending: Ending) {
    if job.ended(index, ending) {
        answer(state, job, job.outcome());
    }
}

/// Builds the answer to a job, records it and delivers it in the order of its
/// callers' jobs.
pub(super) fn answer(state: &State, job: &Rc<Job>, outcome: Outcome) {
    if job.is_answered() {
        return;
    }
    job.finish(outcome, state.config.injected_fault);
    let response = clock::now() - job.began;
    state.meters.answered(outcome, response, job.longest());
    end_claim(state, job, outcome);
    state.outcomes.count(&job.submission.team, outcome);
    audit::enter(state, job);
    if job.cancelled.get() && state.config.injected_fault == Some(InjectedFault::DropAnswer) {
        return;
    }
    for job in state.order.answered(job, outcome) {
        job.deliver();
    }
    evict::keep(state, job, outcome);
}

/// Stores the outcome with the claim of the key. A job of which no task ran may be
/// submitted again, unless it was cancelled.
fn end_claim(state: &State, job: &Job, outcome: Outcome) {
    if let (Id::Key(key), Some(grant)) = (&job.id, job.grant.get()) {
        let anew = outcome == Outcome::NotRun && !job.cancelled.get();
        let outcome = Some(outcome).filter(|_| !anew);
        state.claims.ended(key, job.digest, grant, outcome);
    }
}

/// Cancels a job: drops waiting tasks and tells targets to stop running ones.
pub(super) fn cancel(state: &Rc<State>, job: &Rc<Job>) {
    if job.is_answered() || job.cancelled.replace(true) {
        return;
    }
    job.set_cause(Cause {
        detail: "cancelled".to_owned(),
        retry_after_ms: None,
    });
    let dropped = state.dispatcher.borrow_mut().cancel(job.number);
    not_run(state, &dropped, "cancelled");
    for (index, target) in job.running() {
        let dispatcher = state.dispatcher.borrow();
        if !dispatcher.should_stop(job.number, index, clock::now()) {
            continue;
        }
        drop(dispatcher);
        let (state, task) = (state.clone(), job.task(index));
        drop(spawn(async move {
            state.meters.stopped();
            if let Err(error) = state.deps.target_client.stop(&target, &task).await {
                warn!(state.deps.log, "stop failed"; "task" => %task, "error" => %error);
            }
        }));
    }
}
