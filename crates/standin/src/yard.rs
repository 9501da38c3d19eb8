/*!
Targets with capacity, in memory: fencing tokens, leases, long polls and orders
that get lost or come late.

The yard also watches what the users fear: a target above its capacity, a task
with two runs at once, a task that crashes target after target. What a task takes
is written in its spec as `CPU MILLISECONDS`, with ` fail` behind it for a task that
fails and ` crash` for a job whose first task crashes its target instead of ending.
*/

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    Target, TaskId,
    target_client::{
        ActiveRun, EndedRun, ExitStatus, PollRequest, RequestError, StartRequest, Status,
        TargetClient,
    },
};
use bluebellpath_runtime::{Instant, LocalFuture, Notify, Scope, clock};

/// Way of an order to a target.
const WAY: Duration = Duration::from_millis(1);

/// Time after which an order without an answer counts as unknown.
const ANSWER: Duration = Duration::from_millis(300);

/// Longest lease that a target grants, in milliseconds.
const MAX_LEASE_MS: u64 = 1_000;

/// What happens to orders to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mishap {
    /// Nothing.
    #[default]
    None,
    /// Starts get no answer and are carried out after this time.
    Late(Duration),
    /// Orders are carried out, and their answers are lost.
    Mute,
    /// It answers nobody, and what runs there goes on.
    Dark,
    /// It refuses connections, and what runs there goes on.
    Closed,
    /// It refuses all starts.
    Refuse,
    /// What is started there never ends.
    Hang,
    /// The answer to one in this many polls is lost.
    Lossy(u64),
}

/// What a cut does to orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// They are lost, and so are the answers that are under way.
    Silent,
    /// Connections are reset, and new ones refused.
    Refusing,
    /// They arrive, and their answers are lost.
    AnswersLost,
}

/// Cuts between the instances of one domain and the targets of another.
type Cuts = BTreeMap<(Rc<str>, Rc<str>), Cut>;

/// Time for which a target is down after a task has crashed it.
const DOWN: Duration = Duration::from_millis(3_200);

/// Crashes under one task after which its starts are counted.
const CRASHES: u32 = 3;

/// Starts after these crashes that are too many.
const STARTS_AFTER_CRASHES: u32 = 3;

/// Time for which a capacity that has shrunk is not held against those who start
/// tasks.
const SHRINK_GRACE: Duration = Duration::from_millis(4_500);

/// Run time of what never ends, longer than any session.
const FOREVER: Duration = Duration::from_secs(86_400);

/// Targets in memory.
#[derive(Clone, Default)]
pub struct Yard(Rc<Inner>);

#[derive(Default)]
struct Inner {
    targets: RefCell<BTreeMap<Rc<str>, Rc<State>>>,
    violations: RefCell<Vec<String>>,
    started: RefCell<BTreeMap<TaskId, u32>>,
    /// Times of all starts, with the targets.
    start_times: RefCell<Vec<(Instant, Rc<str>)>>,
    /// Crashes under each task that crashes its targets, and its starts after
    /// [`CRASHES`] of them.
    crashes: RefCell<BTreeMap<TaskId, (u32, u32)>>,
    cuts: RefCell<Cuts>,
    /// Orders to each target, whether or not they reach it.
    orders: RefCell<BTreeMap<Rc<str>, u64>>,
}

struct State {
    target: RefCell<Target>,
    /// End of the time for which the target is down after a crash.
    down_until: Cell<Option<Instant>>,
    /// Cores before the last change, and its time.
    shrunk: Cell<(u32, Instant)>,
    mishap: Cell<Mishap>,
    changed: Notify,
    fence: Cell<u64>,
    lease_end: Cell<u64>,
    ends: Cell<u64>,
    polls: Cell<u64>,
    runs: RefCell<BTreeMap<(TaskId, u32), Busy>>,
    ended: RefCell<Vec<EndedRun>>,
    highest: RefCell<BTreeMap<TaskId, u32>>,
}

#[derive(Clone, Copy)]
struct Busy {
    cpu: u32,
    until: Instant,
    fails: bool,
    crashes: bool,
}

/// Orders of one instance, which its failure domain's cuts affect.
pub struct Hand {
    yard: Yard,
    domain: Rc<str>,
}

