//! Submission of jobs whose home is this instance.

use std::{rc::Rc, time::Duration};

use bluebellpath_dispatch::{self as dispatch, KindId, TeamId};
use bluebellpath_runtime::{Instant, clock, spawn};

use super::{
    InjectedFault, Refusal, claimed_key, evict, executor,
    job::{FailureCause, Job, JobResult, TaskResult},
    state::State,
    untracked,
};
use crate::{
    job::{Answer, Digest, Id, Key, Outcome, RefusalReason, Submission, Ticket},
    owner::{Claim, Grant, Lookup, TicketState},
};

/// Delay before a caller should retry at an instance that is starting, in
/// milliseconds.
const STARTING_RETRY_MS: u64 = 1000;

/// Result of a submission at its home instance.
pub(super) enum HomeResult {
    /// Answer to the job.
    Answer(Rc<Answer>),
    /// The submission was refused.
    Refusal(Refusal),
    /// This instance is no longer the home.
    Moved,
}

/// Submits a job to this instance, or joins the job with the same id, and waits
/// for the answer.
pub(super) async fn submit(
    state: &Rc<State>,
    id: &Id,
    submission: &Submission,
    arrived: Instant,
    elapsed: Duration,
) -> HomeResult {
    if let Some(result) = join(state, id, submission).await {
        return result;
    }
    // Most instances get their configuration within a few milliseconds.
    state.deps.config.wait_ready().await;
    let elapsed = elapsed + (clock::now() - arrived);
    if let Err(result) = precheck(state, id, submission, elapsed).await {
        return result;
    }
    // Another request with the same id may have arrived during the lookup.
    if let Some(result) = join(state, id, submission).await {
        return result;
    }
    if !evict::make_room(state) {
        return HomeResult::Refusal(Refusal::Full { id: id.clone() });
    }
    if let Id::Ticket(ticket) = id {
        state.tickets.mark(ticket);
    }
    let number = state.jobs.next_number();
    let view = state.deps.config.view();
    let job = Job::new(id.clone(), number, submission.clone(), view, elapsed);
    let job = Rc::new(job);
    state.jobs.insert(job.clone());
    state.answer_order.add(&job);
    // Spawned, so that the job continues if the caller disconnects.
    drop(spawn(run_job(state.clone(), job.clone())));
    home_result(id, job.wait_result().await)
}

/// Waits for the result of the job with this id; `None` if there is no such job.
pub(super) async fn join(state: &State, id: &Id, submission: &Submission) -> Option<HomeResult> {
    let digest = Digest::of(submission);
    loop {
        let job = state.jobs.find(id)?;
        if job.digest == digest {
            return Some(home_result(id, job.wait_result().await));
        }
        // The contents differ: only the claim decides which of the two
        // submissions the id belongs to.
        job.wait_decision().await;
        if state
            .jobs
            .find(id)
            .is_some_and(|it| it.number == job.number)
        {
            return Some(home_result(id, JobResult::Mismatch));
        }
    }
}

fn home_result(id: &Id, result: JobResult) -> HomeResult {
    match result {
        JobResult::Answer(answer) => HomeResult::Answer(answer),
        JobResult::Mismatch => HomeResult::Refusal(Refusal::Mismatch { id: id.clone() }),
        JobResult::Moved => HomeResult::Moved,
    }
}

/// Checks whether a submission needs a job.
///
/// # Errors
///
/// Returns the result of a submission that needs none, because its ticket was used
/// or because it can't run.
async fn precheck(
    state: &State,
    id: &Id,
    submission: &Submission,
    elapsed: Duration,
) -> Result<(), HomeResult> {
    let unknown =
        |detail| HomeResult::Answer(untracked::unknown(state, id, Some(submission), detail));
    if let Id::Ticket(ticket) = id {
        check_ticket(state, ticket).map_err(unknown)?;
    }
    let Some((reason, detail)) = refusal_reason(state, submission, elapsed) else {
        return Ok(());
    };
    if let Id::Key(key) = id {
        match state.claims.find(key).await {
            Lookup::Unused => {}
            Lookup::Used(claimed) => {
                return Err(
                    match claimed_key::submit(state, id, submission, &claimed).await {
                        Ok(answer) => HomeResult::Answer(answer),
                        Err(refusal) => HomeResult::Refusal(refusal),
                    },
                );
            }
            Lookup::Unclear => {
                return Err(unknown(
                    "it can't run now; whether it ran before is not known",
                ));
            }
        }
    }
    let not_run = Outcome::NotRun;
    let mut answer = untracked::answer(state, id, Some(submission), not_run, detail);
    let refused = Rc::make_mut(&mut answer);
    refused.reason = Some(reason);
    refused.retry_after_ms = (reason == RefusalReason::Starting).then_some(STARTING_RETRY_MS);
    state.meters.answered(not_run, elapsed, None);
    Err(HomeResult::Answer(answer))
}

fn check_ticket(state: &State, ticket: &Ticket) -> Result<(), &'static str> {
    match state.tickets.state(ticket) {
        TicketState::Fresh => Ok(()),
        TicketState::Used if state.config.injected_fault == Some(InjectedFault::ReuseId) => Ok(()),
        TicketState::Used => Err("the ticket was used; its answer is no longer kept"),
        TicketState::Expired => Err("the ticket is too old to tell whether it was used"),
        TicketState::Unissued => Err("the ticket was never issued"),
    }
}

