/*!
The dispatcher of one entry instance.

A task is bound to a target only when a slot is free there. It then takes the
fastest such target, unless it is expected to end earlier by waiting for a slot
of faster ones. Of a job's tasks, the longest that still ends together with the
rest is chosen, so that slow targets get short tasks and the job's last task
does not run alone.
*/

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    Assignment, Dropped, Ending, Exclusion, Job, JobId, NextStep, NotStarted, Policy, Reason,
    Refusal, Report, Target, TargetId, Task, Team, TeamId,
    budget::Budget,
    estimate::Estimates,
    inflow::Inflow,
    pool::{Choice, Pool},
    queue::{Order, Pending, Queue, Queued},
    team::Teams,
};

/// Jobs that are looked at for one assignment.
const LOOK_AHEAD: usize = 16;
/// Part of the capacity that work over the quotas is reckoned to get at least.
const LEAST_SPARE: f64 = 0.02;
/// Part of its expected run time within which a task fails at once.
const AT_ONCE: f64 = 0.2;
/// Long run time over which a task counts as overdue, and time on top of it.
const OVERDUE: (f64, Duration) = (1.5, Duration::from_millis(50));

/// Time for which the slots of a task without an answer count as taken.
const LINGERS_UNKNOWN: Duration = Duration::from_secs(4);
/// Time for which a slot counts as taken after a target refused it.
const LINGERS_FULL: Duration = Duration::from_secs(1);

struct Running {
    pending: Pending,
    target: TargetId,
    team: TeamId,
    expected_end: Instant,
    /// When the task counts as overdue, unless it has been counted.
    overdue: Option<Instant>,
}

/// Slots that a target may still use though nothing of this instance runs.
struct Lingering {
    target: TargetId,
    size: u32,
}

/// Queue of waiting tasks and the slots they may go to.
pub struct Dispatcher {
    policy: Policy,
    pool: Pool,
    queue: Queue,
    teams: Teams,
    estimates: Estimates,
    budget: Budget,
    /// Work that comes within the quotas.
    inflow: Inflow,
    running: HashMap<(JobId, u32), Running>,
    overdue: BTreeSet<(Instant, JobId, u32)>,
    lingering: BTreeMap<(Instant, u64), Lingering>,
    sequence: u64,
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
            budget: Budget::default(),
            inflow: Inflow::default(),
            running: HashMap::new(),
            overdue: BTreeSet::new(),
            lingering: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Decides by `policy` from now on.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets the share and quota of a team.
    pub fn set_team(&mut self, id: TeamId, team: Team) {
        self.teams.set(id, team);
    }

    /// Adds a target or changes what is known of it.
    pub fn set_target(&mut self, target: Target, now: Instant) {
        self.pool.set(target, now);
    }

    /// Forgets a target; its running tasks are reported as usual.
    pub fn remove_target(&mut self, target: TargetId) {
        self.pool.remove(target);
    }

    /// Slots of a target that tasks of this instance take.
    pub fn used(&self, target: TargetId) -> u32 {
        self.pool.used(target)
    }

    /// Targets that this instance has shut out, with their recent slowness over
    /// their lasting one.
    pub fn exclusions(&self) -> impl Iterator<Item = (TargetId, Exclusion, f64)> {
        self.pool.exclusions()
    }

    /// Takes in that another instance has shut `target` out.
    pub fn apply_peer_exclusion(&mut self, target: TargetId, finding: Exclusion, now: Instant) {
        self.pool.suspect(target, finding, now, self.policy.max_out);
    }

    /// Takes in a job or refuses it whole.
    pub fn submit(&mut self, job: Job, now: Instant) -> Result<(), Refusal> {
        let mut queued = Queued::new(job.id, job.team, now, job.deadline);
        queued.bytes = job.input_bytes;
        for task in &job.tasks {
            queued.add(self.pending(job.team, *task));
        }
        let longest = queued.tasks.front().filter(|it| it.expected.learnt);
        let longest = longest.map_or(0.0, |it| it.expected.mean);
        queued.least = longest * self.pool.fastest();
        self.check(&job, &queued, now)?;
        if !self.teams.take(job.team, job.tasks.len(), now) {
            queued.tag = Some(self.teams.tag(job.team, queued.work));
        } else {
            self.inflow.add(queued.work, now);
        }
        self.check_load(&queued, now)?;
        self.queue.insert(queued, &self.order());
        Ok(())
    }

