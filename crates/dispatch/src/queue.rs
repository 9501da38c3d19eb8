/*!
Queue of waiting jobs.

The queue has two bands. Jobs within their team's quota come first, by least
remaining work, with a bonus for earlier arrival, and move to the front in time
for their deadline. Jobs over the quota are deferred: they follow after all others, by
weighted fair queueing between teams. A small job overtakes a large one, but a
large job that has waited long enough overtakes small ones.
*/

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{Dropped, JobId, Task, TeamId, estimate::Estimate};

/// A job is urgent once the time to its deadline is below this factor times the run
/// time of its work on all slots, plus the next factor times that of its longest
/// task.
const URGENT_WORK_FACTOR: f64 = 2.0;
/// Factor on the run time of a job's longest task on the fastest targets. Allows for
/// slower targets and for the last tasks of the job.
const URGENT_LONGEST_FACTOR: f64 = 3.0;

/// Position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deferred: bool,
    key: u64,
    job: JobId,
}

/// Task that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTask {
    pub(crate) task: Task,
    pub(crate) estimate: Estimate,
    pub(crate) attempts: u32,
}

impl PendingTask {
    /// Work in slot-seconds at nominal speed.
    pub(crate) fn work(&self) -> f64 {
        self.estimate.mean * f64::from(self.task.size)
    }
}

/// Job with waiting or running tasks.
#[derive(Clone, Debug)]
pub(crate) struct QueuedJob {
    pub(crate) id: JobId,
    pub(crate) team: TeamId,
    pub(crate) submitted: Instant,
    pub(crate) deadline: Instant,
    /// Virtual finish time of a job over its team's quota.
    pub(crate) virtual_finish: Option<f64>,
    pub(crate) input_bytes: u64,
    /// Tasks that wait, the longest first.
    pub(crate) tasks: VecDeque<PendingTask>,
    /// Work of the tasks that wait.
    pub(crate) work: f64,
    pub(crate) running: u32,
    /// A task was started. Its work is wasted unless the rest runs too, so the job
    /// is no longer deferred.
    pub(crate) started: bool,
    /// The waiting tasks were dropped, so no task may be queued again.
    pub(crate) dropped: bool,
    /// Run time of the longest waiting task on the fastest targets, in seconds.
    pub(crate) min_run_time: f64,
    rank: Option<Rank>,
    expiry: Option<Instant>,
}

impl QueuedJob {
    pub(crate) fn new(id: JobId, team: TeamId, submitted: Instant, deadline: Instant) -> QueuedJob {
        QueuedJob {
            id,
            team,
            submitted,
            deadline,
            virtual_finish: None,
            input_bytes: 0,
            tasks: VecDeque::new(),
            work: 0.0,
            running: 0,
            started: false,
            dropped: false,
            min_run_time: 0.0,
            rank: None,
            expiry: None,
        }
    }

    /// Inserts a task by its estimated run time.
    pub(crate) fn add(&mut self, pending: PendingTask) {
        let longer = |it: &PendingTask| it.estimate.mean >= pending.estimate.mean;
        let position = self.tasks.partition_point(longer);
        self.tasks.insert(position, pending);
        self.work += pending.work();
    }

    /// Returns true if the job ranks after all jobs within their quotas.
    fn is_deferred(&self) -> bool {
        self.virtual_finish.is_some() && !self.started
    }

    /// Time after which the job can't meet its deadline any more.
    fn latest_start(&self, ranking: &Ranking) -> Instant {
        // A declared run time alone is no reason to give a job up.
        let Some(longest) = self.tasks.front().filter(|it| it.estimate.measured) else {
            return self.deadline;
        };
        let mut min_run_time = longest.estimate.mean * ranking.min_slowness;
        if !self.started {
            min_run_time += self.work / ranking.work_rate.max(0.1);
        }
        seconds_before(self.deadline, min_run_time)
    }
}

/// Parameters of the ranking of jobs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranking {
    /// Seconds of later arrival that weigh as much as one second of work.
    pub(crate) work_weight: f64,
    /// Nominal seconds of work that all slots do per second.
    pub(crate) work_rate: f64,
    /// Slowness of the fastest targets.
    pub(crate) min_slowness: f64,
    /// Longest time that a job may wait.
    pub(crate) max_wait: Duration,
}

/// Waiting jobs by rank.
#[derive(Default)]
pub(crate) struct Queue {
    jobs: HashMap<JobId, QueuedJob>,
    ranks: BTreeMap<Rank, JobId>,
    expiries: BTreeSet<(Instant, JobId)>,
    /// Work of the jobs that are not deferred, and of the deferred ones.
    work: [f64; 2],
    waiting: usize,
    input_bytes: u64,
}

impl Queue {
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    pub(crate) fn input_bytes(&self) -> u64 {
        self.input_bytes
    }

    /// Waiting work of jobs that are within their quota or were started.
    pub(crate) fn regular_work(&self) -> f64 {
        self.work[0]
    }

    /// Waiting work of deferred jobs.
    pub(crate) fn deferred_work(&self) -> f64 {
        self.work[1]
    }

    pub(crate) fn get(&self, job: JobId) -> Option<&QueuedJob> {
        self.jobs.get(&job)
    }

