/*!
The caller's side: from a job to its answer.

A [`Frontend`] decides at a job's arrival whether it can be served, hands each task
to the owner of a target, and answers once all tasks have done their work. What
it says is true: a job is refused only when none of its tasks has started, and a
job that is given up after a start is answered as unknown.

A task whose owner is lost is looked for at the others, who find it on the
targets that they take over. After [`Config::orphan_timeout`] it can't be running any
more: new owners stop what nobody claims, and leases lapse.
*/

mod search;

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

use crate::{
    JobId, Planted, Resources, Target, TaskId,
    admission::{self, Decision, Estimate},
    membership::{CallError, Heartbeat, Membership, Reply, Request, Transport},
    messages::{ClockReading, NotStartedReason, RunOutcome, RunRequest},
    owner_selection::{self, Demand, Distance, Owner},
    scheduler::{DropPolicy, Scheduler},
};

/// Pause before a task that found no taker is offered again.
const OFFER_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for the owners of a job that is taken back; a stop takes less.
const RECALL_WAIT: Duration = Duration::from_millis(400);

/// Time for which it is remembered that a job began; callers send again within
/// two seconds, and a front that stood still is back within some more.
const REMEMBERED: Duration = Duration::from_secs(20);

/// Time for which a job that is refused elsewhere may not begin; less than the
/// shortest time after which its caller is asked back.
const DENIED: Duration = Duration::from_millis(900);

/// Longest wait for the other fronts before a refusal.
const DENY_WAIT: Duration = Duration::from_millis(60);

/// Time for which a peer whose call failed gets no new work.
const PEER_PAUSE: Duration = Duration::from_millis(300);

/// Multiple of the goal after which an answer is worth nothing to its caller.
const LATE_FACTOR: u32 = 3;

/// Share of the goal within which a job must be expected to end to be taken, in
/// percent.
const ADMIT_PERCENT: u32 = 100;

/// Run numbers that one task may use.
const MAX_RUNS: u32 = 64;

/// Thousandths of a core in a core.
const MILLICORES: u32 = 1_000;

/// Timing and identity of a front.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance.
    pub name: Rc<str>,
    /// Failure domain of the instance.
    pub domain: Rc<str>,
    /// Address at which peers know the instance.
    pub address: SocketAddr,
    /// Time after which a run that nobody has found is over for certain.
    pub orphan_timeout: Duration,
    /// CallError planted by a test.
    pub planted: Option<Planted>,
}

/// Part of a job whose tasks are alike.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    pub task_count: u16,
    /// What each takes.
    pub resources: Resources,
    /// Declared run time.
    pub estimate: Duration,
    /// Steps that must be done before.
    pub dependencies: Vec<usize>,
    /// Label that a target must carry.
    pub required_label: Option<Rc<str>>,
    /// Rack that holds the data.
    pub preferred_rack: Option<Rc<str>>,
    /// Most tasks on one target, 0 for any number.
    pub max_per_target: u16,
}

/// Job as its queue takes it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id.
    pub job: JobId,
    /// What to run.
    pub spec: Rc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Queue that took it.
    pub queue: Rc<str>,
    /// Service whose targets may run it.
    pub service: Rc<str>,
    /// Priority, 0 first.
    pub priority: u8,
    /// Failures of one task after which the job has failed.
    pub max_attempts: u32,
    /// Time in which it should be answered.
    pub latency_goal: Duration,
    /// Time for which the caller waits.
    pub deadline: Duration,
}

/// Answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks have done their work.
    Completed,
    /// A task has failed as often as allowed, or can't run at all.
    Failed,
    /// Nothing of it has run or will; room is expected after this time.
    Refused(Duration),
    /// Given up after something of it may have run.
    Unknown,
}

/// Takes jobs.
#[derive(Clone)]
pub struct Frontend(Rc<Shared>);

struct Shared {
    config: Config,
    keeper: Scheduler,
    membership: Rc<Membership>,
    peers: Rc<dyn Transport>,
    log: Logger,
    /// Jobs in progress, with their queues.
    jobs: RefCell<HashMap<JobId, Rc<str>>>,
    /// Jobs of which something may have run, until they are forgotten.
    begun: RefCell<HashMap<JobId, Instant>>,
    /// Jobs that another front refuses, until they may come again.
    denied: RefCell<HashMap<JobId, Instant>>,
    failing: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Time by which every job must be answered, once the instance stops.
    close_at: Cell<Option<Instant>>,
    closing: Notify,
}

