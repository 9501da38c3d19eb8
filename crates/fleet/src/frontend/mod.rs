/*!
The caller's side: from a job to its answer.

A [`Frontend`] decides when a job arrives whether it can be served in time,
sends each task to the owner of a target, and answers once all tasks are done.
Answers are exact: a job is refused only if none of its tasks has started. A job
that is given up after a start is answered as unknown.

If the owner of a run fails, the frontend asks the other owners for the run, as
they find it on the targets that they take over. After
[`Config::orphan_timeout`] the run is certainly over: new owners stop runs that
nobody claims, and leases expire.
*/

mod search;
mod task;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, Notify, clock, spawn};
use futures_util::{
    StreamExt,
    future::{Either, join_all, select},
    stream::FuturesUnordered,
};
use slog::{Logger, info};

use self::task::TaskOutcome;
use crate::{
    InjectedFault, JobId, Resources, TaskId,
    admission::{self, Decision, Estimate, StepDemand},
    crash_history::CrashHistory,
    membership::{Membership, Peer, Reply, Request, Transport},
    messages::{NotStartedReason, RunRequest},
    owner_selection::{self, Demand, Distance, Owner},
    room::Forecast,
    scheduler::Scheduler,
    target_list::TargetList,
};

/// Pause before a task that no owner accepted is offered again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for the owners of a cancelled job; a stop takes less.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a started job is remembered. Callers retry within two seconds,
/// and a suspended frontend resumes some time later.
const STARTED_RETENTION: Duration = Duration::from_secs(20);

/// Time for which a job that a peer refuses is rejected here. Shorter than the
/// shortest delay after which its caller retries.
const BLOCK_DURATION: Duration = Duration::from_millis(900);

/// Time after which a caller may retry a job for which there was no room.
const NO_ROOM_DELAY: Duration = Duration::from_secs(1);

/// State of a task in progress, in bytes.
const TASK_BYTES: usize = 2 << 10;

/// Longest wait for the other frontends before a refusal.
const BLOCK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a peer gets no new work after a failed call.
const FAILED_PEER_PAUSE: Duration = Duration::from_millis(300);

/// Identity and timing of a frontend.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance.
    pub name: Rc<str>,
    /// Failure domain of the instance.
    pub domain: Rc<str>,
    /// Address at which peers reach the instance.
    pub address: SocketAddr,
    /// Time after which a run that no owner has found is certainly over.
    pub orphan_timeout: Duration,
    /// Fault injected by a test.
    pub injected_fault: Option<InjectedFault>,
}

/// Group of similar tasks in a job.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    pub task_count: u16,
    /// Resources of each task.
    pub resources: Resources,
    /// Declared run time.
    pub estimate: Duration,
    /// Indexes of the steps that must complete before.
    pub dependencies: Vec<usize>,
    /// Label that a target must have.
    pub required_label: Option<Rc<str>>,
    /// Rack that holds the data.
    pub preferred_rack: Option<Rc<str>>,
    /// Most tasks on one target, 0 for no limit.
    pub max_per_target: u16,
}

/// Job with the settings of its queue.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id of the job.
    pub job: JobId,
    /// What to run.
    pub spec: Rc<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Name of the queue.
    pub queue: Rc<str>,
    /// Service whose targets may run the tasks.
    pub service: Rc<str>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Failures of one task after which the job has failed.
    pub max_attempts: u32,
    /// Time within which the job should be answered.
    pub latency_goal: Duration,
    /// Time for which the caller waits.
    pub deadline: Duration,
}

impl Submission {
    /// Bytes that the job may hold here until it is answered: the submission, and for
    /// each task its state and the request that carries the specification.
    pub fn held_bytes(&self) -> usize {
        let text = |it: &Option<Rc<str>>| it.as_ref().map_or(0, |it| it.len());
        let per_step = self.steps.iter().map(|it| {
            let texts = text(&it.required_label) + text(&it.preferred_rack);
            let own = size_of::<Step>() + size_of_val(&it.dependencies[..]) + texts;
            let per_task = TASK_BYTES + self.spec.len() + texts;
            per_task
                .saturating_mul(usize::from(it.task_count))
                .saturating_add(own)
        });
        per_step.fold(self.spec.len(), usize::saturating_add)
    }
}

/// Answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks have completed.
    Completed,
    /// A task has failed too often, or can't run at all.
    Failed,
    /// No task has run or will run; the caller may retry after this delay.
    Refused(Duration),
    /// Given up after a task may have run.
    Unknown,
}

/// Takes jobs and runs them on the targets of all owners.
#[derive(Clone)]
pub struct Frontend(Rc<Shared>);

struct Shared {
    config: Config,
    scheduler: Scheduler,
    membership: Rc<Membership>,
    crash_history: Rc<CrashHistory>,
    target_list: Rc<RefCell<TargetList>>,
    transport: Rc<dyn Transport>,
    log: Logger,
    /// Jobs in progress, with their queues.
    jobs: RefCell<HashMap<JobId, Rc<str>>>,
    /// Jobs of which a task may have run, and when to forget them.
    started_jobs: RefCell<HashMap<JobId, Instant>>,
    /// Jobs that a peer refuses, and until when they are rejected here.
    blocked_jobs: RefCell<HashMap<JobId, Instant>>,
    failing_peers: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Time by which every job must be answered, set when the instance stops.
    answer_by: Cell<Option<Instant>>,
    closing: Notify,
}

impl Frontend {
    /// Creates the frontend of an instance.
    pub fn new(
        config: Config,
        scheduler: Scheduler,
        membership: Rc<Membership>,
        crash_history: Rc<CrashHistory>,
        target_list: Rc<RefCell<TargetList>>,
        transport: Rc<dyn Transport>,
        log: Logger,
    ) -> Frontend {
        Frontend(Rc::new(Shared {
            config,
            scheduler,
            membership,
            crash_history,
            target_list,
            transport,
            log,
            jobs: RefCell::default(),
            started_jobs: RefCell::default(),
            blocked_jobs: RefCell::default(),
            failing_peers: RefCell::default(),
            answer_by: Cell::default(),
            closing: Notify::new(),
        }))
    }

    /// Returns the number of jobs in progress.
    pub fn open_jobs(&self) -> usize {
        self.0.jobs.borrow().len()
    }

    /// Returns the number of jobs in a queue of which no task was sent to an
    /// owner.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let started_jobs = self.0.started_jobs.borrow();
        let jobs = self.0.jobs.borrow();
        let is_waiting =
            |it: &(&JobId, &Rc<str>)| **it.1 == *queue && !started_jobs.contains_key(it.0);
        jobs.iter().filter(is_waiting).count()
    }

    /// Rejects a job here for a while. Returns false if one of its tasks may
    /// have run.
    pub fn block(&self, job: JobId) -> bool {
        let shared = &self.0;
        let in_progress = shared.jobs.borrow().contains_key(&job);
        if in_progress || shared.may_have_run(job) {
            return false;
        }
        let until = clock::now() + BLOCK_DURATION;
        shared.blocked_jobs.borrow_mut().insert(job, until);
        true
    }

    /// Remembers that tasks of these jobs may have run.
    pub fn mark_started(&self, jobs: impl Iterator<Item = JobId>) {
        jobs.for_each(|it| self.0.mark_started(it));
    }

    /// Drops expired entries; must be called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.0
            .started_jobs
            .borrow_mut()
            .retain(|_, until| now < *until);
        self.0
            .blocked_jobs
            .borrow_mut()
            .retain(|_, until| now < *until);
    }

    /// Answers every job by `at`, and refuses those that can't be done by then.
    pub fn close_by(&self, at: Instant) {
        self.0.answer_by.set(Some(at));
        self.0.closing.notify();
    }

    /// Refuses a job for which there is no room. The answer is another one if one of its
    /// tasks may have run, here or elsewhere.
    pub async fn refuse(&self, job: JobId) -> Answer {
        let shared = &self.0;
        let in_progress = shared.jobs.borrow().contains_key(&job);
        let answer = match in_progress {
            true => Answer::Unknown,
            false => shared.refuse(job, NO_ROOM_DELAY).await,
        };
        info!(shared.log, "job refused for lack of room"; "job" => %job, "answer" => ?answer);
        answer
    }

    /// Runs a job. Dropping the future stops its tasks.
    pub async fn submit(&self, submission: Submission) -> Answer {
        let shared = &self.0;
        let received_at = clock::now();
        let job = submission.job;
        if shared.jobs.borrow().contains_key(&job) {
            info!(shared.log, "job is in progress already"; "job" => %job);
            return Answer::Unknown;
        }
        if shared.blocked_jobs.borrow().contains_key(&job) {
            info!(shared.log, "job was refused by a peer just now"; "job" => %job);
            return Answer::Refused(retry_delay(&submission));
        }
        let guard = JobGuard::new(shared, job, submission.queue.clone());
        let mut answer = shared.process(&submission, received_at).await;
        drop(guard);
        if let Answer::Refused(retry) = answer {
            answer = shared.refuse(job, retry).await;
        }
        let took = clock::now() - received_at;
        info!(shared.log, "job answered"; "job" => %job, "answer" => ?answer,
            "took_ms" => millis(took), "goal_ms" => millis(submission.latency_goal),
            "deadline_ms" => millis(submission.deadline), "priority" => submission.priority,
            "tasks" => submission.steps.iter().map(|it| it.task_count).sum::<u16>());
        answer
    }
}