    pub(crate) fn insert(&mut self, queued: QueuedJob, ranking: &Ranking) {
        self.waiting += queued.tasks.len();
        self.input_bytes += queued.input_bytes;
        self.work[usize::from(queued.is_deferred())] += queued.work;
        let id = queued.id;
        self.jobs.insert(id, queued);
        self.rank(id, ranking);
    }

    /// Jobs by rank.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedJob> {
        self.ranks.values().map(|it| &self.jobs[it])
    }

    /// Removes the waiting task at `position` of a job and counts it as running.
    pub(crate) fn take(
        &mut self,
        job: JobId,
        position: usize,
        ranking: &Ranking,
    ) -> Option<PendingTask> {
        let queued = self.jobs.get_mut(&job)?;
        let pending = queued.tasks.remove(position)?;
        queued.work = (queued.work - pending.work()).max(0.0);
        queued.running += 1;
        self.waiting -= 1;
        let (deferred, left) = (queued.is_deferred(), queued.work);
        queued.started = true;
        self.subtract_work(deferred, pending.work());
        if deferred {
            self.subtract_work(true, left);
            self.work[0] += left;
        }
        self.rank(job, ranking);
        Some(pending)
    }

    /// Counts a running task as ended. If it is passed as `requeued`, it waits
    /// again.
    pub(crate) fn finish(&mut self, job: JobId, requeued: Option<PendingTask>, ranking: &Ranking) {
        let Some(queued) = self.jobs.get_mut(&job) else {
            return;
        };
        queued.running -= 1;
        if let Some(pending) = requeued {
            let band = usize::from(queued.is_deferred());
            queued.add(pending);
            self.waiting += 1;
            self.work[band] += pending.work();
            self.rank(job, ranking);
        }
        self.remove_if_finished(job);
    }

    /// Drops the waiting tasks of a job.
    pub(crate) fn drop_waiting(&mut self, job: JobId) -> Vec<Dropped> {
        self.unrank(job);
        let Some(queued) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        queued.dropped = true;
        let tasks = std::mem::take(&mut queued.tasks);
        let work = std::mem::take(&mut queued.work);
        let deferred = queued.is_deferred();
        self.waiting -= tasks.len();
        self.subtract_work(deferred, work);
        self.remove_if_finished(job);
        let dropped = tasks.iter().map(|it| Dropped {
            job,
            task: it.task.index,
        });
        let mut dropped: Vec<Dropped> = dropped.collect();
        dropped.sort_by_key(|it| it.task);
        dropped
    }

    /// Earliest time at which a job expires, with the job.
    pub(crate) fn next_expiry(&self) -> Option<(Instant, JobId)> {
        self.expiries.first().copied()
    }

    fn subtract_work(&mut self, deferred: bool, work: f64) {
        let band = &mut self.work[usize::from(deferred)];
        *band = (*band - work).max(0.0);
        if self.waiting == 0 {
            self.work = [0.0; 2];
        }
    }

    fn remove_if_finished(&mut self, job: JobId) {
        let finished = |it: &QueuedJob| it.tasks.is_empty() && it.running == 0;
        if self.jobs.get(&job).is_some_and(finished)
            && let Some(queued) = self.jobs.remove(&job)
        {
            self.input_bytes -= queued.input_bytes;
        }
    }

    fn unrank(&mut self, job: JobId) {
        let Some(queued) = self.jobs.get_mut(&job) else {
            return;
        };
        if let Some(rank) = queued.rank.take() {
            self.ranks.remove(&rank);
        }
        if let Some(expiry) = queued.expiry.take() {
            self.expiries.remove(&(expiry, job));
        }
    }

    fn rank(&mut self, job: JobId, ranking: &Ranking) {
        self.unrank(job);
        let Some(queued) = self.jobs.get_mut(&job) else {
            return;
        };
        if queued.tasks.is_empty() {
            return;
        }
        let latest_start = queued.latest_start(ranking);
        let rank = Rank {
            deferred: queued.is_deferred(),
            key: rank_key(queued, ranking),
            job,
        };
        let expiry = latest_start.min(queued.submitted + ranking.max_wait);
        (queued.rank, queued.expiry) = (Some(rank), Some(expiry));
        self.ranks.insert(rank, job);
        self.expiries.insert((expiry, job));
    }
}

/// Time `seconds` before `deadline`.
fn seconds_before(deadline: Instant, seconds: f64) -> Instant {
    let nanos = (seconds.max(0.0) * 1e9) as u64;
    Instant::from_nanos(deadline.as_nanos().saturating_sub(nanos))
}

fn rank_key(queued: &QueuedJob, ranking: &Ranking) -> u64 {
    if let Some(virtual_finish) = queued.virtual_finish.filter(|_| queued.is_deferred()) {
        return (virtual_finish * 1e9) as u64;
    }
    let seconds = queued.work * ranking.work_weight;
    let by_work = queued.submitted + Duration::from_secs_f64(seconds.min(1e6));
    // A job that is later than this needs most of the slots, which become free
    // only one by one.
    let longest = queued.tasks.front().map_or(0.0, |it| it.estimate.mean);
    let needed = queued.work / ranking.work_rate.max(0.1) * URGENT_WORK_FACTOR
        + longest * ranking.min_slowness * URGENT_LONGEST_FACTOR;
    let by_deadline = seconds_before(queued.deadline, needed).as_nanos();
    by_work.as_nanos().min(by_deadline)
}
