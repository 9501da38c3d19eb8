//! From a submission to its answer.

use std::{rc::Rc, time::Duration};

use bluebellpath_dispatch::{self as dispatch, KindId, Reason, TeamId};
use bluebellpath_runtime::{clock, spawn};

use super::{
    Refusal,
    job::{Cause, Ending, Job},
    pump,
    state::State,
};
use crate::{
    job::{Answer, Digest, Id, Outcome, Submission},
    owner::Claim,
};

/// Submits a job, or joins one with the same id, and waits for the answer.
pub(super) async fn submit(
    state: &Rc<State>,
    id: Id,
    submission: Submission,
) -> Result<Rc<Answer>, Refusal> {
    check(&submission)?;
    if let Some(job) = state.jobs.find(&id) {
        if job.digest != Digest::of(&submission) {
            return Err(Refusal::Mismatch { id });
        }
        return Ok(job.answered().await);
    }
    if state.jobs.len() >= state.config.max_jobs {
        return Err(Refusal::Full { id });
    }
    let view = state.env.config.view();
    let job = Rc::new(Job::new(id, state.jobs.number(), submission, view));
    state.jobs.insert(job.clone());
    // A task of its own: the job goes on when the caller's connection ends.
    drop(spawn(drive(state.clone(), job.clone())));
    let answer = job.answered().await;
    match state.jobs.find(&job.id) {
        Some(_) => Ok(answer),
        None => Err(Refusal::Mismatch { id: job.id.clone() }),
    }
}

async fn drive(state: Rc<State>, job: Rc<Job>) {
    match claim(&state, &job).await {
        Right::Ours => queue(&state, &job),
        Right::Elsewhere(outcome, detail) => {
            job.set_cause(Cause {
                detail,
                retry_after_ms: None,
            });
            pump::answer(&state, &job, outcome);
        }
        Right::Mismatch => {
            state.jobs.remove(&job);
            job.finish(Outcome::NotRun);
        }
    }
}

/// Whether this instance may start a job.
enum Right {
    Ours,
    Elsewhere(Outcome, String),
    Mismatch,
}

async fn claim(state: &State, job: &Job) -> Right {
    let unknown = |detail: &str| Right::Elsewhere(Outcome::Unknown, detail.to_owned());
    let key = match &job.id {
        Id::Ticket(ticket) if state.issued(ticket) => return Right::Ours,
        Id::Ticket(_) => return unknown("the instance that issued the ticket is gone"),
        Id::Key(key) => key,
    };
    match state.claims.claim(key, job.digest).await {
        Ok(Claim::Granted) => Right::Ours,
        Ok(Claim::Taken(_)) => unknown("the key was claimed by an instance that is gone"),
        Ok(Claim::Mismatch) => Right::Mismatch,
        Err(error) => {
            // Nothing of the job ran, whatever became of the claim: this
            // instance is the only one that could have started it.
            let detail = format!("the key could not be claimed: {error}");
            Right::Elsewhere(Outcome::NotRun, detail)
        }
    }
}

fn queue(state: &Rc<State>, job: &Rc<Job>) {
    let submission = &job.submission;
    let task = |(index, it): (usize, &crate::job::Spec)| dispatch::Task {
        index: index as u32,
        kind: KindId(state.kinds.number(&it.kind)),
        size: it.size,
        declared: it.run_time_ms.map(Duration::from_millis),
        idempotent: it.idempotent,
    };
    let queued = dispatch::Job {
        id: job.number,
        team: TeamId(state.teams.number(&submission.team)),
        deadline: job.submitted + Duration::from_millis(submission.deadline_ms),
        bytes: submission
            .tasks
            .iter()
            .map(|it| it.payload.len() as u64)
            .sum(),
        tasks: submission.tasks.iter().enumerate().map(task).collect(),
    };
    let submitted = state.dispatcher.borrow_mut().submit(queued, clock::now());
    match submitted {
        Ok(()) => state.work.notify(),
        Err(refusal) => {
            refuse(job, refusal);
            pump::answer(state, job, Outcome::NotRun);
        }
    }
}

fn refuse(job: &Job, refusal: dispatch::Refusal) {
    let detail = match refusal.reason {
        Reason::TooLarge => "no target takes tasks of this size",
        Reason::Deadline => "the deadline is below the least possible time",
        Reason::Quota => "the team is over its quota",
        Reason::Overload => "too much work waits already",
    };
    let retry_after_ms = refusal.retry_after.map(|it| it.as_millis() as u64);
    job.set_cause(Cause {
        detail: detail.to_owned(),
        retry_after_ms,
    });
    for index in 0..job.submission.tasks.len() {
        job.ended(index as u32, Ending::not_run());
    }
}

fn check(submission: &Submission) -> Result<(), Refusal> {
    let invalid = |field: String, found: String, allowed: &str| Refusal::Invalid {
        field,
        found,
        allowed: allowed.to_owned(),
    };
    let tasks = submission.tasks.len();
    if tasks == 0 || tasks > Submission::MAX_TASKS {
        return Err(invalid(
            "tasks".to_owned(),
            format!("{tasks} tasks"),
            "1 to 190 tasks",
        ));
    }
    if submission.deadline_ms == 0 {
        return Err(invalid(
            "deadline_ms".to_owned(),
            "0".to_owned(),
            "1 or more",
        ));
    }
    for (index, task) in submission.tasks.iter().enumerate() {
        if task.size == 0 {
            let field = format!("tasks[{index}].size");
            return Err(invalid(field, "0".to_owned(), "1 or more"));
        }
    }
    Ok(())
}
