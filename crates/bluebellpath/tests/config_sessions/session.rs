//! A simulated session.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bluebellpath::config::{
    Change, Head, Operation, Proposer, Refusal, Revision, Store, Team, Timing,
};
use bluebellpath_runtime::{Scope, clock, runtime, spawn};
use bluebellpath_standin::{Faults, Fleet, Layout, Table};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    check::{self, Finding, Response, Rule, Sample},
    plan::{self, Fault},
};

/// Interval between samples of all members.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time from the acceptance of a change to its effect, in milliseconds.
const IN_FORCE_MS: u64 = 4_000;

/// Maximum time from the end of the last fault until all members agree.
const MAX_CONVERGENCE: Duration = Duration::from_secs(10);

/// Maximum duration of a fault beyond [`plan::FAULT_PERIOD`].
const MAX_FAULT_DURATION: Duration = Duration::from_secs(10);

/// Defect injected to verify a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The table loses accepted writes.
    RollBack,
    /// Wall clocks differ by more than the allowed skew.
    ExcessiveSkew,
    /// Changes take effect too late.
    LongDelay,
    /// The table reports writes as refused that took effect.
    FalseRefusals,
    /// No instance reads the table periodically.
    NoReaders,
}

/// Result of a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub findings: Vec<Finding>,
    pub accepted: u64,
    pub lost: u64,
    pub unknown: u64,
    pub restarts: u64,
    pub samples: u64,
    pub unconfirmed: u64,
    /// Pairs of a version and a member.
    pub activations: u64,
    /// Activations at members that were connected all the time.
    pub checked: u64,
    /// Longest time from acceptance to effect among the checked activations, in
    /// milliseconds.
    pub slowest_ms: u64,
}

/// Simulated session.
pub struct Session {
    fleet: Fleet,
    rng: RefCell<StdRng>,
    injected: Option<InjectedFault>,
    operations: Cell<u64>,
    samples: RefCell<Vec<Sample>>,
    responses: RefCell<Vec<(String, Response)>>,
    /// For each version, the true time of the last sample before it was accepted.
    accepted: RefCell<BTreeMap<u64, u64>>,
    /// True time at which each member was last paused, restarted or not ready.
    disturbed: RefCell<Vec<u64>>,
    /// True time at which each member last could not reach the table.
    cut_off: RefCell<Vec<u64>>,
    frozen: RefCell<Vec<bool>>,
    report: RefCell<Report>,
}

impl Session {
    /// Runs the session of `seed`.
    pub fn run(seed: u64, injected: Option<InjectedFault>) -> Report {
        runtime::paused(async move {
            let session = Rc::new(Session::new(seed, injected));
            session.clone().run_faults().await;
            session.evaluate().await
        })
    }

    fn new(seed: u64, injected: Option<InjectedFault>) -> Session {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut timing = Timing::default();
        match injected {
            Some(InjectedFault::LongDelay) => timing.activation_delay = Duration::from_secs(5),
            Some(InjectedFault::NoReaders) => timing.read_interval = Duration::from_secs(3600),
            _ => {}
        }
        let layout = Layout {
            domains: 2,
            entries: rng.random_range(1..=3),
            targets: 1,
            seeded: rng.random_bool(0.8),
            timing,
            ..Layout::default()
        };
        let fleet = Fleet::start(layout);
        let members = fleet.members.len();
        let session = Session {
            fleet,
            rng: RefCell::new(rng),
            injected,
            operations: Cell::new(0),
            samples: RefCell::default(),
            responses: RefCell::default(),
            accepted: RefCell::default(),
            disturbed: RefCell::new(vec![0; members]),
            cut_off: RefCell::new(vec![0; members]),
            frozen: RefCell::new(vec![false; members]),
            report: RefCell::default(),
        };
        (0..members).for_each(|it| session.set_random_skew(it));
        session
    }