/// What happened to one task.
enum Outcome {
    Done,
    Failed,
    Refused(NotStartedReason),
    GivenUp,
}

impl Frontend {
    /// Frontend of an instance.
    pub fn new(
        config: Config,
        keeper: Scheduler,
        membership: Rc<Membership>,
        peers: Rc<dyn Transport>,
        log: Logger,
    ) -> Frontend {
        Frontend(Rc::new(Shared {
            config,
            keeper,
            membership,
            peers,
            log,
            jobs: RefCell::default(),
            begun: RefCell::default(),
            denied: RefCell::default(),
            failing: RefCell::default(),
            close_at: Cell::default(),
            closing: Notify::new(),
        }))
    }

    /// Jobs in progress.
    pub fn open_jobs(&self) -> usize {
        self.0.jobs.borrow().len()
    }

    /// Jobs of a queue of which nothing has been handed to an owner.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let begun = self.0.begun.borrow();
        let jobs = self.0.jobs.borrow();
        let waits = |it: &(&JobId, &Rc<str>)| **it.1 == *queue && !begun.contains_key(it.0);
        jobs.iter().filter(waits).count()
    }

    /// Keeps a job from running here; false where something of it may have run.
    pub fn deny(&self, job: JobId) -> bool {
        let shared = &self.0;
        let here = shared.jobs.borrow().contains_key(&job);
        if here || shared.begun.borrow().contains_key(&job) {
            return false;
        }
        let until = clock::now() + DENIED;
        shared.denied.borrow_mut().insert(job, until);
        true
    }

    /// Forgets what is too old to matter; to be called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.0.begun.borrow_mut().retain(|_, until| now < *until);
        self.0.denied.borrow_mut().retain(|_, until| now < *until);
    }

    /// Answers every job by `at`; refuses those that can't be done by then.
    pub fn close_by(&self, at: Instant) {
        self.0.close_at.set(Some(at));
        self.0.closing.notify();
    }

    /// Serves a job; dropping the future stops its tasks.
    pub async fn submit(&self, submission: Submission) -> Answer {
        let shared = &self.0;
        let since = clock::now();
        let job = submission.job;
        if shared.jobs.borrow().contains_key(&job) {
            info!(shared.log, "job is in progress already"; "job" => %job);
            return Answer::Unknown;
        }
        if shared.denied.borrow().contains_key(&job) {
            info!(shared.log, "job refused elsewhere just now"; "job" => %job);
            return Answer::Refused(submission.latency_goal);
        }
        let open = Open::new(shared, job, submission.queue.clone());
        let mut answer = shared.serve(&submission, since).await;
        drop(open);
        if matches!(answer, Answer::Refused(_)) && !shared.deny_elsewhere(job).await {
            info!(shared.log, "job has begun elsewhere"; "job" => %job);
            answer = Answer::Unknown;
        }
        let took = clock::now() - since;
        info!(shared.log, "job answered"; "job" => %job, "answer" => ?answer,
            "took_ms" => millis(took), "goal_ms" => millis(submission.latency_goal),
            "deadline_ms" => millis(submission.deadline), "priority" => submission.priority,
            "tasks" => submission.steps.iter().map(|it| it.task_count).sum::<u16>());
        answer
    }
}

/// Keeps a job on the list of those in progress.
struct Open {
    shared: Rc<Shared>,
    job: JobId,
}

impl Open {
    fn new(shared: &Rc<Shared>, job: JobId, queue: Rc<str>) -> Open {
        shared.jobs.borrow_mut().insert(job, queue);
        let shared = shared.clone();
        Open { shared, job }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.jobs.borrow_mut().remove(&self.job);
    }
}

/// One job while it is served.
struct Ticket<'a> {
    submission: &'a Submission,
    since: Instant,
    /// True once something of it may have run.
    begun: Cell<bool>,
    /// True once no more is to be started.
    ending: Cell<bool>,
    /// Runs that an owner has and has not answered for.
    out: RefCell<BTreeMap<(TaskId, u32), SocketAddr>>,
}

impl Ticket<'_> {
    fn left(&self) -> Duration {
        (self.since + self.submission.deadline) - clock::now()
    }

    fn goal_left(&self) -> Duration {
        (self.since + self.submission.latency_goal) - clock::now()
    }
}

