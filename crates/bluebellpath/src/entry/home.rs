//! Submission of jobs whose home is this instance.

use std::{rc::Rc, time::Duration};

use bluebellpath_dispatch::{self as dispatch, KindId, TeamId};
use bluebellpath_runtime::{Instant, clock, spawn};

use super::{
    InjectedFault, Refusal, doubt, evict,
    job::{Cause, Ending, Job, Verdict},
    pump,
    state::State,
    taken,
};
use crate::{
    job::{Answer, Digest, Id, Key, Outcome, RefusalReason, Submission, Ticket},
    owner::{Claim, Grant, Lookup, TicketState},
};

/// Delay before a caller should retry at an instance that is starting, in
/// milliseconds.
const STARTING_RETRY_MS: u64 = 1000;

/// Result of a submission at its home instance.
pub(super) enum Settled {
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
    waited: Duration,
) -> Settled {
    if let Some(settled) = join(state, id, submission).await {
        return settled;
    }
    // Most instances get their configuration within a few milliseconds.
    state.deps.config.ready().await;
    let waited = waited + (clock::now() - arrived);
    if let Err(settled) = admit(state, id, submission, waited).await {
        return settled;
    }
    // Another request with the same id may have arrived during the lookup.
    if let Some(settled) = join(state, id, submission).await {
        return settled;
    }
    if !evict::make_room(state) {
        return Settled::Refusal(Refusal::Full { id: id.clone() });
    }
    if let Id::Ticket(ticket) = id {
        state.tickets.mark(ticket);
    }
    let number = state.jobs.number();
    let view = state.deps.config.view();
    let job = Job::new(id.clone(), number, submission.clone(), view, waited);
    let job = Rc::new(job);
    state.jobs.insert(job.clone());
    state.order.admit(&job);
    // Spawned, so that the job continues if the caller disconnects.
    drop(spawn(drive(state.clone(), job.clone())));
    settled(id, job.settled().await)
}

/// Waits for the result of the job with this id; `None` if there is no such job.
pub(super) async fn join(state: &State, id: &Id, submission: &Submission) -> Option<Settled> {
    let digest = Digest::of(submission);
    loop {
        let job = state.jobs.find(id)?;
        if job.digest == digest {
            return Some(settled(id, job.settled().await));
        }
        // The contents differ: only the claim decides which of the two
        // submissions the id belongs to.
        job.decided().await;
        if state
            .jobs
            .find(id)
            .is_some_and(|it| it.number == job.number)
        {
            return Some(settled(id, Verdict::Mismatch));
        }
    }
}

fn settled(id: &Id, verdict: Verdict) -> Settled {
    match verdict {
        Verdict::Answer(answer) => Settled::Answer(answer),
        Verdict::Mismatch => Settled::Refusal(Refusal::Mismatch { id: id.clone() }),
        Verdict::Moved => Settled::Moved,
    }
}