    /// Sets a random clock skew within the bound for a member.
    fn set_random_skew(&self, member: usize) {
        let bound = match self.injected {
            Some(InjectedFault::ExcessiveSkew) => 2_000,
            _ => Timing::default().max_skew.as_millis() as i64,
        };
        let skew_ms = self.rng.borrow_mut().random_range(-bound..=bound);
        self.fleet.members[member].scope().set_skew_ms(skew_ms);
    }

    async fn run_faults(self: Rc<Self>) {
        drop(spawn(self.clone().sample_periodically()));
        for number in 0..3 {
            drop(spawn(self.clone().run_operator(number)));
        }
        if self.injected == Some(InjectedFault::RollBack) {
            drop(spawn(self.clone().roll_back()));
        }
        let faults = plan::draw(&mut self.rng.borrow_mut(), self.fleet.members.len());
        let began = clock::now();
        for (at, fault) in faults {
            clock::sleep_until(began + at).await;
            drop(spawn(self.clone().inject(fault)));
        }
        clock::sleep_until(began + plan::FAULT_PERIOD + MAX_FAULT_DURATION + MAX_CONVERGENCE).await;
    }

    async fn inject(self: Rc<Self>, fault: Fault) {
        let faults = self.fleet.table.faults();
        match fault {
            Fault::StoreDown(time) => {
                faults.down.set(true);
                clock::sleep(time).await;
                faults.down.set(false);
            }
            Fault::StoreSlow(slow) => {
                let ordinary = Faults::default();
                faults.read.set(slow.read);
                faults.write.set(slow.write);
                clock::sleep(slow.time).await;
                faults.read.swap(&ordinary.read);
                faults.write.swap(&ordinary.write);
            }
            Fault::LoseAnswers(count) => faults.lose_answers.set(count),
            Fault::Cut(member, time) => {
                let cut = self.fleet.members[member].cut.clone();
                cut.set(true);
                clock::sleep(time).await;
                cut.set(false);
            }
            Fault::Pause(member, time) => self.pause(member, time).await,
            Fault::Isolate(member, time) => {
                let domain = self.fleet.members[member].domain;
                self.fleet.isolate(domain, true);
                clock::sleep(time).await;
                self.fleet.isolate(domain, false);
            }
            Fault::Restart(member) => self.restart(member),
            Fault::Rolling(pause) => {
                for member in 0..self.fleet.members.len() {
                    self.restart(member);
                    clock::sleep(pause).await;
                }
            }
            Fault::RestartAll => (0..self.fleet.members.len()).for_each(|it| self.restart(it)),
        }
    }

    async fn pause(&self, member: usize, time: Duration) {
        let scope = self.fleet.members[member].scope();
        scope.freeze();
        self.frozen.borrow_mut()[member] = true;
        clock::sleep(time).await;
        scope.thaw();
        self.frozen.borrow_mut()[member] = false;
        self.mark_disturbed(member);
    }

    fn restart(&self, member: usize) {
        self.fleet.restart(member);
        self.set_random_skew(member);
        self.mark_disturbed(member);
        self.report.borrow_mut().restarts += 1;
    }

    fn mark_disturbed(&self, member: usize) {
        self.disturbed.borrow_mut()[member] = clock::wall();
    }

