//! A job in one entry instance.

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

/// What those who wait for a job are told.
#[derive(Clone, Debug)]
pub(super) enum Verdict {
    /// The answer.
    Answer(Rc<Answer>),
    /// The id belongs to a job with other content.
    Mismatch,
    /// The job is another instance's; nothing of it started here.
    Moved,
}

/// Why a job is not complete, and when to ask again.
#[derive(Clone, Debug, Default)]
pub(super) struct Cause {
    pub(super) detail: String,
    pub(super) retry_after_ms: Option<u64>,
}

/// Where a task stands.
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

/// A job in one entry instance.
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
    /// Greatest age of the instance list when a task was handed over.
    pub(super) list_age: Cell<Duration>,
    /// True once this instance has the right to start the job.
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
    /// Job whose request has been on its way for `waited`.
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

    /// Id of the task at `index`.
    pub(super) fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id.clone(),
            index,
        }
    }

    /// Notes that a task is being handed to `target`.
    pub(super) fn started(&self, index: u32, target: Rc<Instance>) {
        let mut slots = self.slots.borrow_mut();
        let slot = &mut slots[index as usize];
        slot.part.target = Some(target.name.clone());
        slot.place = Place::Running(target);
    }

    /// Notes that a task waits again because it certainly never started.
    pub(super) fn requeued(&self, index: u32) {
        let mut slots = self.slots.borrow_mut();
        let slot = &mut slots[index as usize];
        slot.part.target = None;
        slot.place = Place::Waiting;
    }

    /// Notes the end of a task; true when it was the job's last one.
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

    /// Targets that run tasks of this job now, with the tasks' places.
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

    /// Remembers that the job was refused at the door.
    pub(super) fn set_reason(&self, reason: RefusalReason) {
        self.reason.set(Some(reason));
    }

    /// Remembers why the job will not be complete; the first cause stays.
    pub(super) fn set_cause(&self, cause: Cause) {
        self.cause.borrow_mut().get_or_insert(cause);
    }

    /// Run of the longest task, where one is known.
    pub(super) fn longest(&self) -> Option<Duration> {
        let slots = self.slots.borrow();
        let runs = slots.iter().filter_map(|it| it.part.elapsed_us);
        runs.max().map(Duration::from_micros)
    }

    /// Outcome of the job, given that all of its tasks have ended.
    pub(super) fn outcome(&self) -> Outcome {
        Outcome::of_job(self.slots.borrow().iter().map(|it| it.part.outcome))
    }

    /// Callers of the job, each once.
    pub(super) fn callers(&self) -> BTreeSet<&str> {
        let tasks = self.submission.tasks.iter();
        tasks.map(|it| it.caller.as_str()).collect()
    }

    /// Builds the answer from the tasks' ends; [`Job::deliver`] hands it out.
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

    /// Marks all tasks as of unknown outcome.
    pub(super) fn doubt(&self) {
        let mut slots = self.slots.borrow_mut();
        slots
            .iter_mut()
            .for_each(|it| it.part.outcome = Outcome::Unknown);
    }

    /// Hands the answer out to all who wait for it.
    pub(super) fn deliver(&self) {
        if let Some(answer) = self.answer.borrow().clone() {
            self.settle(Verdict::Answer(answer));
        }
    }

    /// Tells all who wait for the job what became of it.
    pub(super) fn settle(&self, verdict: Verdict) {
        *self.verdict.borrow_mut() = Some(verdict);
        self.done.notify();
    }

    /// Answer, once it is known.
    pub(super) fn given(&self) -> Option<Rc<Answer>> {
        self.answer.borrow().clone()
    }

    /// By what right this instance started the job.
    pub(super) fn right(&self) -> Right {
        match &self.id {
            _ if !self.owned.get() => Right::None,
            Id::Ticket(_) => Right::Ticket,
            Id::Key(_) => Right::Claim,
        }
    }

    /// Notes that this instance has the right to start the job.
    pub(super) fn own(&self) {
        self.owned.set(true);
        self.done.notify();
    }

    /// True once the answer is known.
    pub(super) fn is_answered(&self) -> bool {
        self.answer.borrow().is_some()
    }

    /// Waits until this instance has the right to start the job, or until the
    /// job is settled without it.
    pub(super) async fn decided(&self) {
        loop {
            let done = self.done.notified();
            if self.owned.get() || self.verdict.borrow().is_some() {
                return;
            }
            done.await;
        }
    }

    /// Waits until it is settled what those who wait are told.
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

/// End of one task.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    pub(super) outcome: Outcome,
    pub(super) result: Option<String>,
    pub(super) elapsed_us: Option<u64>,
}

impl Ending {
    /// End of a task that never started.
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