    /// Next task to start, if a slot is free for one.
    pub fn next(&mut self, now: Instant) -> Option<Assignment> {
        if let Some((job, place, choice)) = self.probe(now) {
            return self.assign(job, place, choice, true, now);
        }
        let (job, place, choice) = self.choose(now)?;
        self.assign(job, place, choice, false, now)
    }

    /// Takes note of how an assignment ended.
    pub fn finish(&mut self, report: Report, now: Instant) -> NextStep {
        let Assignment { job, task, .. } = report.assignment;
        let Some(running) = self.running.remove(&(job, task)) else {
            return NextStep::Done;
        };
        if let Some(overdue) = running.overdue {
            self.overdue.remove(&(overdue, job, task));
        }
        self.release(&running, &report, now);
        self.learn(&running, &report, now);
        let back = self.may_retry(job, &running, report.ending);
        let order = self.order();
        self.queue
            .finish(job, back.then_some(running.pending), &order);
        if back {
            NextStep::Requeued
        } else {
            NextStep::Done
        }
    }

    /// Drops all waiting tasks of a job.
    pub fn cancel(&mut self, job: JobId) -> Vec<Dropped> {
        self.queue.drop_waiting(job)
    }

    /// Drops the waiting tasks that can't meet their deadline any more, and
    /// looks for tasks that run far too long.
    pub fn expire(&mut self, now: Instant) -> Vec<Dropped> {
        self.free_lingering(now);
        self.find_overdue(now);
        let mut dropped = Vec::new();
        while let Some((latest, job)) = self.queue.next_late() {
            if latest > now {
                break;
            }
            dropped.extend(self.queue.drop_waiting(job));
        }
        dropped
    }