/// Registers a job as in progress until it is dropped.
struct JobGuard {
    shared: Rc<Shared>,
    job: JobId,
}

impl JobGuard {
    fn new(shared: &Rc<Shared>, job: JobId, queue: Rc<str>) -> JobGuard {
        shared.jobs.borrow_mut().insert(job, queue);
        let shared = shared.clone();
        JobGuard { shared, job }
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        self.shared.jobs.borrow_mut().remove(&self.job);
    }
}

/// State of a job in progress.
struct ActiveJob<'a> {
    submission: &'a Submission,
    received_at: Instant,
    /// True once a task may have run.
    started: Cell<bool>,
    /// True once no more runs may start.
    stopping: Cell<bool>,
    /// Runs that were sent to an owner and not answered yet.
    unanswered_runs: RefCell<BTreeMap<(TaskId, u32), SocketAddr>>,
}

impl ActiveJob<'_> {
    fn time_left(&self) -> Duration {
        (self.received_at + self.submission.deadline) - clock::now()
    }

    fn goal_left(&self) -> Duration {
        (self.received_at + self.submission.latency_goal) - clock::now()
    }
}

impl Shared {
    /// Refusal of a job, unless one of its tasks may have run.
    async fn refuse(&self, job: JobId, retry: Duration) -> Answer {
        match self.block_elsewhere(job).await {
            true => Answer::Refused(retry),
            false => {
                info!(self.log, "job has started at a peer"; "job" => %job);
                Answer::Unknown
            }
        }
    }

    /// Asks the other frontends that the caller may reach to reject a job that
    /// is refused here. Returns false if one of its tasks may have run.
    ///
    /// A caller whose connection broke retries, and the frontend that had the
    /// job first may still be working on it.
    async fn block_elsewhere(&self, job: JobId) -> bool {
        if self.may_have_run(job) {
            return false;
        }
        let alive = self.membership.live_peers();
        let in_domain = |it: &&Peer| it.heartbeat.domain == self.config.domain;
        let peers: Vec<&Peer> = match alive.iter().any(|it| in_domain(&it)) {
            true => alive.iter().filter(in_domain).collect(),
            false => alive.iter().collect(),
        };
        let peers = peers.iter().map(|it| {
            self.transport
                .call(it.heartbeat.address, Request::Block(job))
        });
        let answers = clock::timeout(BLOCK_TIMEOUT, join_all(peers)).await;
        answers.is_some_and(|it| it.iter().all(|it| matches!(it, Ok(Reply::Accepted))))
    }

    async fn process(self: &Rc<Self>, submission: &Submission, received_at: Instant) -> Answer {
        let ignores_crashes = self.config.injected_fault == Some(InjectedFault::IgnoreCrashes);
        if !ignores_crashes && self.crash_history.is_harmful(submission.job) {
            info!(self.log, "job has crashed targets before"; "job" => %submission.job);
            return Answer::Failed;
        }
        if let Decision::Refuse(retry) = self.admit(submission) {
            return Answer::Refused(retry);
        }
        let active_job = ActiveJob {
            submission,
            received_at,
            started: Cell::new(self.may_have_run(submission.job)),
            stopping: Cell::new(false),
            unanswered_runs: RefCell::default(),
        };
        let steps = clock::timeout_at(
            received_at + submission.deadline,
            self.run_steps(&active_job),
        );
        let closing_time = async {
            while self.answer_by.get().is_none() {
                self.closing.notified().await;
            }
            clock::sleep_until(self.answer_by.get().unwrap_or_default()).await;
        };
        match select(pin!(steps), pin!(closing_time)).await {
            Either::Left((Some(answer), _)) => answer,
            Either::Left((None, _)) => Answer::Unknown,
            Either::Right(_) => self.give_up(&active_job, NotStartedReason::OwnerUnavailable),
        }
    }