impl Yard {
    /// Adds a target.
    pub fn add(&self, target: Target) {
        let state = State {
            target: RefCell::new(target.clone()),
            down_until: Cell::default(),
            shrunk: Cell::new((target.capacity.cpu, clock::now())),
            mishap: Cell::default(),
            changed: Notify::new(),
            fence: Cell::new(0),
            lease_end: Cell::new(0),
            ends: Cell::new(0),
            polls: Cell::new(0),
            runs: RefCell::default(),
            ended: RefCell::default(),
            highest: RefCell::default(),
        };
        self.0
            .targets
            .borrow_mut()
            .insert(target.id, Rc::new(state));
    }

    /// All targets, as the list names them.
    pub fn list(&self) -> BTreeMap<Rc<str>, Target> {
        let targets = self.0.targets.borrow();
        targets
            .iter()
            .map(|(id, it)| (id.clone(), it.listed()))
            .collect()
    }

    /// Sets the cores of the target `id`, in thousandths.
    pub fn set_cpu(&self, id: &str, cpu: u32) {
        if let Some(state) = self.state(id) {
            let before = std::mem::replace(&mut state.target.borrow_mut().capacity.cpu, cpu);
            if before != cpu {
                state.shrunk.set((before, clock::now()));
            }
        }
    }

    /// Lists the target `id` as draining.
    pub fn drain(&self, id: &str) {
        if let Some(state) = self.state(id) {
            state.target.borrow_mut().draining = true;
        }
    }

    /// Crashes the target `id`, which is back after a while as a new incarnation.
    pub fn crash(&self, id: &str) {
        if let Some(state) = self.state(id) {
            state.crash();
        }
    }

    /// Crashes the target `id`, which starts again at once under its id. Connections to
    /// the former incarnation stay silent.
    pub fn restart(&self, id: &str) {
        if let Some(state) = self.state(id) {
            state.crash();
            state.down_until.set(None);
        }
    }

    /// Crashes of targets under each task that crashes them.
    pub fn crashes(&self) -> BTreeMap<TaskId, u32> {
        let crashes = self.0.crashes.borrow();
        crashes.iter().map(|(task, it)| (*task, it.0)).collect()
    }

    /// Orders of an instance in `domain`.
    pub fn hand(&self, domain: &str) -> Hand {
        Hand {
            yard: self.clone(),
            domain: domain.into(),
        }
    }

    /// Sets what happens to orders to the target `id`.
    pub fn set_mishap(&self, id: &str, mishap: Mishap) {
        if let Some(state) = self.0.targets.borrow().get(id) {
            state.mishap.set(mishap);
        }
    }

    /// Cuts the instances of domain `a` off the targets of domain `b`, or heals.
    pub fn cut(&self, a: &str, b: &str, cut: Option<Cut>) {
        let mut cuts = self.0.cuts.borrow_mut();
        match cut {
            Some(cut) => cuts.insert((a.into(), b.into()), cut),
            None => cuts.remove(&(a.into(), b.into())),
        };
        for state in self.0.targets.borrow().values() {
            if *state.target.borrow().domain == *b {
                state.changed.notify();
            }
        }
    }

    /// What went wrong so far.
    pub fn violations(&self) -> Vec<String> {
        self.0.violations.borrow().clone()
    }

    /// Runs of each task that were started so far.
    pub fn started(&self) -> BTreeMap<TaskId, u32> {
        self.0.started.borrow().clone()
    }

    /// Times of all starts on the targets of `domain`, with the targets.
    pub fn starts_in(&self, domain: &str) -> Vec<(Instant, Rc<str>)> {
        let targets = self.0.targets.borrow();
        let in_domain = |id: &str| {
            let state = targets.get(id);
            state.is_some_and(|it| *it.target.borrow().domain == *domain)
        };
        let starts = self.0.start_times.borrow();
        let starts = starts.iter().filter(|it| in_domain(&it.1));
        starts.cloned().collect()
    }

    /// Orders that were sent so far to the targets whose ids begin with `prefix`.
    pub fn orders_to(&self, prefix: &str) -> u64 {
        let orders = self.0.orders.borrow();
        let sent = orders.iter().filter(|(id, _)| id.starts_with(prefix));
        sent.map(|it| it.1).sum()
    }