impl Shared {
    /// Keeps a job that is refused here from running at the other fronts that
    /// its caller reaches; false where something of it may have run.
    ///
    /// A caller whose connection broke sends its job again, and the front that
    /// had it first may still be at it.
    async fn deny_elsewhere(&self, job: JobId) -> bool {
        if self.begun.borrow().contains_key(&job) {
            return false;
        }
        let alive = self.membership.live_peers();
        let near = |it: &&Heartbeat| it.domain == self.config.domain;
        let asked: Vec<&Heartbeat> = match alive.iter().any(|it| near(&it)) {
            true => alive.iter().filter(near).collect(),
            false => alive.iter().collect(),
        };
        let asked = asked
            .iter()
            .map(|it| self.peers.call(it.address, Request::Deny(job)));
        let answers = clock::timeout(DENY_WAIT, join_all(asked)).await;
        answers.is_some_and(|it| it.iter().all(|it| matches!(it, Ok(Reply::Accepted))))
    }

    async fn serve(self: &Rc<Self>, submission: &Submission, since: Instant) -> Answer {
        if let Decision::Refuse(retry) = self.admit(submission) {
            return Answer::Refused(retry);
        }
        let ticket = Ticket {
            submission,
            since,
            begun: Cell::new(false),
            ending: Cell::new(false),
            out: RefCell::default(),
        };
        let steps = clock::timeout_at(since + submission.deadline, self.steps(&ticket));
        let closed = async {
            while self.close_at.get().is_none() {
                self.closing.notified().await;
            }
            clock::sleep_until(self.close_at.get().unwrap_or_default()).await;
        };
        match select(pin!(steps), pin!(closed)).await {
            Either::Left((Some(answer), _)) => answer,
            Either::Left((None, _)) => Answer::Unknown,
            Either::Right(_) => self.give_up(&ticket, NotStartedReason::OwnerUnavailable),
        }
    }

    fn admit(&self, submission: &Submission) -> Decision {
        let mut owners = self.owners().0;
        let mut wait = Duration::ZERO;
        let mut run_time = Duration::ZERO;
        for step in submission
            .steps
            .iter()
            .filter(|it| it.dependencies.is_empty())
        {
            run_time = run_time.max(step.estimate);
            for _ in 0..step.task_count {
                let demand = Demand {
                    cores: cores(step.resources),
                    run_time: step.estimate,
                    priority: submission.priority,
                };
                let chosen = owner_selection::choose(demand, &mut owners);
                // Without any owner the job waits for one, within its limit.
                let (_, expected) = chosen.unwrap_or((0, submission.deadline));
                wait = wait.max(expected);
            }
        }
        let useful = submission.latency_goal * ADMIT_PERCENT / 100;
        let mut time_limit = useful.min(submission.deadline);
        if let Some(at) = self.close_at.get() {
            time_limit = time_limit.min(at - clock::now());
        }
        let estimate = Estimate {
            wait,
            run_time,
            time_limit,
        };
        let decision = admission::decide(estimate);
        if let Decision::Refuse(retry) = decision {
            info!(self.log, "job refused at its arrival"; "job" => %submission.job,
                "wait_ms" => millis(wait), "run_ms" => millis(run_time), "limit_ms" => millis(time_limit),
                "owners" => owners.len(), "oldest_load_ms" => millis(self.membership.oldest()),
                "retry_ms" => millis(retry));
        }
        decision
    }

    async fn steps(self: &Rc<Self>, ticket: &Ticket<'_>) -> Answer {
        let steps = &ticket.submission.steps;
        let mut left: Vec<u16> = steps.iter().map(|it| it.task_count).collect();
        let mut begun = vec![false; steps.len()];
        let mut tasks = FuturesUnordered::new();
        loop {
            for (number, step) in steps.iter().enumerate() {
                let ready = step.dependencies.iter().all(|it| left.get(*it) == Some(&0));
                if begun[number] || !ready {
                    continue;
                }
                begun[number] = true;
                for index in 0..step.task_count {
                    let task = TaskId {
                        job: ticket.submission.job,
                        occurrence: 0,
                        step: u16::try_from(number).unwrap_or(u16::MAX),
                        index,
                    };
                    let work = self.task(ticket, step, task);
                    tasks.push(async move { (number, work.await) });
                }
            }
            let Some((number, outcome)) = tasks.next().await else {
                return Answer::Completed;
            };
            match outcome {
                Outcome::Done => left[number] -= 1,
                Outcome::Failed => return Answer::Failed,
                Outcome::GivenUp => return Answer::Unknown,
                Outcome::Refused(reason) => {
                    self.recall(ticket);
                    let others = async { while tasks.next().await.is_some() {} };
                    clock::timeout(RECALL_WAIT, others).await;
                    return self.give_up(ticket, reason);
                }
            }
        }
    }