    fn admit(&self, submission: &Submission) -> Decision {
        let owners = self.owner_candidates().0;
        let steps: Vec<StepDemand<'_>> = (submission.steps.iter())
            .map(|it| StepDemand {
                tasks: it.task_count,
                cpu: it.resources.cpu,
                run_time: it.estimate,
                dependencies: &it.dependencies,
            })
            .collect();
        let cpu = steps.iter().map(|it| it.cpu).max().unwrap_or_default();
        let usable = owners.iter().filter(|it| it.reachable);
        let mut forecasts: Vec<Forecast> = usable
            .map(|it| Forecast::new(&it.load, it.load_age, submission.priority, cpu))
            .collect();
        let run_time = steps.iter().map(|it| it.run_time).max().unwrap_or_default();
        let expected = admission::expect(&steps, &mut forecasts);
        // Without room anywhere the job waits for it, until its deadline. Targets that
        // are all blocked may still be used.
        let any_cores = owners
            .iter()
            .any(|it| it.reachable && it.load.total_cores > 0);
        let unknown = match any_cores {
            true => (Duration::ZERO, run_time),
            false => (submission.deadline, submission.deadline + run_time),
        };
        let (wait, end) = expected.unwrap_or(unknown);
        let mut time_limit = submission.latency_goal.min(submission.deadline);
        if let Some(at) = self.answer_by.get() {
            time_limit = time_limit.min(at - clock::now());
        }
        let estimate = Estimate {
            wait,
            end,
            time_limit,
            priority: submission.priority,
            spread: submission.job.0,
        };
        let decision = admission::decide(estimate);
        if let Decision::Refuse(retry) = decision {
            info!(self.log, "job refused at its arrival"; "job" => %submission.job,
                "wait_ms" => millis(wait), "end_ms" => millis(end), "limit_ms" => millis(time_limit),
                "owners" => owners.len(), "oldest_load_ms" => millis(self.membership.oldest_load_age()),
                "retry_ms" => millis(retry));
        }
        decision
    }

    async fn run_steps(self: &Rc<Self>, active_job: &ActiveJob<'_>) -> Answer {
        let steps = &active_job.submission.steps;
        let mut remaining: Vec<u16> = steps.iter().map(|it| it.task_count).collect();
        let mut started = vec![false; steps.len()];
        let mut tasks = FuturesUnordered::new();
        loop {
            for (number, step) in steps.iter().enumerate() {
                let ready = step
                    .dependencies
                    .iter()
                    .all(|it| remaining.get(*it) == Some(&0));
                if started[number] || !ready {
                    continue;
                }
                started[number] = true;
                for index in 0..step.task_count {
                    let task = TaskId {
                        job: active_job.submission.job,
                        occurrence: 0,
                        step: u16::try_from(number).unwrap_or(u16::MAX),
                        index,
                    };
                    let running = self.run_task(active_job, step, task);
                    tasks.push(async move { (number, running.await) });
                }
            }
            let Some((number, outcome)) = tasks.next().await else {
                // A step whose dependencies can't complete has not started.
                return match started.iter().all(|it| *it) {
                    true => Answer::Completed,
                    false => Answer::Failed,
                };
            };
            match outcome {
                TaskOutcome::Done => remaining[number] -= 1,
                TaskOutcome::Failed => return Answer::Failed,
                TaskOutcome::GivenUp => return Answer::Unknown,
                TaskOutcome::Refused(reason) => {
                    self.cancel_runs(active_job);
                    let remaining_tasks = async { while tasks.next().await.is_some() {} };
                    clock::timeout(CANCEL_TIMEOUT, remaining_tasks).await;
                    return self.give_up(active_job, reason);
                }
            }
        }
    }

    /// Cancels all runs of a job; their owners report whether they started.
    fn cancel_runs(&self, active_job: &ActiveJob<'_>) {
        active_job.stopping.set(true);
        for (&(task, run), &owner) in active_job.unanswered_runs.borrow().iter() {
            if owner == self.config.address {
                self.scheduler.cancel(task, run);
                continue;
            }
            let call = self.transport.call(owner, Request::Cancel { task, run });
            // Only the reply to the run itself counts.
            drop(spawn(async move { drop(call.await) }));
        }
    }

