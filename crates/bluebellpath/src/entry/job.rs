//! State of a job in an entry instance.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use bluebellpath_dispatch::JobId;
use bluebellpath_runtime::{Instant, Notify, clock};

use super::InjectedFault;
use crate::{
    config::View,
    job::{Answer, Digest, Id, Outcome, RefusalReason, Submission, TaskAnswer, TaskId},
    owner::Grant,
    platform::Instance,
    record::Right,
};

/// Result that requests waiting for a job get.
#[derive(Clone, Debug)]
pub(super) enum Verdict {
    /// The answer.
    Answer(Rc<Answer>),
    /// The id belongs to a job with a different content.
    Mismatch,
    /// Another instance owns the job; no task started here.
    Moved,
}

/// Reason for which a job is not complete, and when to retry.
#[derive(Clone, Debug, Default)]
pub(super) struct Cause {
    pub(super) detail: String,
    pub(super) retry_after_ms: Option<u64>,
}

/// State of a task.
#[derive(Clone, Debug)]
enum Place {
    Waiting,
    Running(Rc<Instance>),
    Ended,
}

struct Slot {
    place: Place,
    part: TaskAnswer,
}

/// State of a job in an entry instance.
pub(super) struct Job {
    pub(super) id: Id,
    pub(super) number: JobId,
    pub(super) digest: Digest,
    pub(super) submission: Submission,
    pub(super) view: Rc<View>,
    pub(super) began: Instant,
    pub(super) submitted_ms: u64,
    pub(super) deadline: Instant,
    pub(super) cancelled: Cell<bool>,
    pub(super) grant: Cell<Option<Grant>>,
    /// Maximum age of the instance list when a task was started.
    pub(super) list_age: Cell<Duration>,
    /// True once this instance may start the job.
    owned: Cell<bool>,
    slots: RefCell<Vec<Slot>>,
    left: Cell<usize>,
    cause: RefCell<Option<Cause>>,
    reason: Cell<Option<RefusalReason>>,
    answer: RefCell<Option<Rc<Answer>>>,
    verdict: RefCell<Option<Verdict>>,
    done: Notify,
}

impl Job {
    /// Creates a job whose request has been in transit for `waited`.
    pub(super) fn new(
        id: Id,
        number: JobId,
        submission: Submission,
        view: Rc<View>,
        waited: Duration,
    ) -> Job {
        let limit = Duration::from_millis(submission.deadline_ms);
        let slots: Vec<Slot> = submission
            .tasks
            .iter()
            .map(|it| Slot::new(&it.caller))
            .collect();
        Job {
            id,
            number,
            digest: Digest::of(&submission),
            view,
            began: clock::now(),
            submitted_ms: clock::wall(),
            deadline: clock::now() + limit.saturating_sub(waited),
            cancelled: Cell::new(false),
            grant: Cell::new(None),
            list_age: Cell::default(),
            owned: Cell::new(false),
            left: Cell::new(slots.len()),
            slots: RefCell::new(slots),
            submission,
            cause: RefCell::default(),
            reason: Cell::new(None),
            answer: RefCell::default(),
            verdict: RefCell::default(),
            done: Notify::new(),
        }
    }