    /// Takes all runs of a job back; their owners say whether they started.
    fn recall(&self, ticket: &Ticket<'_>) {
        ticket.ending.set(true);
        for (&(task, run), &owner) in ticket.out.borrow().iter() {
            if owner == self.config.address {
                self.keeper.cancel(task, run);
                continue;
            }
            let call = self.peers.call(owner, Request::Cancel { task, run });
            // The answer that counts is that to the run itself.
            drop(spawn(async move { drop(call.await) }));
        }
    }

    /// Sees one task through.
    async fn task(self: &Rc<Self>, ticket: &Ticket<'_>, step: &Step, task: TaskId) -> Outcome {
        let mut failures = 0;
        for run in 1..=MAX_RUNS {
            let order = self.order(ticket, step, task, run);
            let ending = match self.hand_over(ticket, &order).await {
                Whereabouts::Ended(ending) => ending,
                Whereabouts::Among(tags) => self.search(ticket, &order, &tags).await,
            };
            ticket.out.borrow_mut().remove(&(task, run));
            if !matches!(ending, RunOutcome::NotStarted(_)) {
                ticket.begun.set(true);
            }
            match ending {
                RunOutcome::Done => return Outcome::Done,
                RunOutcome::Failed => {
                    failures += 1;
                    if failures >= ticket.submission.max_attempts {
                        return Outcome::Failed;
                    }
                }
                RunOutcome::Lost | RunOutcome::Moved { .. } | RunOutcome::Superseded => {}
                RunOutcome::NotStarted(NotStartedReason::RunNumberUsed) => {}
                RunOutcome::NotStarted(NotStartedReason::RejectedByTarget) => {
                    return Outcome::Failed;
                }
                RunOutcome::NotStarted(
                    reason @ (NotStartedReason::StartTimeout | NotStartedReason::NoSuitableTarget),
                ) => {
                    return Outcome::Refused(reason);
                }
                RunOutcome::NotStarted(
                    NotStartedReason::OwnerUnavailable | NotStartedReason::Cancelled,
                ) => {
                    clock::sleep(OFFER_PAUSE).await;
                }
            }
            if ticket.ending.get() || ticket.left() <= step.estimate / 2 {
                return Outcome::Refused(NotStartedReason::StartTimeout);
            }
        }
        Outcome::GivenUp
    }

    fn order(&self, ticket: &Ticket<'_>, step: &Step, task: TaskId, run: u32) -> RunRequest {
        let useful = (ticket.since + ticket.submission.latency_goal * LATE_FACTOR) - clock::now();
        let patience = ticket.left().min(useful).saturating_sub(step.estimate);
        RunRequest {
            task,
            run,
            spec: ticket.submission.spec.clone(),
            service: ticket.submission.service.clone(),
            resources: step.resources,
            constraint: step.required_label.clone(),
            affinity: step.preferred_rack.clone(),
            max_per_target: step.max_per_target,
            estimate_ms: short(step.estimate),
            priority: ticket.submission.priority,
            goal_remaining_ms: short(ticket.goal_left()),
            start_timeout_ms: short(patience),
            eligible_targets: Rc::default(),
            sent_at: ClockReading::default(),
            front_address: self.config.address,
        }
    }

    /// Remembers that something of a job may run from now on.
    fn begin(&self, job: JobId) {
        let until = clock::now() + REMEMBERED;
        self.begun.borrow_mut().insert(job, until);
    }

