//! Jobs that an entry instance knows.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

use bluebellpath_dispatch::JobId;
use bluebellpath_runtime::Instant;

use super::job::Job;
use crate::job::Id;

/// Jobs by id and by number, with the order in which answered ones go.
#[derive(Default)]
pub(super) struct Jobs {
    by_id: RefCell<HashMap<Id, Rc<Job>>>,
    by_number: RefCell<HashMap<JobId, Rc<Job>>>,
    /// Answered jobs by the time until which they are kept.
    answered: RefCell<BTreeSet<(Instant, JobId)>>,
    numbers: Cell<u64>,
}

impl Jobs {
    /// Job under `id`.
    pub(super) fn find(&self, id: &Id) -> Option<Rc<Job>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// Job with `number`.
    pub(super) fn get(&self, number: JobId) -> Option<Rc<Job>> {
        self.by_number.borrow().get(&number).cloned()
    }

    /// Fresh number.
    pub(super) fn number(&self) -> JobId {
        self.numbers.set(self.numbers.get() + 1);
        JobId(self.numbers.get())
    }

    /// Adds a job.
    pub(super) fn insert(&self, job: Rc<Job>) {
        self.by_number.borrow_mut().insert(job.number, job.clone());
        self.by_id.borrow_mut().insert(job.id.clone(), job);
    }

    /// Forgets a job.
    pub(super) fn remove(&self, job: &Job) {
        self.by_number.borrow_mut().remove(&job.number);
        self.by_id.borrow_mut().remove(&job.id);
    }

    /// First `limit` jobs in the order of their numbers.
    pub(super) fn oldest(&self, limit: usize) -> Vec<Rc<Job>> {
        let jobs = self.by_number.borrow();
        let mut numbers: Vec<JobId> = jobs.keys().copied().collect();
        if numbers.len() > limit {
            // Under load only the part that is shown is sorted.
            numbers.select_nth_unstable(limit);
            numbers.truncate(limit);
        }
        numbers.sort_unstable();
        numbers.iter().map(|it| jobs[it].clone()).collect()
    }

    /// Jobs without an answer.
    pub(super) fn unanswered(&self) -> usize {
        let jobs = self.by_number.borrow();
        jobs.values().filter(|it| !it.is_answered()).count()
    }

    /// Keeps an answered job until `until`.
    pub(super) fn keep(&self, job: &Job, until: Instant) {
        self.answered.borrow_mut().insert((until, job.number));
    }

    /// Forgets the answered job that is due first, if it is due by `by`.
    pub(super) fn evict(&self, by: Instant) -> Option<Rc<Job>> {
        let first = *self.answered.borrow().first()?;
        if first.0 > by {
            return None;
        }
        self.answered.borrow_mut().remove(&first);
        let job = self.get(first.1)?;
        self.remove(&job);
        Some(job)
    }

    /// Time at which the next answered job is due.
    pub(super) fn next_eviction(&self) -> Option<Instant> {
        self.answered.borrow().first().map(|it| it.0)
    }

    /// Jobs that are kept.
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }
}
