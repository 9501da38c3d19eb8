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
pub(super) struct Order {
    /// Unanswered jobs of each caller, in the order of submission.
    queues: RefCell<BTreeMap<String, BTreeSet<JobId>>>,
    /// Complete jobs whose answers are delayed.
    held: RefCell<BTreeMap<JobId, Rc<Job>>>,
    injected_fault: Option<InjectedFault>,
}

impl Order {
    pub(super) fn new(injected_fault: Option<InjectedFault>) -> Order {
        Order {
            queues: RefCell::default(),
            held: RefCell::default(),
            injected_fault,
        }
    }

    /// Adds a submitted job.
    pub(super) fn admit(&self, job: &Job) {
        let mut queues = self.queues.borrow_mut();
        for caller in job.callers() {
            let queue = queues.entry(caller.to_owned()).or_default();
            queue.insert(job.number);
        }
    }

    /// Marks a job as answered and returns the jobs whose answers may be
    /// delivered now, in order.
    pub(super) fn answered(&self, job: &Rc<Job>, outcome: Outcome) -> Vec<Rc<Job>> {
        if outcome == Outcome::Complete && self.is_blocked(job) {
            self.held.borrow_mut().insert(job.number, job.clone());
            return Vec::new();
        }
        let mut out = vec![job.clone()];
        out.extend(self.leave(job));
        out
    }

    /// Removes a job and returns the jobs whose answers were delayed only by it.
    pub(super) fn leave(&self, job: &Job) -> Vec<Rc<Job>> {
        let mut out: Vec<Rc<Job>> = Vec::new();
        let mut freed = self.remove(job);
        while let Some(number) = freed.pop_first() {
            let next = self.held.borrow().get(&number).cloned();
            let Some(next) = next.filter(|it| !self.is_blocked(it)) else {
                continue;
            };
            self.held.borrow_mut().remove(&number);
            freed.extend(self.remove(&next));
            out.push(next);
        }
        out
    }

    /// Removes a job from the queues of its callers and returns the new first job
    /// of each queue.
    fn remove(&self, job: &Job) -> BTreeSet<JobId> {
        let mut queues = self.queues.borrow_mut();
        let mut firsts = BTreeSet::new();
        for caller in job.callers() {
            let Some(queue) = queues.get_mut(caller) else {
                continue;
            };
            queue.remove(&job.number);
            match queue.first() {
                Some(first) => {
                    firsts.insert(*first);
                }
                None => {
                    queues.remove(caller);
                }
            }
        }
        firsts
    }

    fn is_blocked(&self, job: &Job) -> bool {
        let queues = self.queues.borrow();
        let first = |caller| queues.get(caller).and_then(BTreeSet::first);
        let is_later = |caller| first(caller).is_some_and(|it| *it < job.number);
        self.injected_fault != Some(InjectedFault::AnswerOutOfOrder)
            && job.callers().into_iter().any(is_later)
    }
}
