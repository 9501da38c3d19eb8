//! Order of the answers to each caller.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bluebellpath_dispatch::JobId;

use super::{InjectedFault, job::Job};
use crate::job::Outcome;

/// Order of the answers to each caller.
///
/// A complete answer waits until all jobs that came before it for one of its
/// callers are answered. Any other answer is final as soon as it is known and
/// waits for nothing. Every job is answered by its deadline, so a wait ends.
pub(super) struct Order {
    /// Jobs without an answer, by caller, in the order in which they came.
    queues: RefCell<BTreeMap<String, BTreeSet<JobId>>>,
    /// Complete answers that wait.
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

    /// Takes in a job that came.
    pub(super) fn admit(&self, job: &Job) {
        let mut queues = self.queues.borrow_mut();
        for caller in job.callers() {
            let queue = queues.entry(caller.to_owned()).or_default();
            queue.insert(job.number);
        }
    }

    /// Takes in a job whose answer is known; the jobs whose answers go out now,
    /// in their order.
    pub(super) fn answered(&self, job: &Rc<Job>, outcome: Outcome) -> Vec<Rc<Job>> {
        if outcome == Outcome::Complete && self.is_blocked(job) {
            self.held.borrow_mut().insert(job.number, job.clone());
            return Vec::new();
        }
        let mut out = vec![job.clone()];
        out.extend(self.leave(job));
        out
    }

    /// Takes out a job; the jobs whose answers waited only for it.
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

    /// Takes out a job; the jobs that are first for one of its callers then.
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