/// Answers submissions that need no job: those with a used ticket, and those that
/// can't run.
///
/// # Errors
///
/// Returns the result for such a submission.
async fn admit(
    state: &State,
    id: &Id,
    submission: &Submission,
    waited: Duration,
) -> Result<(), Settled> {
    let unknown = |detail| Settled::Answer(doubt::unknown(state, id, Some(submission), detail));
    if let Id::Ticket(ticket) = id {
        fresh(state, ticket).map_err(unknown)?;
    }
    let Some((reason, detail)) = hopeless(state, submission, waited) else {
        return Ok(());
    };
    if let Id::Key(key) = id {
        match state.claims.find(key).await {
            Lookup::Unused => {}
            Lookup::Used(claimed) => {
                return Err(
                    match taken::submitted(state, id, submission, &claimed).await {
                        Ok(answer) => Settled::Answer(answer),
                        Err(refusal) => Settled::Refusal(refusal),
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
    let mut answer = doubt::answer(state, id, Some(submission), not_run, detail);
    let refused = Rc::make_mut(&mut answer);
    refused.reason = Some(reason);
    refused.retry_after_ms = (reason == RefusalReason::Starting).then_some(STARTING_RETRY_MS);
    state.meters.answered(not_run, waited, None);
    Err(Settled::Answer(answer))
}

fn fresh(state: &State, ticket: &Ticket) -> Result<(), &'static str> {
    match state.tickets.state(ticket) {
        TicketState::Fresh => Ok(()),
        TicketState::Used if state.config.injected_fault == Some(InjectedFault::ReuseId) => Ok(()),
        TicketState::Used => Err("the ticket was used; its answer is no longer kept"),
        TicketState::Expired => Err("the ticket is too old to tell whether it was used"),
        TicketState::Unissued => Err("the ticket was never issued"),
    }
}

/// Returns the reason for which a job can't run; `None` if it may run.
fn hopeless(
    state: &State,
    submission: &Submission,
    waited: Duration,
) -> Option<(RefusalReason, &'static str)> {
    if !state.deps.config.is_ready() {
        return Some((
            RefusalReason::Starting,
            "this instance has no configuration yet",
        ));
    }
    if waited >= Duration::from_millis(submission.deadline_ms) {
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
enum Right {
    Ours,
    Moved,
    Taken(Settled),
    Unknown(&'static str),
}

async fn drive(state: Rc<State>, job: Rc<Job>) {
    match right(&state, &job).await {
        Right::Ours => {
            job.own();
            queue(&state, &job);
        }
        Right::Moved => leave(&state, &job, Verdict::Moved),
        Right::Taken(Settled::Answer(answer)) => leave(&state, &job, Verdict::Answer(answer)),
        Right::Taken(Settled::Refusal(_)) => leave(&state, &job, Verdict::Mismatch),
        Right::Taken(Settled::Moved) => leave(&state, &job, Verdict::Moved),
        Right::Unknown(detail) => {
            job.doubt();
            job.set_cause(Cause {
                detail: detail.to_owned(),
                retry_after_ms: None,
            });
            pump::answer(&state, &job, Outcome::Unknown);
            state.jobs.remove(&job);
        }
    }
}

/// Removes a job that this instance doesn't own and tells the waiting requests
/// `verdict`.
fn leave(state: &State, job: &Job, verdict: Verdict) {
    state.jobs.remove(job);
    job.settle(verdict);
    for job in state.order.leave(job) {
        job.deliver();
    }
}

async fn right(state: &State, job: &Job) -> Right {
    let Id::Key(key) = &job.id else {
        return Right::Ours;
    };
    if state.config.injected_fault == Some(InjectedFault::SkipClaim) {
        return Right::Ours;
    }
    match clock::timeout_at(job.deadline, state.claims.claim(key, job.digest)).await {
        Some(Claim::Granted(grant)) => granted(state, job, key, grant),
        Some(Claim::Taken(claimed)) => {
            let taken = taken::submitted(state, &job.id, &job.submission, &claimed).await;
            Right::Taken(match taken {
                Ok(answer) => Settled::Answer(answer),
                Err(refusal) => Settled::Refusal(refusal),
            })
        }
        Some(Claim::Moved) => Right::Moved,
        Some(Claim::Doubtful) => Right::Unknown(
            "the key may have been used by an instance that is gone; this request started nothing",
        ),
        Some(Claim::Busy) => {
            Right::Unknown("too many keys wait for the store; this request started nothing")
        }
        // The claim may still take effect and is reverted then, so no task of
        // this request ran. Whether the key was used before is unknown.
        None => Right::Unknown(
            "the store did not say whether the key was used before; this request started nothing",
        ),
    }
}

fn granted(state: &State, job: &Job, key: &Key, grant: Grant) -> Right {
    if clock::now() < job.deadline {
        job.grant.set(Some(grant));
        return Right::Ours;
    }
    state.claims.ended(key, job.digest, grant, None);
    Right::Unknown("the claim came too late; this request started nothing")
}

fn queue(state: &Rc<State>, job: &Rc<Job>) {
    if job.cancelled.get() {
        return pump::answer(state, job, Outcome::NotRun);
    }
    let submission = &job.submission;
    let task = |(index, it): (usize, &crate::job::TaskSpec)| dispatch::Task {
        index: index as u32,
        kind: KindId(state.kinds.number(&it.kind)),
        size: it.size,
        declared_run_time: it.run_time_ms.map(Duration::from_millis),
        idempotent: it.idempotent,
    };
    let queued = dispatch::Job {
        id: job.number,
        team: TeamId(state.teams.number(&submission.team)),
        deadline: job.deadline,
        input_bytes: submission
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
    job.set_reason(reason);
    let retry_after_ms = refusal.retry_after.map(|it| it.as_millis() as u64);
    job.set_cause(Cause {
        detail: detail.to_owned(),
        retry_after_ms,
    });
    for index in 0..job.submission.tasks.len() {
        job.ended(index as u32, Ending::not_run());
    }
}