    /// Hands a run to an owner and waits for its end.
    async fn hand_over(self: &Rc<Self>, ticket: &Ticket<'_>, order: &RunRequest) -> Whereabouts {
        let Some(owner) = self.choose(order) else {
            clock::sleep(OFFER_PAUSE).await;
            return Whereabouts::Ended(RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable));
        };
        ticket
            .out
            .borrow_mut()
            .insert((order.task, order.run), owner);
        self.begin(order.task.job);
        if owner == self.config.address {
            let ending = self.keeper.run(order.clone(), DropPolicy::Stop).await;
            return settled(ending, self.keeper.short_ids());
        }
        let order = &RunRequest {
            eligible_targets: self.membership.held_by(owner).into(),
            sent_at: self.membership.clocks_of(owner),
            ..order.clone()
        };
        let recall = Recall::new(self, owner, order);
        let call = self.peers.call(owner, Request::Run(order.clone()));
        let reply = match select(call, pin!(self.membership.gone(owner))).await {
            Either::Left((reply, _)) => {
                recall.done();
                reply
            }
            // It is told to forget the order, should it come back.
            Either::Right(_) => Err(CallError::Unknown),
        };
        match reply {
            Ok(Reply::Ended(ending, load)) => {
                self.membership.note_load(owner, load);
                settled(ending, order.eligible_targets.to_vec())
            }
            Ok(_) | Err(CallError::NotSent) => {
                self.distrust(owner);
                Whereabouts::Ended(RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable))
            }
            Err(CallError::Unknown) => {
                self.distrust(owner);
                info!(self.log, "owner lost"; "task" => %order.task, "run" => order.run,
                    "owner" => %owner);
                Whereabouts::Among(order.eligible_targets.to_vec())
            }
        }
    }

    /// Answer to a job that can't be served any more.
    fn give_up(&self, ticket: &Ticket<'_>, reason: NotStartedReason) -> Answer {
        // A run without an answer may have started.
        let begun = ticket.begun.get() || !ticket.out.borrow().is_empty();
        let begun = begun && self.config.planted != Some(Planted::NotRunAfterSend);
        info!(self.log, "job given up"; "job" => %ticket.submission.job, "cause" => %reason,
            "begun" => begun);
        match begun {
            true => Answer::Unknown,
            false => {
                self.begun.borrow_mut().remove(&ticket.submission.job);
                Answer::Refused(ticket.submission.latency_goal)
            }
        }
    }

    fn distrust(&self, peer: SocketAddr) {
        let until = clock::now() + PEER_PAUSE;
        self.failing.borrow_mut().insert(peer, until);
    }

    fn choose(&self, order: &RunRequest) -> Option<SocketAddr> {
        let (mut owners, addresses) = self.owners();
        let demand = Demand {
            cores: cores(order.resources),
            run_time: Duration::from_millis(order.estimate_ms.into()),
            priority: order.priority,
        };
        let (index, _) = owner_selection::choose(demand, &mut owners)?;
        let address = addresses[index];
        if address != self.config.address {
            self.membership
                .note_load(address, owners[index].load.clone());
        }
        Some(address)
    }

    fn owners(&self) -> (Vec<Owner>, Vec<SocketAddr>) {
        let now = clock::now();
        self.failing.borrow_mut().retain(|_, until| *until > now);
        let failing = self.failing.borrow();
        let mut owners = vec![Owner {
            distance: Distance::Local,
            load: self.keeper.load(),
            reachable: true,
        }];
        let mut addresses = vec![self.config.address];
        for heartbeat in self.membership.live_peers() {
            owners.push(Owner {
                distance: match heartbeat.domain == self.config.domain {
                    true => Distance::SameDomain,
                    false => Distance::OtherDomain,
                },
                load: heartbeat.load,
                reachable: !heartbeat.leaving && !failing.contains_key(&heartbeat.address),
            });
            addresses.push(heartbeat.address);
        }
        (owners, addresses)
    }
}

/// Where a run is that was handed over.
enum Whereabouts {
    /// It is over.
    Ended(RunOutcome),
    /// It may be on any of the targets with these tags.
    Among(Vec<u32>),
}

fn settled(ending: RunOutcome, held: Vec<u32>) -> Whereabouts {
    match ending {
        RunOutcome::Moved { target } => Whereabouts::Among(vec![Target::short_id(&target)]),
        RunOutcome::Superseded => Whereabouts::Among(held),
        ending => Whereabouts::Ended(ending),
    }
}

/// Takes an order back from its owner when nobody waits for it any more.
struct Recall {
    shared: Rc<Shared>,
    owner: SocketAddr,
    task: Option<(TaskId, u32)>,
}

impl Recall {
    fn new(shared: &Rc<Shared>, owner: SocketAddr, order: &RunRequest) -> Recall {
        Recall {
            shared: shared.clone(),
            owner,
            task: Some((order.task, order.run)),
        }
    }

    fn done(mut self) {
        self.task = None;
    }
}

impl Drop for Recall {
    fn drop(&mut self) {
        let Some((task, run)) = self.task else { return };
        let call = self
            .shared
            .peers
            .call(self.owner, Request::Cancel { task, run });
        drop(spawn(async move {
            // An owner that is lost stops it by itself.
            let _ = call.await;
        }));
    }
}

fn cores(resources: Resources) -> u16 {
    u16::try_from(resources.cpu.div_ceil(MILLICORES)).unwrap_or(u16::MAX)
}

fn short(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
