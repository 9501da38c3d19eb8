/*!
Dispatcher of one entry instance.

A task is assigned to a target only when the target has a free slot. It gets the
fastest such target, unless it is expected to end earlier by waiting for a slot of
a faster one. Of a job's tasks, the longest one that still ends together with the
rest is assigned, so that slow targets get short tasks and the job doesn't end
with one long task running alone.
*/

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    Assignment, Dropped, Ending, Exclusion, Job, JobId, NextStep, NotStarted, Policy, Reason,
    Refusal, Report, Target, TargetId, Task, Team, TeamId,
    arrival_rate::ArrivalRate,
    budget::RetryBudget,
    estimate::Estimates,
    pool::{Choice, Pool},
    queue::{PendingTask, Queue, QueuedJob, Ranking},
    team::Teams,
};

/// Number of jobs that are considered for one assignment.
const MAX_JOBS_CONSIDERED: usize = 16;
/// Least fraction of the capacity that work over the quotas is assumed to get.
const MIN_SPARE_FRACTION: f64 = 0.02;
/// Fraction of its expected run time within which a failure counts as immediate.
const IMMEDIATE_FAILURE_FRACTION: f64 = 0.2;
/// Factor on a task's high estimate, and time added to it, after which the task
/// is overdue.
const OVERDUE_MARGIN: (f64, Duration) = (1.5, Duration::from_millis(50));

/// Time for which the slots of a task without an answer still count as used.
const UNKNOWN_RELEASE_DELAY: Duration = Duration::from_secs(4);
/// Time for which slots still count as used after the target said it was full.
const FULL_RELEASE_DELAY: Duration = Duration::from_secs(1);

struct RunningTask {
    pending: PendingTask,
    target: TargetId,
    team: TeamId,
    expected_end: Instant,
    /// Time from which the task is overdue; `None` once that was recorded.
    overdue_at: Option<Instant>,
}

/// Slots that count as used though no task of this instance runs there, because
/// the target may still use them.
struct DelayedRelease {
    target: TargetId,
    size: u32,
}

/// Waiting tasks and the target slots that they may use.
pub struct Dispatcher {
    policy: Policy,
    pool: Pool,
    queue: Queue,
    teams: Teams,
    estimates: Estimates,
    retry_budget: RetryBudget,
    /// Arrival rate of work within the quotas.
    arrival_rate: ArrivalRate,
    running: HashMap<(JobId, u32), RunningTask>,
    /// Running tasks by the time from which they are overdue.
    overdue_times: BTreeSet<(Instant, JobId, u32)>,
    /// Delayed releases by time.
    delayed_releases: BTreeMap<(Instant, u64), DelayedRelease>,
    release_sequence: u64,
}

impl Dispatcher {
    /// Dispatcher without targets and jobs.
    pub fn new(policy: Policy) -> Dispatcher {
        Dispatcher {
            policy,
            pool: Pool::new(),
            queue: Queue::default(),
            teams: Teams::default(),
            estimates: Estimates::default(),
            retry_budget: RetryBudget::default(),
            arrival_rate: ArrivalRate::default(),
            running: HashMap::new(),
            overdue_times: BTreeSet::new(),
            delayed_releases: BTreeMap::new(),
            release_sequence: 0,
        }
    }

    /// Applies `policy` to all later decisions.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets the weight and quota of a team.
    pub fn set_team(&mut self, id: TeamId, team: Team) {
        self.teams.set(id, team);
    }

    /// Adds or updates a target.
    pub fn set_target(&mut self, target: Target, now: Instant) {
        self.pool.set(target, now);
    }

    /// Removes a target. Its running tasks are still reported with
    /// [`Dispatcher::finish`].
    pub fn remove_target(&mut self, target: TargetId) {
        self.pool.remove(target);
    }

    /// Slots of a target that tasks of this instance use.
    pub fn used(&self, target: TargetId) -> u32 {
        self.pool.used(target)
    }

    /// Targets that this instance has excluded, with the ratio of their recent to
    /// their long-term slowness.
    pub fn exclusions(&self) -> impl Iterator<Item = (TargetId, Exclusion, f64)> {
        self.pool.exclusions()
    }

    /// Excludes `target` because another instance did.
    pub fn apply_peer_exclusion(&mut self, target: TargetId, exclusion: Exclusion, now: Instant) {
        self.pool
            .exclude_for_peer(target, exclusion, now, self.policy.max_excluded);
    }