    /// Earliest time at which [`Dispatcher::expire`] or [`Dispatcher::next`]
    /// has something to do without a report or a job.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let late = self.queue.next_late().map(|it| it.0);
        let overdue = self.overdue.first().map(|it| it.0);
        let waiting = self.queue.waiting() > 0;
        let probe = self.pool.next_probe().filter(|it| waiting && *it > now);
        let lingering = self.lingering.first_key_value().map(|it| it.0.0);
        [late, overdue, probe, lingering]
            .into_iter()
            .flatten()
            .min()
    }

    /// True unless a running task of a cancelled job is known to end so soon that
    /// stopping it is not worth two messages.
    pub fn should_stop(&self, job: JobId, task: u32, now: Instant) -> bool {
        let Some(running) = self.running.get(&(job, task)) else {
            return false;
        };
        let is_overdue = running.overdue.is_none();
        let soon = !is_overdue && running.expected_end < now + self.policy.stop_worth;
        !(soon && running.pending.expected.learnt)
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Tasks that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Longest time that a task of `team` should take anywhere, `None` while
    /// too little is known.
    pub fn expected(&self, team: TeamId, task: &Task) -> Duration {
        let default = self.policy.default_run_time;
        let expected = self.estimates.expected(team, task, default);
        Duration::from_secs_f64(expected.mean)
    }

    fn pending(&self, team: TeamId, task: Task) -> Pending {
        let default = self.policy.default_run_time;
        Pending {
            task,
            expected: self.estimates.expected(team, &task, default),
            attempts: 0,
        }
    }

    fn check(&self, job: &Job, queued: &Queued, now: Instant) -> Result<(), Refusal> {
        let largest = self.pool.largest();
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        if job.tasks.iter().any(|it| it.size > largest) {
            return refuse(Reason::TooLarge, None);
        }
        if now + Duration::from_secs_f64(queued.least) >= job.deadline {
            return refuse(Reason::Deadline, None);
        }
        let full = self.queue.waiting() + job.tasks.len() > self.policy.max_waiting
            || self.queue.bytes() + job.input_bytes > self.policy.max_bytes;
        if full {
            return refuse(Reason::Overload, Some(self.policy.default_run_time));
        }
        Ok(())
    }

    /// Refuses a job over its team's quota that would wait past its deadline,
    /// given that work within the quotas goes on coming as it did.
    fn check_load(&self, queued: &Queued, now: Instant) -> Result<(), Refusal> {
        let rate = self.pool.rate();
        if queued.tag.is_none() || rate < 0.1 {
            return Ok(());
        }
        let spare = (rate - self.inflow.rate(now)).max(rate * LEAST_SPARE);
        let behind = self.queue.work_behind() + queued.work;
        let wait = self.queue.work_ahead() / rate + behind / spare;
        let left = (queued.deadline - now).as_secs_f64() * self.policy.shed_at;
        if wait <= left {
            return Ok(());
        }
        Err(Refusal {
            reason: Reason::Quota,
            retry_after: Some(Duration::from_secs_f64(wait - left)),
        })
    }

    /// Job, place of a task in it, and the target for it.
    fn choose(&self, now: Instant) -> Option<(JobId, usize, Choice)> {
        let choice = self.pool.choose(1)?;
        let mut ahead = 0.0;
        for (index, queued) in self.queue.iter().take(LOOK_AHEAD).enumerate() {
            if queued.deadline <= now {
                continue;
            }
            ahead += queued.work;
            if index + 1 == LOOK_AHEAD {
                // Stands for all that waits behind it as well, so that slow
                // slots don't stay free while there is much to do.
                ahead = self.queue.work_ahead() + self.queue.work_behind();
            }
            let place = self.place(queued, &choice);
            let pending = &queued.tasks[place];
            let fitting = match pending.task.size {
                1 => Some(choice),
                size => self.pool.choose(size),
            };
            let Some(choice) = fitting else { continue };
            let end = now + Duration::from_secs_f64(pending.expected.mean * choice.slowness);
            let in_time = end <= queued.deadline || choice.faster.slots == 0.0;
            if in_time && !self.should_wait(pending, ahead, &choice) {
                return Some((queued.id, place, choice));
            }
        }
        None
    }

    /// Longest task that ends together with the rest of its job, else the
    /// shortest.
    fn place(&self, queued: &Queued, choice: &Choice) -> usize {
        let longest = queued.tasks[0].expected.mean * self.pool.fastest();
        let spread = queued.work / self.pool.rate().max(0.1);
        let end = longest.max(spread);
        let too_long = |it: &Pending| it.expected.mean * choice.slowness > end * 1.01;
        let place = queued.tasks.partition_point(too_long);
        place.min(queued.tasks.len() - 1)
    }

    fn should_wait(&self, pending: &Pending, ahead: f64, choice: &Choice) -> bool {
        let faster = &choice.faster;
        if faster.rate <= 0.0 || self.policy.patience <= 0.0 {
            return false;
        }
        let wait = ahead / faster.rate;
        let there = wait + pending.expected.mean * faster.slowness();
        pending.expected.mean * choice.slowness * self.policy.patience > there
    }

    fn probe(&self, now: Instant) -> Option<(JobId, usize, Choice)> {
        let choice = self.pool.probe(now)?;
        let harmless = |it: &Pending| it.task.idempotent && it.task.size == 1;
        let mut jobs = self.queue.iter().take(LOOK_AHEAD);
        jobs.find_map(|queued| {
            let place = queued.tasks.iter().rposition(harmless)?;
            Some((queued.id, place, choice))
        })
    }

    fn assign(
        &mut self,
        job: JobId,
        place: usize,
        choice: Choice,
        probe: bool,
        now: Instant,
    ) -> Option<Assignment> {
        let order = self.order();
        let mut pending = self.queue.take(job, place, &order)?;
        pending.attempts += 1;
        let queued = self.queue.get(job)?;
        if let Some(tag) = queued.tag {
            self.teams.advance(tag);
        }
        let team = queued.team;
        self.pool.take(choice.target, pending.task.size, probe);
        self.budget
            .spend(pending.attempts, self.policy.retry_permille);
        let (factor, extra) = OVERDUE;
        let long = pending.expected.long * choice.slowness * factor;
        let overdue = now + Duration::from_secs_f64(long) + extra;
        let task = pending.task.index;
        self.overdue.insert((overdue, job, task));
        let expected = Duration::from_secs_f64(pending.expected.mean * choice.slowness);
        let running = Running {
            pending,
            target: choice.target,
            team,
            expected_end: now + expected,
            overdue: Some(overdue),
        };
        self.running.insert((job, task), running);
        Some(Assignment {
            job,
            task,
            target: choice.target,
            expected,
        })
    }

    /// Frees the slots of a task, or keeps them for a while when the target may
    /// still use them.
    fn release(&mut self, running: &Running, report: &Report, now: Instant) {
        let (target, size) = (running.target, running.pending.task.size);
        let lingers = match report.ending {
            Ending::Unknown => LINGERS_UNKNOWN,
            Ending::NotStarted(NotStarted::Full) => LINGERS_FULL,
            _ => {
                self.pool.release(target, size);
                return;
            }
        };
        self.sequence += 1;
        let key = (now + lingers, self.sequence);
        self.lingering.insert(key, Lingering { target, size });
    }

    fn free_lingering(&mut self, now: Instant) {
        while let Some(entry) = self.lingering.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let it = entry.remove();
            self.pool.release(it.target, it.size);
        }
    }

    fn learn(&mut self, running: &Running, report: &Report, now: Instant) {
        let id = running.target;
        let max_out = self.policy.max_out;
        let elapsed = report.elapsed.as_secs_f64();
        match report.ending {
            Ending::Complete => {
                let ratio = elapsed / running.pending.expected.mean.max(1e-4);
                let slowness = self.pool.slowness(id);
                let kind = running.pending.task.kind;
                self.estimates
                    .observe(running.team, kind, elapsed / slowness);
                self.pool.judge(id, now, max_out, |it| it.complete(ratio));
            }
            Ending::Failed => {
                let at_once = elapsed < running.pending.expected.mean * AT_ONCE;
                self.pool.judge(id, now, max_out, |it| it.failed(at_once));
            }
            Ending::NotStarted(NotStarted::Unreachable) => {
                self.pool.judge(id, now, max_out, |it| it.unreachable());
            }
            Ending::Unknown => self.pool.judge(id, now, max_out, |it| it.unanswered()),
            Ending::NotStarted(NotStarted::Leaving) => self.pool.leave(id, now),
            Ending::Stopped | Ending::NotStarted(_) => {
                self.pool.judge(id, now, max_out, |it| it.inconclusive(now));
            }
        }
    }

    fn may_retry(&self, job: JobId, running: &Running, ending: Ending) -> bool {
        let wanted = self.queue.get(job).is_some_and(|it| !it.dropped);
        let never_started = matches!(
            ending,
            Ending::NotStarted(reason) if reason != NotStarted::LeaseExpired
        );
        wanted
            && never_started
            && running.pending.attempts < self.policy.max_attempts
            && self.budget.allows()
    }

    fn find_overdue(&mut self, now: Instant) {
        while let Some((at, job, task)) = self.overdue.first().copied() {
            if at > now {
                return;
            }
            self.overdue.remove(&(at, job, task));
            let Some(running) = self.running.get_mut(&(job, task)) else {
                continue;
            };
            running.overdue = None;
            let (target, max_out) = (running.target, self.policy.max_out);
            self.pool.judge(target, now, max_out, |it| it.overdue());
        }
    }

    fn order(&self) -> Order {
        Order {
            small_first: self.policy.small_first,
            rate: self.pool.rate(),
            fastest: self.pool.fastest(),
            max_wait: self.policy.max_wait,
        }
    }
}