    /// Tasks that run now.
    pub fn running(&self) -> Vec<(Rc<str>, TaskId, u32)> {
        let mut all = Vec::new();
        for (id, state) in self.0.targets.borrow().iter() {
            self.advance(state);
            let runs = state.runs.borrow();
            all.extend(runs.keys().map(|(task, run)| (id.clone(), *task, *run)));
        }
        all
    }

    fn state(&self, id: &str) -> Option<Rc<State>> {
        self.0.targets.borrow().get(id).cloned()
    }

    /// Ends what has ended on a target by now, the target among them.
    fn advance(&self, state: &State) {
        let now = clock::now();
        let crashing = |(_, it): &(_, &Busy)| it.crashes && now >= it.until;
        let task = state.runs.borrow().iter().find(crashing).map(|it| it.0.0);
        if let Some(task) = task {
            self.0.crashes.borrow_mut().entry(task).or_default().0 += 1;
            state.crash();
        }
        state.advance();
    }

    fn begin(&self, state: &State, start: &StartRequest) -> Result<u64, RequestError> {
        self.advance(state);
        if state.is_down() {
            return Err(RequestError::Refused);
        }
        state.check(start.fencing_token)?;
        let key = (start.task, start.run);
        if state.runs.borrow().contains_key(&key) {
            return Ok(now_ms());
        }
        if state
            .highest
            .borrow()
            .get(&start.task)
            .is_some_and(|it| start.run <= *it)
        {
            return Err(RequestError::RunNumberUsed);
        }
        if start.lease_end_ms <= now_ms() {
            return Err(RequestError::LeaseExpired);
        }
        let mut words = start.spec.split(' ');
        let mut number = || {
            words
                .next()
                .and_then(|it| it.parse::<u32>().ok())
                .unwrap_or(0)
        };
        let (cpu, run_ms) = (number(), number());
        let lasts = match state.mishap.get() {
            Mishap::Hang => FOREVER,
            _ => Duration::from_millis(run_ms.into()),
        };
        let words: Vec<_> = words.collect();
        let busy = Busy {
            cpu,
            until: clock::now() + lasts,
            fails: words.contains(&"fail"),
            crashes: words.contains(&"crash") && start.task.index == 0,
        };
        self.watch(state, start, cpu);
        state.extend(start.lease_end_ms);
        state.runs.borrow_mut().insert(key, busy);
        let started = (clock::now(), state.target.borrow().id.clone());
        self.0.start_times.borrow_mut().push(started);
        *self.0.started.borrow_mut().entry(start.task).or_default() += 1;
        state.changed.notify();
        Ok(now_ms())
    }

    /// Notes what a start does that must never happen.
    fn watch(&self, state: &State, start: &StartRequest, cpu: u32) {
        let Target { id, capacity, .. } = state.target.borrow().clone();
        let taken: u32 = state.runs.borrow().values().map(|it| it.cpu).sum();
        let mut violations = self.0.violations.borrow_mut();
        let (before, shrunk_at) = state.shrunk.get();
        let allowed = match clock::now() - shrunk_at < SHRINK_GRACE {
            true => before.max(capacity.cpu),
            false => capacity.cpu,
        };
        if taken + cpu > allowed {
            violations.push(format!("{id} above its capacity by {}", start.task));
        }
        if let Some((crashes, starts)) = self.0.crashes.borrow_mut().get_mut(&start.task)
            && *crashes >= CRASHES
        {
            *starts += 1;
            if *starts >= STARTS_AFTER_CRASHES {
                violations.push(format!("{} started after {crashes} crashes", start.task));
            }
        }
        for (other, state) in self.0.targets.borrow().iter() {
            self.advance(state);
            let runs = state.runs.borrow();
            if let Some((_, run)) = runs.keys().find(|it| it.0 == start.task) {
                violations.push(format!(
                    "{} run {} on {id} beside run {run} on {other}",
                    start.task, start.run
                ));
            }
        }
    }
}

impl State {
    /// Entry in the list, which a target renews only when it is back.
    fn listed(&self) -> Target {
        let mut target = self.target.borrow().clone();
        target.incarnation_ms -= u64::from(self.is_down());
        target
    }

    fn is_down(&self) -> bool {
        self.down_until.get().is_some_and(|it| clock::now() < it)
    }