    /// Queues a job or refuses it as a whole.
    pub fn submit(&mut self, job: Job, now: Instant) -> Result<(), Refusal> {
        let mut queued = QueuedJob::new(job.id, job.team, now, job.deadline);
        queued.input_bytes = job.input_bytes;
        for task in &job.tasks {
            queued.add(self.pending_task(job.team, *task));
        }
        let longest = queued.tasks.front().filter(|it| it.estimate.measured);
        let longest = longest.map_or(0.0, |it| it.estimate.mean);
        queued.min_run_time = longest * self.pool.min_slowness();
        self.check_limits(&job, &queued, now)?;
        if !self.teams.take_tokens(job.team, job.tasks.len(), now) {
            queued.virtual_finish = Some(self.teams.virtual_finish(job.team, queued.work));
        } else {
            self.arrival_rate.add(queued.work, now);
        }
        self.check_load(&queued, now)?;
        self.queue.insert(queued, &self.ranking());
        Ok(())
    }

    /// Next task to start, if a slot is free for one.
    pub fn next(&mut self, now: Instant) -> Option<Assignment> {
        if let Some((job, position, choice)) = self.choose_probe(now) {
            return self.assign(job, position, choice, true, now);
        }
        let (job, position, choice) = self.choose(now)?;
        self.assign(job, position, choice, false, now)
    }

    /// Records the end of an assignment.
    pub fn finish(&mut self, report: Report, now: Instant) -> NextStep {
        let Assignment { job, task, .. } = report.assignment;
        let Some(running) = self.running.remove(&(job, task)) else {
            return NextStep::Done;
        };
        if let Some(overdue_at) = running.overdue_at {
            self.overdue_times.remove(&(overdue_at, job, task));
        }
        self.release(&running, &report, now);
        self.record_ending(&running, &report, now);
        let retry = self.may_retry(job, &running, report.ending);
        let ranking = self.ranking();
        self.queue
            .finish(job, retry.then_some(running.pending), &ranking);
        if retry {
            NextStep::Requeued
        } else {
            NextStep::Done
        }
    }

    /// Drops all waiting tasks of a job.
    pub fn cancel(&mut self, job: JobId) -> Vec<Dropped> {
        self.queue.drop_waiting(job)
    }

    /// Drops the waiting tasks that can't meet their deadline any more. Also
    /// runs delayed releases and records overdue tasks.
    pub fn expire(&mut self, now: Instant) -> Vec<Dropped> {
        self.release_delayed(now);
        self.record_overdue_tasks(now);
        let mut dropped = Vec::new();
        while let Some((expiry, job)) = self.queue.next_expiry() {
            if expiry > now {
                break;
            }
            dropped.extend(self.queue.drop_waiting(job));
        }
        dropped
    }

    /// Earliest time at which [`Dispatcher::expire`] or [`Dispatcher::next`]
    /// has something to do without a new job or report.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let expiry = self.queue.next_expiry().map(|it| it.0);
        let overdue = self.overdue_times.first().map(|it| it.0);
        let waiting = self.queue.waiting() > 0;
        let probe = self.pool.next_probe().filter(|it| waiting && *it > now);
        let delayed_release = self.delayed_releases.first_key_value().map(|it| it.0.0);
        [expiry, overdue, probe, delayed_release]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether to stop a running task of a cancelled job. A task that is
    /// known to end soon isn't worth the two messages.
    pub fn should_stop(&self, job: JobId, task: u32, now: Instant) -> bool {
        let Some(running) = self.running.get(&(job, task)) else {
            return false;
        };
        let is_overdue = running.overdue_at.is_none();
        let soon = !is_overdue && running.expected_end < now + self.policy.min_remaining_to_stop;
        !(soon && running.pending.estimate.measured)
    }

    /// Number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Expected run time of a task of `team` at nominal speed; the declared or
    /// default run time while there are too few observations.
    pub fn expected_run_time(&self, team: TeamId, task: &Task) -> Duration {
        let default = self.policy.default_run_time;
        let estimate = self.estimates.estimate(team, task, default);
        Duration::from_secs_f64(estimate.mean)
    }

    fn pending_task(&self, team: TeamId, task: Task) -> PendingTask {
        let default = self.policy.default_run_time;
        PendingTask {
            task,
            estimate: self.estimates.estimate(team, &task, default),
            attempts: 0,
        }
    }

