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
pub(super) enum JobResult {
    /// The answer.
    Answer(Rc<Answer>),
    /// The id belongs to a job with a different content.
    Mismatch,
    /// Another instance owns the job; no task started here.
    Moved,
}

/// Reason for which a job is not complete, and when to retry.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureCause {
    pub(super) detail: String,
    pub(super) retry_after_ms: Option<u64>,
}

/// State of a task.
#[derive(Clone, Debug)]
enum TaskState {
    Waiting,
    Running(Rc<Instance>),
    Ended,
}

struct TrackedTask {
    state: TaskState,
    answer: TaskAnswer,
}

/// State of a job in an entry instance.
pub(super) struct Job {
    pub(super) id: Id,
    pub(super) number: JobId,
    pub(super) digest: Digest,
    pub(super) submission: Submission,
    pub(super) config_view: Rc<View>,
    pub(super) created: Instant,
    pub(super) submitted_ms: u64,
    pub(super) deadline: Instant,
    pub(super) cancelled: Cell<bool>,
    pub(super) grant: Cell<Option<Grant>>,
    /// Maximum age of the instance list when a task was started.
    pub(super) max_list_age: Cell<Duration>,
    /// True once this instance may start the job.
    may_start: Cell<bool>,
    tasks: RefCell<Vec<TrackedTask>>,
    unfinished: Cell<usize>,
    cause: RefCell<Option<FailureCause>>,
    refusal_reason: Cell<Option<RefusalReason>>,
    answer: RefCell<Option<Rc<Answer>>>,
    result: RefCell<Option<JobResult>>,
    changed: Notify,
}

impl Job {
    /// Creates a job whose request has been in transit for `elapsed`.
    pub(super) fn new(
        id: Id,
        number: JobId,
        submission: Submission,
        config_view: Rc<View>,
        elapsed: Duration,
    ) -> Job {
        let limit = Duration::from_millis(submission.deadline_ms);
        let tasks: Vec<TrackedTask> = submission
            .tasks
            .iter()
            .map(|it| TrackedTask::new(&it.caller))
            .collect();
        Job {
            id,
            number,
            digest: Digest::of(&submission),
            config_view,
            created: clock::now(),
            submitted_ms: clock::wall(),
            deadline: clock::now() + limit.saturating_sub(elapsed),
            cancelled: Cell::new(false),
            grant: Cell::new(None),
            max_list_age: Cell::default(),
            may_start: Cell::new(false),
            unfinished: Cell::new(tasks.len()),
            tasks: RefCell::new(tasks),
            submission,
            cause: RefCell::default(),
            refusal_reason: Cell::new(None),
            answer: RefCell::default(),
            result: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the id of the task at `index`.
    pub(super) fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id.clone(),
            index,
        }
    }

    /// Marks a task as being started on `target`.
    pub(super) fn task_started(&self, index: u32, target: Rc<Instance>) {
        let mut tasks = self.tasks.borrow_mut();
        let task = &mut tasks[index as usize];
        task.answer.target = Some(target.name.clone());
        task.state = TaskState::Running(target);
    }

    /// Marks a task as waiting again, because it certainly didn't start.
    pub(super) fn task_requeued(&self, index: u32) {
        let mut tasks = self.tasks.borrow_mut();
        let task = &mut tasks[index as usize];
        task.answer.target = None;
        task.state = TaskState::Waiting;
    }

    /// Sets the result of a task; true if no other task of the job is unfinished.
    pub(super) fn task_ended(&self, index: u32, result: TaskResult) -> bool {
        let mut tasks = self.tasks.borrow_mut();
        let task = &mut tasks[index as usize];
        if matches!(task.state, TaskState::Ended) {
            return false;
        }
        task.state = TaskState::Ended;
        task.answer.outcome = result.outcome;
        task.answer.result = result.result;
        task.answer.elapsed_us = result.elapsed_us;
        if result.outcome == Outcome::NotRun {
            task.answer.target = None;
        }
        self.unfinished.set(self.unfinished.get() - 1);
        self.unfinished.get() == 0
    }

    /// Returns the indexes of the running tasks, with their targets.
    pub(super) fn running_tasks(&self) -> Vec<(u32, Rc<Instance>)> {
        let tasks = self.tasks.borrow();
        let running = tasks
            .iter()
            .enumerate()
            .filter_map(|(index, it)| match &it.state {
                TaskState::Running(target) => Some((index as u32, target.clone())),
                TaskState::Waiting | TaskState::Ended => None,
            });
        running.collect()
    }

    /// Sets the reason for which the job was refused on admission.
    pub(super) fn set_refusal_reason(&self, reason: RefusalReason) {
        self.refusal_reason.set(Some(reason));
    }

