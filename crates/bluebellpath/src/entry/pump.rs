//! Starts what the dispatcher assigns and takes in how it ended.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bluebellpath_dispatch::{self as dispatch, Assignment, Dropped, Next, NotStarted, Report};
use bluebellpath_runtime::{clock, spawn};
use futures_util::future::{Either, select};
use slog::{debug, warn};

use super::{
    job::{Cause, Ending, Job},
    state::State,
};
use crate::{
    job::Outcome,
    platform::{Instance, Role},
    record,
    target::{self, Fault, Open, Reason, Start, Status},
};

/// Starts tasks as slots come free, and drops those that are too late.
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

/// Answers for tasks that will not be started.
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
    let deadline = job.submitted + Duration::from_millis(job.submission.deadline_ms);
    let start = Start {
        task: &task,
        target: &target,
        kind: &spec.kind,
        payload: &spec.payload,
        size: spec.size,
        lease: state.config.task_lease,
        timeout: deadline - began,
    };
    let result = state.env.targets.start(start, Rc::new(Open)).await;
    let elapsed = clock::now() - began;
    let (ending, task_ending) = endings(result, elapsed, &state, &job);
    if report(&state, assignment, ending, elapsed) == Next::Requeued {
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

/// Drops what waits of a job that can't be answered whole any more.
fn abandon(state: &State, job: &Job) {
    let dropped = state.dispatcher.borrow_mut().cancel(job.number);
    not_run(state, &dropped, "another task of the job came to nothing");
}

fn report(
    state: &State,
    assignment: Assignment,
    ending: dispatch::Ending,
    elapsed: Duration,
) -> Next {
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
            debug!(state.env.log, "start failed"; "job" => %job.id, "error" => %error);
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
                    (dispatch::Ending::Unknown, ran(Outcome::Unknown, None))
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
        Reason::Lapsed => NotStarted::Lapsed,
    }
}

fn end(state: &State, job: &Rc<Job>, index: u32, ending: Ending) {
    if job.ended(index, ending) {
        answer(state, job, job.outcome());
    }
}

/// Gives the job's answer and enters it in the record.
pub(super) fn answer(state: &State, job: &Rc<Job>, outcome: Outcome) {
    if job.is_answered() {
        return;
    }
    job.finish(outcome);
    state.record.append(record::Entry {
        job: job.id.clone(),
        instance: state.config.name.clone(),
        incarnation: state.config.incarnation,
        submitted_ms: job.submitted_ms,
        answered_ms: clock::wall(),
        deadline_ms: job.submission.deadline_ms,
        outcome,
        preset: job.view.document.preset.clone(),
        config_version: job.view.version,
        unconfirmed_since: job.view.unconfirmed_since,
    });
}

/// Cancels a job: what waits never starts, what runs is told to stop.
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
            if let Err(error) = state.env.targets.stop(&target, &task).await {
                warn!(state.env.log, "stop failed"; "task" => %task, "error" => %error);
            }
        }));
    }
}

/// Keeps the dispatcher's targets as the instance list has them.
pub(super) async fn follow_targets(state: Rc<State>) {
    let mut first = true;
    loop {
        match state.env.instances.instances().await {
            Ok(instances) => {
                state.membership.observe(&instances);
                set_targets(&state, instances);
                if std::mem::take(&mut first) {
                    state.membership.greet(state.as_ref());
                }
            }
            Err(error) => warn!(state.env.log, "no instance list"; "error" => %error),
        }
        clock::sleep(state.config.list_interval).await;
    }
}

fn set_targets(state: &State, instances: Vec<Instance>) {
    let ours = |it: &Instance| it.role == Role::Target && it.domain == state.config.domain;
    let listed: Vec<Instance> = instances.into_iter().filter(ours).collect();
    let id = |it: &Instance| dispatch::TargetId(state.target_names.number(&it.name));
    let ids: BTreeSet<dispatch::TargetId> = listed.iter().map(id).collect();
    let mut gone: Vec<_> = state.targets.borrow().keys().copied().collect();
    gone.sort_unstable();
    for target in gone.into_iter().filter(|it| !ids.contains(it)) {
        state.dispatcher.borrow_mut().remove_target(target);
    }
    let targets = listed.iter().map(|it| (id(it), Rc::new(it.clone())));
    *state.targets.borrow_mut() = targets.collect();
    state.credit.observe(state, &listed);
}