    fn check_limits(&self, job: &Job, queued: &QueuedJob, now: Instant) -> Result<(), Refusal> {
        let max_size = self.pool.max_size();
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        if job.tasks.iter().any(|it| it.size > max_size) {
            return refuse(Reason::TooLarge, None);
        }
        if now + Duration::from_secs_f64(queued.min_run_time) >= job.deadline {
            return refuse(Reason::Deadline, None);
        }
        let full = self.queue.waiting() + job.tasks.len() > self.policy.max_waiting
            || self.queue.input_bytes() + job.input_bytes > self.policy.max_input_bytes;
        if full {
            return refuse(Reason::Overload, Some(self.policy.default_run_time));
        }
        Ok(())
    }

    /// Refuses a job over its team's quota that would wait past its deadline if
    /// work within the quotas keeps arriving at its current rate.
    fn check_load(&self, queued: &QueuedJob, now: Instant) -> Result<(), Refusal> {
        let rate = self.pool.work_rate();
        if queued.virtual_finish.is_none() || rate < 0.1 {
            return Ok(());
        }
        let spare = (rate - self.arrival_rate.rate(now)).max(rate * MIN_SPARE_FRACTION);
        let deferred = self.queue.deferred_work() + queued.work;
        let wait = self.queue.regular_work() / rate + deferred / spare;
        let allowed_wait = (queued.deadline - now).as_secs_f64() * self.policy.shed_threshold;
        if wait <= allowed_wait {
            return Ok(());
        }
        Err(Refusal {
            reason: Reason::Quota,
            retry_after: Some(Duration::from_secs_f64(wait - allowed_wait)),
        })
    }

    /// Chooses a job, the position of a task in it, and a target.
    fn choose(&self, now: Instant) -> Option<(JobId, usize, Choice)> {
        let choice = self.pool.choose(1)?;
        let mut work_ahead = 0.0;
        for (index, queued) in self.queue.iter().take(MAX_JOBS_CONSIDERED).enumerate() {
            if queued.deadline <= now {
                continue;
            }
            work_ahead += queued.work;
            if index + 1 == MAX_JOBS_CONSIDERED {
                // The last job considered stands for all jobs after it as well,
                // so that slow slots don't stay free while much work waits.
                work_ahead = self.queue.regular_work() + self.queue.deferred_work();
            }
            let position = self.choose_task(queued, &choice);
            let pending = &queued.tasks[position];
            let fitting = match pending.task.size {
                1 => Some(choice),
                size => self.pool.choose(size),
            };
            let Some(choice) = fitting else { continue };
            let end = now + Duration::from_secs_f64(pending.estimate.mean * choice.slowness);
            let in_time = end <= queued.deadline || choice.faster.slots == 0.0;
            if in_time && !self.should_wait_for_faster(pending, work_ahead, &choice) {
                return Some((queued.id, position, choice));
            }
        }
        None
    }

    /// Position of the longest task that ends together with the rest of its job,
    /// or else of the shortest task.
    fn choose_task(&self, queued: &QueuedJob, choice: &Choice) -> usize {
        let longest = queued.tasks[0].estimate.mean * self.pool.min_slowness();
        let all_slots = queued.work / self.pool.work_rate().max(0.1);
        let end = longest.max(all_slots);
        let too_long = |it: &PendingTask| it.estimate.mean * choice.slowness > end * 1.01;
        let position = queued.tasks.partition_point(too_long);
        position.min(queued.tasks.len() - 1)
    }

    fn should_wait_for_faster(
        &self,
        pending: &PendingTask,
        work_ahead: f64,
        choice: &Choice,
    ) -> bool {
        let faster = &choice.faster;
        if faster.work_rate <= 0.0 || self.policy.wait_factor <= 0.0 {
            return false;
        }
        let wait = work_ahead / faster.work_rate;
        let end_on_faster = wait + pending.estimate.mean * faster.slowness();
        pending.estimate.mean * choice.slowness * self.policy.wait_factor > end_on_faster
    }

    fn choose_probe(&self, now: Instant) -> Option<(JobId, usize, Choice)> {
        let choice = self.pool.choose_probe(now)?;
        let harmless = |it: &PendingTask| it.task.idempotent && it.task.size == 1;
        let mut jobs = self.queue.iter().take(MAX_JOBS_CONSIDERED);
        jobs.find_map(|queued| {
            let position = queued.tasks.iter().rposition(harmless)?;
            Some((queued.id, position, choice))
        })
    }

