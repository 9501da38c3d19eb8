//! Order of answers to each caller.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bluebellpath_dispatch::JobId;

use super::{InjectedFault, job::Job};
use crate::job::Outcome;

/// Order of answers to each caller.
///
/// The answer to a complete job is delayed until all earlier jobs of each of its
/// callers are answered. All other answers are delivered at once. The delay is
/// bounded, because every job is answered by its deadline.
pub(super) struct AnswerOrder {
    /// Unanswered jobs of each caller, in the order of submission.
    queues: RefCell<BTreeMap<String, BTreeSet<JobId>>>,
    /// Complete jobs whose answers are delayed.
    delayed: RefCell<BTreeMap<JobId, Rc<Job>>>,
    injected_fault: Option<InjectedFault>,
}

impl AnswerOrder {
    pub(super) fn new(injected_fault: Option<InjectedFault>) -> AnswerOrder {
        AnswerOrder {
            queues: RefCell::default(),
            delayed: RefCell::default(),
            injected_fault,
        }
    }

    /// Adds a submitted job.
    pub(super) fn add(&self, job: &Job) {
        let mut queues = self.queues.borrow_mut();
        for caller in job.callers() {
            let queue = queues.entry(caller.to_owned()).or_default();
            queue.insert(job.number);
        }
    }

    /// Marks a job as answered and returns the jobs whose answers may be
    /// delivered now, in order.
    pub(super) fn take_deliverable(&self, job: &Rc<Job>, outcome: Outcome) -> Vec<Rc<Job>> {
        if outcome == Outcome::Complete && self.is_blocked(job) {
            self.delayed.borrow_mut().insert(job.number, job.clone());
            return Vec::new();
        }
        let mut deliverable = vec![job.clone()];
        deliverable.extend(self.remove(job));
        deliverable
    }

    /// Removes a job and returns the jobs whose answers were delayed only by it.
    pub(super) fn remove(&self, job: &Job) -> Vec<Rc<Job>> {
        let mut deliverable: Vec<Rc<Job>> = Vec::new();
        let mut candidates = self.dequeue(job);
        while let Some(number) = candidates.pop_first() {
            let next = self.delayed.borrow().get(&number).cloned();
            let Some(next) = next.filter(|it| !self.is_blocked(it)) else {
                continue;
            };
            self.delayed.borrow_mut().remove(&number);
            candidates.extend(self.dequeue(&next));
            deliverable.push(next);
        }
        deliverable
    }

    /// Removes a job from the queues of its callers and returns the new first job
    /// of each queue.
    fn dequeue(&self, job: &Job) -> BTreeSet<JobId> {
        let mut queues = self.queues.borrow_mut();
        let mut new_firsts = BTreeSet::new();
        for caller in job.callers() {
            let Some(queue) = queues.get_mut(caller) else {
                continue;
            };
            queue.remove(&job.number);
            match queue.first() {
                Some(first) => {
                    new_firsts.insert(*first);
                }
                None => {
                    queues.remove(caller);
                }
            }
        }
        new_firsts
    }

    fn is_blocked(&self, job: &Job) -> bool {
        let queues = self.queues.borrow();
        let first_job = |caller| queues.get(caller).and_then(BTreeSet::first);
        let has_earlier = |caller| first_job(caller).is_some_and(|it| *it < job.number);
        self.injected_fault != Some(InjectedFault::AnswerOutOfOrder)
            && job.callers().into_iter().any(has_earlier)
    }
}