    /// Whether a task of the job may have run, here or elsewhere.
    fn may_have_run(&self, job: JobId) -> bool {
        self.started_jobs.borrow().contains_key(&job) || self.crash_history.may_have_run(job)
    }

    /// Remembers that a task of the job may have run.
    fn mark_started(&self, job: JobId) {
        let until = clock::now() + STARTED_RETENTION;
        self.started_jobs.borrow_mut().insert(job, until);
    }

    /// Returns the answer to a job that can't be served any more.
    fn give_up(&self, active_job: &ActiveJob<'_>, reason: NotStartedReason) -> Answer {
        // A run without an answer may have started.
        let started = active_job.started.get() || !active_job.unanswered_runs.borrow().is_empty();
        let started = started && self.config.injected_fault != Some(InjectedFault::RefuseAfterSend);
        info!(self.log, "job given up"; "job" => %active_job.submission.job, "cause" => %reason,
            "begun" => started);
        match started {
            true => Answer::Unknown,
            false => {
                self.started_jobs
                    .borrow_mut()
                    .remove(&active_job.submission.job);
                Answer::Refused(retry_delay(active_job.submission))
            }
        }
    }

    fn pause_peer(&self, peer: SocketAddr) {
        let until = clock::now() + FAILED_PEER_PAUSE;
        self.failing_peers.borrow_mut().insert(peer, until);
    }

    fn choose_owner(&self, run_request: &RunRequest) -> Option<SocketAddr> {
        let (mut owners, addresses) = self.owner_candidates();
        let demand = Demand {
            cpu: run_request.resources.cpu,
            run_time: Duration::from_millis(run_request.estimate_ms.into()),
            goal: Duration::from_millis(run_request.goal_remaining_ms.into()),
            priority: run_request.priority,
            spread: spread_of(run_request.task, run_request.run),
        };
        let (index, _) = owner_selection::choose(demand, &mut owners)?;
        let address = addresses[index];
        if address != self.config.address {
            self.membership
                .extend_load(address, owners[index].load.clone());
        }
        Some(address)
    }

    /// Whether all of these targets are known to be evacuated.
    fn is_evacuated(&self, short_ids: &[u32], now: Instant) -> bool {
        let evacuations = self.scheduler.evacuations();
        if evacuations.is_empty() || short_ids.is_empty() {
            return false;
        }
        let target_list = self.target_list.borrow();
        let is_evacuated = |short_id: &u32| {
            let target = target_list.find(*short_id);
            target.is_some_and(|it| !evacuations.allows(&it.domain, *short_id, now))
        };
        short_ids.iter().all(is_evacuated)
    }

    fn owner_candidates(&self) -> (Vec<Owner>, Vec<SocketAddr>) {
        let now = clock::now();
        self.failing_peers
            .borrow_mut()
            .retain(|_, until| *until > now);
        let failing_peers = self.failing_peers.borrow();
        let mut owners = vec![Owner {
            distance: Distance::Local,
            load: Rc::new(self.scheduler.load()),
            load_age: Duration::ZERO,
            reachable: true,
        }];
        let mut addresses = vec![self.config.address];
        for peer in self.membership.live_peers() {
            let heartbeat = &peer.heartbeat;
            owners.push(Owner {
                distance: match heartbeat.domain == self.config.domain {
                    true => Distance::SameDomain,
                    false => Distance::OtherDomain,
                },
                load: peer.load,
                load_age: now - peer.load_at,
                reachable: !heartbeat.leaving
                    && !failing_peers.contains_key(&heartbeat.address)
                    && !self.is_evacuated(&heartbeat.target_short_ids, now),
            });
            addresses.push(heartbeat.address);
        }
        (owners, addresses)
    }
}

/// Retry delay of a job that was refused for another reason than its expected end.
fn retry_delay(submission: &Submission) -> Duration {
    let spread = submission.job.0;
    admission::retry_delay(submission.latency_goal, submission.priority, spread)
}

/// Number that differs between runs, the same in each replay.
fn spread_of(task: TaskId, run: u32) -> u64 {
    let index = u64::from(task.step) << 32 | u64::from(task.index) << 16 | u64::from(run);
    owner_selection::mix(task.job.0 ^ owner_selection::mix(index))
}

fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
