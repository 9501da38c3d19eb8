//! Jobs that an entry instance holds in memory.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

use bluebellpath_dispatch::JobId;
use bluebellpath_runtime::Instant;

use super::job::Job;
use crate::job::Id;

/// Jobs by id and by number, with the order of their eviction.
#[derive(Default)]
pub(super) struct Jobs {
    by_id: RefCell<HashMap<Id, Rc<Job>>>,
    by_number: RefCell<HashMap<JobId, Rc<Job>>>,
    /// Answered jobs by the time of their eviction.
    evictions: RefCell<BTreeSet<(Instant, JobId)>>,
    last_number: Cell<u64>,
}

impl Jobs {
    /// Returns the job with `id`.
    pub(super) fn find(&self, id: &Id) -> Option<Rc<Job>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// Returns the job with `number`.
    pub(super) fn get(&self, number: JobId) -> Option<Rc<Job>> {
        self.by_number.borrow().get(&number).cloned()
    }

    /// Returns an unused job number.
    pub(super) fn next_number(&self) -> JobId {
        self.last_number.set(self.last_number.get() + 1);
        JobId(self.last_number.get())
    }

    /// Adds a job.
    pub(super) fn insert(&self, job: Rc<Job>) {
        self.by_number.borrow_mut().insert(job.number, job.clone());
        self.by_id.borrow_mut().insert(job.id.clone(), job);
    }

    /// Removes a job.
    pub(super) fn remove(&self, job: &Job) {
        self.by_number.borrow_mut().remove(&job.number);
        self.by_id.borrow_mut().remove(&job.id);
    }

    /// Returns the first `limit` jobs in the order of their numbers.
    pub(super) fn oldest(&self, limit: usize) -> Vec<Rc<Job>> {
        let jobs = self.by_number.borrow();
        let mut numbers: Vec<JobId> = jobs.keys().copied().collect();
        if numbers.len() > limit {
            // Sorts only the jobs that are returned, as there may be many.
            numbers.select_nth_unstable(limit);
            numbers.truncate(limit);
        }
        numbers.sort_unstable();
        numbers.iter().map(|it| jobs[it].clone()).collect()
    }

    /// Returns the number of jobs without an answer.
    pub(super) fn unanswered(&self) -> usize {
        let jobs = self.by_number.borrow();
        jobs.values().filter(|it| !it.is_answered()).count()
    }

    /// Schedules the eviction of an answered job at `until`.
    pub(super) fn schedule_eviction(&self, job: &Job, until: Instant) {
        self.evictions.borrow_mut().insert((until, job.number));
    }

    /// Evicts the job with the earliest eviction time, if that is not after `latest`.
    pub(super) fn evict(&self, latest: Instant) -> Option<Rc<Job>> {
        let first = *self.evictions.borrow().first()?;
        if first.0 > latest {
            return None;
        }
        self.evictions.borrow_mut().remove(&first);
        let job = self.get(first.1)?;
        self.remove(&job);
        Some(job)
    }

    /// Returns the earliest eviction time.
    pub(super) fn next_eviction(&self) -> Option<Instant> {
        self.evictions.borrow().first().map(|it| it.0)
    }

    /// Returns the number of jobs.
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }
}