    /// Sets the cause for which the job will not be complete, unless one is set.
    pub(super) fn set_cause(&self, cause: FailureCause) {
        self.cause.borrow_mut().get_or_insert(cause);
    }

    /// Returns the run time of the longest task; `None` if no task ran.
    pub(super) fn longest_run(&self) -> Option<Duration> {
        let tasks = self.tasks.borrow();
        let runs = tasks.iter().filter_map(|it| it.answer.elapsed_us);
        runs.max().map(Duration::from_micros)
    }

    /// Returns the outcome of the job. All of its tasks must have ended.
    pub(super) fn outcome(&self) -> Outcome {
        Outcome::of_job(self.tasks.borrow().iter().map(|it| it.answer.outcome))
    }

    /// Returns the distinct callers of the job.
    pub(super) fn callers(&self) -> BTreeSet<&str> {
        let tasks = self.submission.tasks.iter();
        tasks.map(|it| it.caller.as_str()).collect()
    }

    /// Builds the answer from the results of the tasks. [`Job::deliver`] sends it
    /// to the waiting requests.
    pub(super) fn build_answer(&self, outcome: Outcome, injected_fault: Option<InjectedFault>) {
        let mut parts: Vec<TaskAnswer> = self
            .tasks
            .borrow_mut()
            .iter_mut()
            .map(TrackedTask::take_answer)
            .collect();
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
            reason: self.refusal_reason.get(),
            retry_after_ms: cause.retry_after_ms,
            parts,
            preset: self.config_view.document.preset.clone(),
            config_version: self.config_view.version,
        };
        *self.answer.borrow_mut() = Some(Rc::new(answer));
    }

    /// Sets the outcome of all tasks to unknown.
    pub(super) fn set_outcomes_unknown(&self) {
        let mut tasks = self.tasks.borrow_mut();
        tasks
            .iter_mut()
            .for_each(|it| it.answer.outcome = Outcome::Unknown);
    }

    /// Sends the answer to all waiting requests.
    pub(super) fn deliver(&self) {
        if let Some(answer) = self.answer.borrow().clone() {
            self.set_result(JobResult::Answer(answer));
        }
    }

    /// Sets the result and wakes all waiting requests.
    pub(super) fn set_result(&self, result: JobResult) {
        *self.result.borrow_mut() = Some(result);
        self.changed.notify();
    }

    /// Returns the answer, if it is known.
    pub(super) fn answer(&self) -> Option<Rc<Answer>> {
        self.answer.borrow().clone()
    }

    /// Returns what gave this instance the right to start the job.
    pub(super) fn start_right(&self) -> Right {
        match &self.id {
            _ if !self.may_start.get() => Right::None,
            Id::Ticket(_) => Right::Ticket,
            Id::Key(_) => Right::Claim,
        }
    }

    /// Marks the job as one that this instance may start.
    pub(super) fn allow_start(&self) {
        self.may_start.set(true);
        self.changed.notify();
    }

    /// True if the answer is known.
    pub(super) fn is_answered(&self) -> bool {
        self.answer.borrow().is_some()
    }

    /// Waits until this instance may start the job, or until the job has a result.
    pub(super) async fn wait_decision(&self) {
        loop {
            let changed = self.changed.notified();
            if self.may_start.get() || self.result.borrow().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Waits for the result.
    pub(super) async fn wait_result(&self) -> JobResult {
        loop {
            let changed = self.changed.notified();
            if let Some(result) = self.result.borrow().as_ref() {
                return result.clone();
            }
            changed.await;
        }
    }
}

/// Result of a task.
#[derive(Clone, Debug)]
pub(super) struct TaskResult {
    pub(super) outcome: Outcome,
    pub(super) result: Option<String>,
    pub(super) elapsed_us: Option<u64>,
}

impl TaskResult {
    /// Returns the result of a task that never started.
    pub(super) fn not_run() -> TaskResult {
        TaskResult {
            outcome: Outcome::NotRun,
            result: None,
            elapsed_us: None,
        }
    }
}

impl TrackedTask {
    fn new(caller: &str) -> TrackedTask {
        let answer = TaskAnswer {
            caller: caller.to_owned(),
            outcome: Outcome::NotRun,
            target: None,
            result: None,
            elapsed_us: None,
        };
        TrackedTask {
            state: TaskState::Waiting,
            answer,
        }
    }

    fn take_answer(&mut self) -> TaskAnswer {
        let result = self.answer.result.take();
        TaskAnswer {
            result,
            ..self.answer.clone()
        }
    }
}