    fn assign(
        &mut self,
        job: JobId,
        position: usize,
        choice: Choice,
        probe: bool,
        now: Instant,
    ) -> Option<Assignment> {
        let ranking = self.ranking();
        let mut pending = self.queue.take(job, position, &ranking)?;
        pending.attempts += 1;
        let queued = self.queue.get(job)?;
        if let Some(virtual_finish) = queued.virtual_finish {
            self.teams.advance_virtual_time(virtual_finish);
        }
        let team = queued.team;
        self.pool.acquire(choice.target, pending.task.size, probe);
        self.retry_budget
            .record_attempt(pending.attempts, self.policy.retry_permille);
        let (factor, extra) = OVERDUE_MARGIN;
        let high = pending.estimate.high * choice.slowness * factor;
        let overdue_at = now + Duration::from_secs_f64(high) + extra;
        let task = pending.task.index;
        self.overdue_times.insert((overdue_at, job, task));
        let expected_run_time = Duration::from_secs_f64(pending.estimate.mean * choice.slowness);
        let running = RunningTask {
            pending,
            target: choice.target,
            team,
            expected_end: now + expected_run_time,
            overdue_at: Some(overdue_at),
        };
        self.running.insert((job, task), running);
        Some(Assignment {
            job,
            task,
            target: choice.target,
            expected_run_time,
        })
    }

    /// Releases the slots of a task, with a delay if the target may still use them.
    fn release(&mut self, running: &RunningTask, report: &Report, now: Instant) {
        let (target, size) = (running.target, running.pending.task.size);
        let delay = match report.ending {
            Ending::Unknown => UNKNOWN_RELEASE_DELAY,
            Ending::NotStarted(NotStarted::Full) => FULL_RELEASE_DELAY,
            _ => {
                self.pool.release(target, size);
                return;
            }
        };
        self.release_sequence += 1;
        let key = (now + delay, self.release_sequence);
        self.delayed_releases
            .insert(key, DelayedRelease { target, size });
    }

    fn release_delayed(&mut self, now: Instant) {
        while let Some(entry) = self.delayed_releases.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let it = entry.remove();
            self.pool.release(it.target, it.size);
        }
    }

    fn record_ending(&mut self, running: &RunningTask, report: &Report, now: Instant) {
        let id = running.target;
        let max_excluded = self.policy.max_excluded;
        let elapsed = report.elapsed.as_secs_f64();
        match report.ending {
            Ending::Complete => {
                let ratio = elapsed / running.pending.estimate.mean.max(1e-4);
                let slowness = self.pool.slowness(id);
                let kind = running.pending.task.kind;
                self.estimates
                    .observe(running.team, kind, elapsed / slowness);
                self.pool
                    .update_health(id, now, max_excluded, |it| it.record_complete(ratio));
            }
            Ending::Failed => {
                let immediate =
                    elapsed < running.pending.estimate.mean * IMMEDIATE_FAILURE_FRACTION;
                self.pool
                    .update_health(id, now, max_excluded, |it| it.record_failure(immediate));
            }
            Ending::NotStarted(NotStarted::Unreachable) => {
                self.pool
                    .update_health(id, now, max_excluded, |it| it.record_unreachable());
            }
            Ending::Unknown => self
                .pool
                .update_health(id, now, max_excluded, |it| it.record_unanswered()),
            Ending::NotStarted(NotStarted::Leaving) => self.pool.set_leaving(id, now),
            Ending::Stopped | Ending::NotStarted(_) => {
                self.pool
                    .update_health(id, now, max_excluded, |it| it.record_inconclusive(now));
            }
        }
    }

    fn may_retry(&self, job: JobId, running: &RunningTask, ending: Ending) -> bool {
        let wanted = self.queue.get(job).is_some_and(|it| !it.dropped);
        let never_started = matches!(
            ending,
            Ending::NotStarted(reason) if reason != NotStarted::LeaseExpired
        );
        wanted
            && never_started
            && running.pending.attempts < self.policy.max_attempts
            && self.retry_budget.allows_retry()
    }

    fn record_overdue_tasks(&mut self, now: Instant) {
        while let Some((overdue_at, job, task)) = self.overdue_times.first().copied() {
            if overdue_at > now {
                return;
            }
            self.overdue_times.remove(&(overdue_at, job, task));
            let Some(running) = self.running.get_mut(&(job, task)) else {
                continue;
            };
            running.overdue_at = None;
            let (target, max_excluded) = (running.target, self.policy.max_excluded);
            self.pool
                .update_health(target, now, max_excluded, |it| it.record_overdue());
        }
    }

    fn ranking(&self) -> Ranking {
        Ranking {
            work_weight: self.policy.work_weight,
            work_rate: self.pool.work_rate(),
            min_slowness: self.pool.min_slowness(),
            max_wait: self.policy.max_wait,
        }
    }
}