    /// Returns the id of the task at `index`.
    pub(super) fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id.clone(),
            index,
        }
    }

    /// Marks a task as being started on `target`.
    pub(super) fn started(&self, index: u32, target: Rc<Instance>) {
        let mut slots = self.slots.borrow_mut();
        let slot = &mut slots[index as usize];
        slot.part.target = Some(target.name.clone());
        slot.place = Place::Running(target);
    }

    /// Marks a task as waiting again, because it certainly didn't start.
    pub(super) fn requeued(&self, index: u32) {
        let mut slots = self.slots.borrow_mut();
        let slot = &mut slots[index as usize];
        slot.part.target = None;
        slot.place = Place::Waiting;
    }

    /// Sets the result of a task; true if no other task of the job is unfinished.
    pub(super) fn ended(&self, index: u32, ending: Ending) -> bool {
        let mut slots = self.slots.borrow_mut();
        let slot = &mut slots[index as usize];
        if matches!(slot.place, Place::Ended) {
            return false;
        }
        slot.place = Place::Ended;
        slot.part.outcome = ending.outcome;
        slot.part.result = ending.result;
        slot.part.elapsed_us = ending.elapsed_us;
        if ending.outcome == Outcome::NotRun {
            slot.part.target = None;
        }
        self.left.set(self.left.get() - 1);
        self.left.get() == 0
    }

    /// Returns the indexes of the running tasks, with their targets.
    pub(super) fn running(&self) -> Vec<(u32, Rc<Instance>)> {
        let slots = self.slots.borrow();
        let running = slots
            .iter()
            .enumerate()
            .filter_map(|(index, it)| match &it.place {
                Place::Running(target) => Some((index as u32, target.clone())),
                Place::Waiting | Place::Ended => None,
            });
        running.collect()
    }

    /// Sets the reason for which the job was refused on admission.
    pub(super) fn set_reason(&self, reason: RefusalReason) {
        self.reason.set(Some(reason));
    }

    /// Sets the cause for which the job will not be complete, unless one is set.
    pub(super) fn set_cause(&self, cause: Cause) {
        self.cause.borrow_mut().get_or_insert(cause);
    }

    /// Returns the run time of the longest task; `None` if no task ran.
    pub(super) fn longest(&self) -> Option<Duration> {
        let slots = self.slots.borrow();
        let runs = slots.iter().filter_map(|it| it.part.elapsed_us);
        runs.max().map(Duration::from_micros)
    }

    /// Returns the outcome of the job. All of its tasks must have ended.
    pub(super) fn outcome(&self) -> Outcome {
        Outcome::of_job(self.slots.borrow().iter().map(|it| it.part.outcome))
    }

    /// Returns the distinct callers of the job.
    pub(super) fn callers(&self) -> BTreeSet<&str> {
        let tasks = self.submission.tasks.iter();
        tasks.map(|it| it.caller.as_str()).collect()
    }

    /// Builds the answer from the results of the tasks. [`Job::deliver`] sends it
    /// to the waiting requests.
    pub(super) fn finish(&self, outcome: Outcome, injected_fault: Option<InjectedFault>) {
        let mut parts: Vec<TaskAnswer> =
            self.slots.borrow_mut().iter_mut().map(Slot::take).collect();
        let cause = self.cause.borrow().clone().unwrap_or_default();
        if outcome != Outcome::Complete && injected_fault != Some(InjectedFault::PartialAnswer) {
            parts.iter_mut().for_each(|it| it.result = None);
        }
        if injected_fault == Some(InjectedFault::SwapCallers) {
            parts.reverse();
        }
        let detail = (!cause.detail.is_empty()).then_some(cause.detail);
        let answer = Answer {
            id: self.id.clone(),
            outcome,
            detail: detail.filter(|_| outcome != Outcome::Complete),
            reason: self.reason.get(),
            retry_after_ms: cause.retry_after_ms,
            parts,
            preset: self.view.document.preset.clone(),
            config_version: self.view.version,
        };
        *self.answer.borrow_mut() = Some(Rc::new(answer));
    }

    /// Sets the outcome of all tasks to unknown.
    pub(super) fn doubt(&self) {
        let mut slots = self.slots.borrow_mut();
        slots
            .iter_mut()
            .for_each(|it| it.part.outcome = Outcome::Unknown);
    }

    /// Sends the answer to all waiting requests.
    pub(super) fn deliver(&self) {
        if let Some(answer) = self.answer.borrow().clone() {
            self.settle(Verdict::Answer(answer));
        }
    }

    /// Sets the result and wakes all waiting requests.
    pub(super) fn settle(&self, verdict: Verdict) {
        *self.verdict.borrow_mut() = Some(verdict);
        self.done.notify();
    }

    /// Returns the answer, if it is known.
    pub(super) fn given(&self) -> Option<Rc<Answer>> {
        self.answer.borrow().clone()
    }

    /// Returns what gave this instance the right to start the job.
    pub(super) fn right(&self) -> Right {
        match &self.id {
            _ if !self.owned.get() => Right::None,
            Id::Ticket(_) => Right::Ticket,
            Id::Key(_) => Right::Claim,
        }
    }

    /// Marks the job as one that this instance may start.
    pub(super) fn own(&self) {
        self.owned.set(true);
        self.done.notify();
    }

    /// True if the answer is known.
    pub(super) fn is_answered(&self) -> bool {
        self.answer.borrow().is_some()
    }

    /// Waits until this instance may start the job, or until the job has a result.
    pub(super) async fn decided(&self) {
        loop {
            let done = self.done.notified();
            if self.owned.get() || self.verdict.borrow().is_some() {
                return;
            }
            done.await;
        }
    }

    /// Waits for the result.
    pub(super) async fn settled(&self) -> Verdict {
        loop {
            let done = self.done.notified();
            if let Some(verdict) = self.verdict.borrow().as_ref() {
                return verdict.clone();
            }
            done.await;
        }
    }
}

/// Result of a task.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    pub(super) outcome: Outcome,
    pub(super) result: Option<String>,
    pub(super) elapsed_us: Option<u64>,
}

impl Ending {
    /// Returns the result of a task that never started.
    pub(super) fn not_run() -> Ending {
        Ending {
            outcome: Outcome::NotRun,
            result: None,
            elapsed_us: None,
        }
    }
}

impl Slot {
    fn new(caller: &str) -> Slot {
        let part = TaskAnswer {
            caller: caller.to_owned(),
            outcome: Outcome::NotRun,
            target: None,
            result: None,
            elapsed_us: None,
        };
        Slot {
            place: Place::Waiting,
            part,
        }
    }

    fn take(&mut self) -> TaskAnswer {
        let result = self.part.result.take();
        TaskAnswer {
            result,
            ..self.part.clone()
        }
    }
}