/// Returns the reason for which a job can't run; `None` if it may run.
fn refusal_reason(
    state: &State,
    submission: &Submission,
    elapsed: Duration,
) -> Option<(RefusalReason, &'static str)> {
    if !state.deps.config.is_ready() {
        return Some((
            RefusalReason::Starting,
            "this instance has no configuration yet",
        ));
    }
    if elapsed >= Duration::from_millis(submission.deadline_ms) {
        let detail = "the deadline passed before it could start";
        return Some((RefusalReason::Deadline, detail));
    }
    let targets = state.targets.borrow();
    let largest = targets.values().map(|it| it.slots).max()?;
    let too_large = submission.tasks.iter().any(|it| it.size > largest);
    let detail = "no target takes tasks of this size";
    too_large.then_some((RefusalReason::TooLarge, detail))
}

/// Whether this instance may start a job.
enum Permit {
    Granted,
    Moved,
    Claimed(HomeResult),
    Unknown(&'static str),
}

async fn run_job(state: Rc<State>, job: Rc<Job>) {
    match start_permit(&state, &job).await {
        Permit::Granted => {
            job.allow_start();
            enqueue(&state, &job);
        }
        Permit::Moved => drop_job(&state, &job, JobResult::Moved),
        Permit::Claimed(HomeResult::Answer(it)) => drop_job(&state, &job, JobResult::Answer(it)),
        Permit::Claimed(HomeResult::Refusal(_)) => drop_job(&state, &job, JobResult::Mismatch),
        Permit::Claimed(HomeResult::Moved) => drop_job(&state, &job, JobResult::Moved),
        Permit::Unknown(detail) => {
            job.set_outcomes_unknown();
            job.set_cause(FailureCause {
                detail: detail.to_owned(),
                retry_after_ms: None,
            });
            executor::answer_job(&state, &job, Outcome::Unknown);
            state.jobs.remove(&job);
        }
    }
}

/// Removes a job that this instance doesn't own and tells the waiting requests
/// `result`.
fn drop_job(state: &State, job: &Job, result: JobResult) {
    state.jobs.remove(job);
    job.set_result(result);
    for job in state.answer_order.remove(job) {
        job.deliver();
    }
}

async fn start_permit(state: &State, job: &Job) -> Permit {
    let Id::Key(key) = &job.id else {
        return Permit::Granted;
    };
    if state.config.injected_fault == Some(InjectedFault::SkipClaim) {
        return Permit::Granted;
    }
    match clock::timeout_at(job.deadline, state.claims.claim(key, job.digest)).await {
        Some(Claim::Granted(grant)) => accept_grant(state, job, key, grant),
        Some(Claim::Taken(claimed)) => {
            let answered = claimed_key::submit(state, &job.id, &job.submission, &claimed).await;
            Permit::Claimed(match answered {
                Ok(answer) => HomeResult::Answer(answer),
                Err(refusal) => HomeResult::Refusal(refusal),
            })
        }
        Some(Claim::Moved) => Permit::Moved,
        Some(Claim::Doubtful) => Permit::Unknown(
            "the key may have been used by an instance that is gone; this request started nothing",
        ),
        Some(Claim::Busy) => {
            Permit::Unknown("too many keys wait for the store; this request started nothing")
        }
        // The claim may still take effect and is reverted then, so no task of
        // this request ran. Whether the key was used before is unknown.
        None => Permit::Unknown(
            "the store did not say whether the key was used before; this request started nothing",
        ),
    }
}

fn accept_grant(state: &State, job: &Job, key: &Key, grant: Grant) -> Permit {
    if clock::now() < job.deadline {
        job.grant.set(Some(grant));
        return Permit::Granted;
    }
    state.claims.ended(key, job.digest, grant, None);
    Permit::Unknown("the claim came too late; this request started nothing")
}

fn enqueue(state: &Rc<State>, job: &Rc<Job>) {
    if job.cancelled.get() {
        return executor::answer_job(state, job, Outcome::NotRun);
    }
    let submission = &job.submission;
    let task = |(index, it): (usize, &crate::job::TaskSpec)| dispatch::Task {
        index: index as u32,
        kind: KindId(state.kind_ids.intern(&it.kind)),
        size: it.size,
        declared_run_time: it.run_time_ms.map(Duration::from_millis),
        idempotent: it.idempotent,
    };
    let queued_job = dispatch::Job {
        id: job.number,
        team: TeamId(state.team_ids.intern(&submission.team)),
        deadline: job.deadline,
        input_bytes: submission
            .tasks
            .iter()
            .map(|it| it.payload.len() as u64)
            .sum(),
        tasks: submission.tasks.iter().enumerate().map(task).collect(),
    };
    let submitted = state
        .dispatcher
        .borrow_mut()
        .submit(queued_job, clock::now());
    match submitted {
        Ok(()) => state.executor_wakeup.notify(),
        Err(refusal) => {
            set_refusal(job, refusal);
            executor::answer_job(state, job, Outcome::NotRun);
        }
    }
}

fn set_refusal(job: &Job, refusal: dispatch::Refusal) {
    let (reason, detail) = match refusal.reason {
        dispatch::Reason::TooLarge => (
            RefusalReason::TooLarge,
            "no target takes tasks of this size",
        ),
        dispatch::Reason::Deadline => (
            RefusalReason::Deadline,
            "the deadline is below the least possible time",
        ),
        dispatch::Reason::Quota => (RefusalReason::Quota, "the team is over its quota"),
        dispatch::Reason::Overload => (RefusalReason::Overload, "too much work waits already"),
    };
    job.set_refusal_reason(reason);
    let retry_after_ms = refusal.retry_after.map(|it| it.as_millis() as u64);
    job.set_cause(FailureCause {
        detail: detail.to_owned(),
        retry_after_ms,
    });
    for index in 0..job.submission.tasks.len() {
        job.task_ended(index as u32, TaskResult::not_run());
    }
}