    /// Loses all that the target holds and knows. Only the list keeps it.
    fn crash(&self) {
        self.down_until.set(Some(clock::now() + DOWN));
        self.runs.borrow_mut().clear();
        self.ended.borrow_mut().clear();
        self.highest.borrow_mut().clear();
        self.fence.set(0);
        self.lease_end.set(0);
        self.ends.set(0);
        self.target.borrow_mut().incarnation_ms += 1;
        self.changed.notify();
    }

    fn check(&self, fence: u64) -> Result<(), RequestError> {
        if fence < self.fence.get() {
            return Err(RequestError::Fenced);
        }
        self.fence.set(fence);
        Ok(())
    }

    fn extend(&self, until_ms: u64) {
        let end = until_ms.min(now_ms() + MAX_LEASE_MS);
        self.lease_end.set(self.lease_end.get().max(end));
    }

    /// Ends what has ended by now.
    fn advance(&self) {
        if self.is_down() {
            return;
        }
        let now = clock::now();
        let lapsed = now_ms() >= self.lease_end.get();
        let mut runs = self.runs.borrow_mut();
        let over = runs.iter().filter(|(_, it)| lapsed || now >= it.until);
        let over: Vec<_> = over.map(|(key, it)| (*key, *it)).collect();
        for (key, busy) in over {
            runs.remove(&key);
            let exit_status = match (now >= busy.until, busy.fails) {
                (true, true) => ExitStatus::Failed,
                (true, false) => ExitStatus::Done,
                (false, _) => ExitStatus::Interrupted,
            };
            self.end(key, exit_status);
        }
    }

    fn end(&self, (task, run): (TaskId, u32), exit_status: ExitStatus) {
        self.ends.set(self.ends.get() + 1);
        let mut highest = self.highest.borrow_mut();
        let highest = highest.entry(task).or_default();
        *highest = run.max(*highest);
        self.ended.borrow_mut().push(EndedRun {
            number: self.ends.get(),
            task,
            run,
            exit_status,
        });
        self.changed.notify();
    }

    fn listing(&self) -> Status {
        let runs = self.runs.borrow();
        let running = runs.keys().map(|key| ActiveRun {
            task: key.0,
            run: key.1,
        });
        Status {
            clock_ms: now_ms(),
            incarnation_ms: Some(self.target.borrow().incarnation_ms),
            running: running.collect(),
            ended: self.ended.borrow().clone(),
        }
    }

    /// Time until something ends by itself.
    fn next_end(&self) -> Duration {
        let now = clock::now();
        let runs = self.runs.borrow();
        let ends = runs.values().map(|it| it.until - now);
        let lease = Duration::from_millis(self.lease_end.get().saturating_sub(now_ms()));
        ends.min()
            .unwrap_or(Duration::MAX)
            .min(lease)
            .max(Duration::from_millis(1))
    }
}

impl Hand {
    /// Target that an order reaches. An order that is lost fails after a while.
    async fn reach(&self, id: &str) -> Result<Rc<State>, RequestError> {
        *self
            .yard
            .0
            .orders
            .borrow_mut()
            .entry(id.into())
            .or_default() += 1;
        clock::sleep(WAY).await;
        let state = self.yard.state(id).ok_or(RequestError::Unknown)?;
        let cut = self.cut_to(&state);
        if cut == Some(Cut::Refusing) || state.mishap.get() == Mishap::Closed {
            return Err(RequestError::Refused);
        }
        if cut == Some(Cut::Silent) || state.mishap.get() == Mishap::Dark {
            clock::sleep(ANSWER).await;
            return Err(RequestError::Unknown);
        }
        self.yard.advance(&state);
        match state.is_down() {
            true => Err(RequestError::Refused),
            false => Ok(state),
        }
    }

    fn cut_to(&self, state: &State) -> Option<Cut> {
        let pair = (self.domain.clone(), state.target.borrow().domain.clone());
        self.yard.0.cuts.borrow().get(&pair).copied()
    }

    /// Takes an answer back to the instance, unless a cut has come in its way.
    async fn deliver<T>(
        &self,
        state: &State,
        answer: Result<T, RequestError>,
        given_up_at: Instant,
    ) -> Result<T, RequestError> {
        match self.cut_to(state) {
            None => answer,
            Some(Cut::Refusing) => Err(RequestError::Unknown),
            Some(Cut::Silent | Cut::AnswersLost) => {
                clock::sleep_until(given_up_at).await;
                Err(RequestError::Unknown)
            }
        }
    }