    /// Samples all members and the table at every interval.
    async fn sample_periodically(self: Rc<Self>) {
        loop {
            self.sample_members();
            clock::sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn sample_members(self: &Rc<Self>) {
        let now_ms = clock::wall();
        let interval_ms = SAMPLE_INTERVAL.as_millis() as u64;
        if let Some(head) = self.head().filter(|it| it.effective_ms.is_some()) {
            let before = now_ms - interval_ms;
            self.accepted
                .borrow_mut()
                .entry(head.version)
                .or_insert(before);
        }
        for (index, member) in self.fleet.members.iter().enumerate() {
            if self.frozen.borrow()[index] || !member.entry().config().is_ready() {
                self.mark_disturbed(index);
            }
            if member.cut.get() || self.fleet.table.faults().down.get() {
                self.cut_off.borrow_mut()[index] = now_ms;
            }
            self.sample(index, &member.scope());
        }
        self.check_in_force(now_ms);
    }

    /// Samples the configuration of a member from one of its own tasks, so that a
    /// paused member is sampled when it resumes.
    fn sample(self: &Rc<Self>, member: usize, scope: &Scope) {
        let config = self.fleet.members[member].entry().config().clone();
        let session = self.clone();
        let root = Scope::new();
        drop(scope.spawn(async move {
            if !config.is_ready() {
                return;
            }
            let view = config.view();
            // A scope without skew gives the true time.
            let at_ms = root
                .spawn(async { clock::wall() })
                .await
                .unwrap_or_default();
            session.samples.borrow_mut().push(Sample {
                at_ms,
                member,
                version: view.version,
                preset: view.document.preset.clone(),
                confirmed: view.unconfirmed_since.is_none(),
            });
        }));
    }

    /// Checks the versions accepted 4 s ago.
    fn check_in_force(&self, now_ms: u64) {
        let due = |it: &(&u64, &u64)| now_ms >= it.1 + IN_FORCE_MS;
        let accepted = self.accepted.borrow();
        let Some((version, at_ms)) = accepted.iter().rfind(due) else {
            return;
        };
        // Each version is checked once, in the first sample at or after the bound.
        if now_ms >= at_ms + IN_FORCE_MS + SAMPLE_INTERVAL.as_millis() as u64 {
            return;
        }
        for member in 0..self.fleet.members.len() {
            self.report.borrow_mut().activations += 1;
            if self.connected(member, *at_ms) {
                self.check_activation(member, *version, *at_ms);
            }
        }
    }

    /// True if the member was undisturbed since `at_ms`, and so was a member of
    /// its domain that could reach the table.
    fn connected(&self, member: usize, at_ms: u64) -> bool {
        let (disturbed, cut_off) = (self.disturbed.borrow(), self.cut_off.borrow());
        let domain = self.fleet.members[member].domain;
        let reaches = |index: usize| {
            let same = self.fleet.members[index].domain == domain;
            same && disturbed[index] < at_ms && cut_off[index] < at_ms
        };
        disturbed[member] < at_ms && (0..self.fleet.members.len()).any(reaches)
    }

    fn check_activation(&self, member: usize, version: u64, at_ms: u64) {
        let samples = self.samples.borrow();
        let of_member = samples.iter().rev().filter(|it| it.member == member);
        let acting = of_member.clone().take_while(|it| it.version >= version);
        let since = acting.last().map(|it| it.at_ms);
        let mut report = self.report.borrow_mut();
        report.checked += 1;
        match since {
            Some(since) => report.slowest_ms = report.slowest_ms.max(since.saturating_sub(at_ms)),
            None => report.findings.push(Finding {
                rule: Rule::InForceWithinBound,
                detail: format!("member {member}, version {version} accepted at {at_ms}"),
            }),
        }
    }

    fn head(&self) -> Option<Head> {
        let row = self.fleet.table.get("config/head")?;
        serde_json::from_slice(&row.value).ok()
    }

    /// Runs an operator that sends changes to random members.
    async fn run_operator(self: Rc<Self>, number: u64) {
        let count = self.rng.borrow_mut().random_range(1..=5);
        for _ in 0..count {
            // Multiples of 500 ms make operators conflict with each other.
            let steps = self.rng.borrow_mut().random_range(1..=8);
            clock::sleep(Duration::from_millis(500 * steps)).await;
            let member = self
                .rng
                .borrow_mut()
                .random_range(0..self.fleet.members.len());
            self.send_operation(number, member).await;
        }
    }

    async fn send_operation(&self, number: u64, member: usize) {
        let entry = self.fleet.members[member].entry();
        if !entry.config().is_ready() {
            return;
        }
        let proposer = Proposer::new(entry.config_table(), entry.config().clone());
        let operation = self.operation(number, entry.config().newest());
        let id = operation.id.clone();
        if self.injected == Some(InjectedFault::FalseRefusals) {
            drop(spawn(refuse_applied_write(self.fleet.table.clone())));
        }
        let scope = self.fleet.members[member].scope();
        let result = scope
            .spawn(async move { proposer.propose(&operation).await })
            .await;
        let mut report = self.report.borrow_mut();
        let response = match result {
            Some(Ok(accepted)) => {
                report.accepted += 1;
                Response::Accepted(accepted.version)
            }
            None | Some(Err(Refusal::Unknown { .. })) => {
                report.unknown += 1;
                Response::Unknown
            }
            Some(Err(Refusal::Lost { .. })) => {
                report.lost += 1;
                Response::Refused
            }
            Some(Err(_)) => Response::Refused,
        };
        self.responses.borrow_mut().push((id, response));
    }

    fn operation(&self, number: u64, base: u64) -> Operation {
        self.operations.set(self.operations.get() + 1);
        let mut rng = self.rng.borrow_mut();
        let change = match rng.random_range(0..3) {
            0 => Change::SetTeam(Team {
                name: format!("team-{number}"),
                weight: rng.random_range(1..=1000),
                sustained_per_s: 100,
                burst: 100,
            }),
            _ => {
                let presets = ["ordinary", "peak", "maintenance"];
                Change::SwitchPreset(presets[rng.random_range(0..3)].to_owned())
            }
        };
        Operation {
            id: format!("operation-{}", self.operations.get()),
            author: format!("operator-{number}"),
            reason: "session".to_owned(),
            base,
            changes: vec![change],
        }
    }

    async fn roll_back(self: Rc<Self>) {
        clock::sleep(Duration::from_secs(1)).await;
        let rows = self.fleet.table.save();
        clock::sleep(Duration::from_secs(11)).await;
        self.fleet.table.restore(rows);
        (0..self.fleet.members.len()).for_each(|it| self.restart(it));
    }

    async fn evaluate(&self) -> Report {
        let history = self.history().await;
        let samples = self.samples.borrow();
        let mut report = self.report.take();
        report.samples = samples.len() as u64;
        report.unconfirmed = samples.iter().filter(|it| !it.confirmed).count() as u64;
        let responses = self.responses.borrow();
        report
            .findings
            .extend(check::check(&samples, &responses, &history));
        report
            .findings
            .extend(self.check_convergence(&samples, &history));
        report
    }

    fn check_convergence(&self, samples: &[Sample], history: &[Revision]) -> Vec<Finding> {
        let newest = history.last().map_or(0, |it| it.version);
        let last = |member| samples.iter().rev().find(|it| it.member == member);
        let agrees =
            |it: Option<&Sample>| it.is_some_and(|it| it.version == newest && it.confirmed);
        (0..self.fleet.members.len())
            .map(|it| (it, last(it)))
            .filter(|it| !agrees(it.1))
            .map(|(member, last)| Finding {
                rule: Rule::AllConverge,
                detail: format!("newest {newest}, member {member}: {last:?}"),
            })
            .collect()
    }

    async fn history(&self) -> Vec<Revision> {
        let store = Store::new(Rc::new(self.fleet.table.clone()));
        store.history(0, 1000).await.unwrap_or_default()
    }
}

/// Reports an applied write as refused, then refuses all requests while the
/// proposer retries, so that it can't find out.
async fn refuse_applied_write(table: Table) {
    let faults = table.faults();
    faults.deny_answers.set(1);
    while faults.deny_answers.get() > 0 {
        clock::sleep(Duration::from_millis(1)).await;
    }
    faults.down.set(true);
    clock::sleep(Duration::from_secs(4)).await;
    faults.down.set(false);
}