    fn clone(&self) -> Hand {
        self.yard.hand(&self.domain)
    }
}

impl TargetClient for Hand {
    fn start(
        &self,
        target: &Target,
        start: StartRequest,
    ) -> LocalFuture<'static, Result<u64, RequestError>> {
        let (hand, id) = (self.clone(), target.id.clone());
        let given_up_at = clock::now() + ANSWER;
        Box::pin(async move {
            let state = hand.reach(&id).await?;
            let answer = match state.mishap.get() {
                Mishap::Late(delay) => {
                    let (hand, state) = (hand.clone(), state.clone());
                    // The order outlives whoever sent it.
                    drop(Scope::new().spawn(async move {
                        clock::sleep(delay).await;
                        let _ = hand.yard.begin(&state, &start);
                    }));
                    clock::sleep(ANSWER).await;
                    Err(RequestError::Unknown)
                }
                Mishap::Mute => {
                    let _ = hand.yard.begin(&state, &start);
                    clock::sleep(ANSWER).await;
                    Err(RequestError::Unknown)
                }
                Mishap::Refuse => Err(RequestError::Unhealthy),
                Mishap::None | Mishap::Dark | Mishap::Closed | Mishap::Hang | Mishap::Lossy(_) => {
                    let begun = hand.yard.begin(&state, &start);
                    clock::sleep(WAY).await;
                    begun
                }
            };
            hand.deliver(&state, answer, given_up_at).await
        })
    }

    fn stop(
        &self,
        target: &Target,
        task: TaskId,
        run: u32,
        fence: u64,
    ) -> LocalFuture<'static, Result<u64, RequestError>> {
        let (hand, id) = (self.clone(), target.id.clone());
        let given_up_at = clock::now() + ANSWER;
        Box::pin(async move {
            let state = hand.reach(&id).await?;
            let answer = state.check(fence).map(|()| {
                if state.runs.borrow_mut().remove(&(task, run)).is_some() {
                    state.end((task, run), ExitStatus::Interrupted);
                }
                now_ms()
            });
            if answer.is_ok() {
                clock::sleep(WAY).await;
            }
            hand.deliver(&state, answer, given_up_at).await
        })
    }

    fn poll(
        &self,
        target: &Target,
        hold: PollRequest,
    ) -> LocalFuture<'static, Result<Status, RequestError>> {
        let (hand, id) = (self.clone(), target.id.clone());
        let given_up_at = clock::now() + Duration::from_millis(hold.max_wait_ms) + ANSWER;
        Box::pin(async move {
            let state = hand.reach(&id).await?;
            if let Err(error) = state.check(hold.fencing_token) {
                return hand.deliver(&state, Err(error), given_up_at).await;
            }
            let incarnation_ms = state.target.borrow().incarnation_ms;
            if let Some(until_ms) = hold.lease_end_ms {
                state.extend(until_ms);
            }
            state
                .ended
                .borrow_mut()
                .retain(|it| it.number > hold.acknowledged_end);
            let end = clock::now() + Duration::from_millis(hold.max_wait_ms);
            state.polls.set(state.polls.get() + 1);
            if let Mishap::Lossy(share) = state.mishap.get()
                && state.polls.get().is_multiple_of(share)
            {
                clock::sleep_until(end + ANSWER).await;
                return Err(RequestError::Unknown);
            }
            while state.ended.borrow().is_empty() && clock::now() < end {
                let wait = state.next_end().min(end - clock::now());
                clock::timeout(wait, state.changed.notified()).await;
                hand.yard.advance(&state);
                if state.is_down() || hand.cut_to(&state) == Some(Cut::Refusing) {
                    return Err(RequestError::Unknown);
                }
                if state.target.borrow().incarnation_ms != incarnation_ms {
                    clock::sleep_until(given_up_at).await;
                    return Err(RequestError::Unknown);
                }
            }
            if state.mishap.get() == Mishap::Mute {
                clock::sleep(ANSWER).await;
                return Err(RequestError::Unknown);
            }
            let listing = state.listing();
            clock::sleep(WAY).await;
            // The process was suspended.
            let answer = match clock::now() > given_up_at {
                true => Err(RequestError::Unknown),
                false => Ok(listing),
            };
            hand.deliver(&state, answer, given_up_at).await
        })
    }
}

fn now_ms() -> u64 {
    clock::now().as_nanos() / 1_000_000
}
