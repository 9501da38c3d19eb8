//! One seeded session.

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
    check::{self, Finding, Rule, Sample, Told},
    plan::{self, Fault},
};

/// Time between two looks at all members.
const TICK: Duration = Duration::from_millis(25);

/// Time from acceptance within which a change is in force.
const IN_FORCE_MS: u64 = 4_000;

/// Time from the last mend within which all members agree.
const AGREE: Duration = Duration::from_secs(10);

/// Longest time that a fault of the plan lasts beyond [`plan::TROUBLE`].
const LAST_FAULT: Duration = Duration::from_secs(10);

/// Fault that a checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Table forgets what it had accepted.
    RollBack,
    /// Wall clocks are off by more than the bound.
    WildClocks,
    /// Changes take effect later than promised.
    LongDelay,
    /// Table refuses writes that took effect.
    FalseRefusals,
    /// Nobody reads the table.
    NoReaders,
}

/// What a session showed.
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
    pub spreads: u64,
    /// Those whose member was connected all the time.
    pub judged: u64,
    /// Longest time from acceptance to effect among those, in milliseconds.
    pub slowest_ms: u64,
}

/// One seeded session.
pub struct Session {
    fleet: Fleet,
    rng: RefCell<StdRng>,
    plant: Option<Plant>,
    operations: Cell<u64>,
    samples: RefCell<Vec<Sample>>,
    told: RefCell<Vec<(String, Told)>>,
    /// True time of the last look at which each version was not yet accepted.
    accepted: RefCell<BTreeMap<u64, u64>>,
    /// True time at which a member was last not in good order.
    disturbed: RefCell<Vec<u64>>,
    /// True time at which a member last could not reach the table.
    apart: RefCell<Vec<u64>>,
    frozen: RefCell<Vec<bool>>,
    report: RefCell<Report>,
}

impl Session {
    /// Runs the session of `seed`.
    pub fn run(seed: u64, plant: Option<Plant>) -> Report {
        runtime::paused(async move {
            let session = Rc::new(Session::new(seed, plant));
            session.clone().live().await;
            session.judge().await
        })
    }

    fn new(seed: u64, plant: Option<Plant>) -> Session {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut timing = Timing::default();
        match plant {
            Some(Plant::LongDelay) => timing.activation_delay = Duration::from_secs(5),
            Some(Plant::NoReaders) => timing.read_interval = Duration::from_secs(3600),
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
            plant,
            operations: Cell::new(0),
            samples: RefCell::default(),
            told: RefCell::default(),
            accepted: RefCell::default(),
            disturbed: RefCell::new(vec![0; members]),
            apart: RefCell::new(vec![0; members]),
            frozen: RefCell::new(vec![false; members]),
            report: RefCell::default(),
        };
        (0..members).for_each(|it| session.skew(it));
        session
    }

    /// Puts a member's clock off by up to the bound.
    fn skew(&self, member: usize) {
        let bound = match self.plant {
            Some(Plant::WildClocks) => 2_000,
            _ => Timing::default().max_skew.as_millis() as i64,
        };
        let skew_ms = self.rng.borrow_mut().random_range(-bound..=bound);
        self.fleet.members[member].scope().set_skew_ms(skew_ms);
    }

    async fn live(self: Rc<Self>) {
        drop(spawn(self.clone().watch()));
        for number in 0..3 {
            drop(spawn(self.clone().operate(number)));
        }
        if self.plant == Some(Plant::RollBack) {
            drop(spawn(self.clone().roll_back()));
        }
        let faults = plan::draw(&mut self.rng.borrow_mut(), self.fleet.members.len());
        let began = clock::now();
        for (at, fault) in faults {
            clock::sleep_until(began + at).await;
            drop(spawn(self.clone().cause(fault)));
        }
        clock::sleep_until(began + plan::TROUBLE + LAST_FAULT + AGREE).await;
    }

    async fn cause(self: Rc<Self>, fault: Fault) {
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
        self.disturb(member);
    }

    fn restart(&self, member: usize) {
        self.fleet.restart(member);
        self.skew(member);
        self.disturb(member);
        self.report.borrow_mut().restarts += 1;
    }

    fn disturb(&self, member: usize) {
        self.disturbed.borrow_mut()[member] = clock::wall();
    }

    /// Looks at all members, and at the table, tick by tick.
    async fn watch(self: Rc<Self>) {
        loop {
            self.look();
            clock::sleep(TICK).await;
        }
    }

    fn look(self: &Rc<Self>) {
        let now_ms = clock::wall();
        let tick_ms = TICK.as_millis() as u64;
        if let Some(head) = self.head().filter(|it| it.effective_ms.is_some()) {
            let before = now_ms - tick_ms;
            self.accepted
                .borrow_mut()
                .entry(head.version)
                .or_insert(before);
        }
        for (index, member) in self.fleet.members.iter().enumerate() {
            if self.frozen.borrow()[index] || !member.entry().config().is_ready() {
                self.disturb(index);
            }
            if member.cut.get() || self.fleet.table.faults().down.get() {
                self.apart.borrow_mut()[index] = now_ms;
            }
            self.sample(index, &member.scope());
        }
        self.in_force_soon(now_ms);
    }

    /// Sees what a member acts under, as one of its own tasks would: a paused
    /// member is seen when it goes on.
    fn sample(self: &Rc<Self>, member: usize, scope: &Scope) {
        let config = self.fleet.members[member].entry().config().clone();
        let session = self.clone();
        let root = Scope::new();
        drop(scope.spawn(async move {
            if !config.is_ready() {
                return;
            }
            let view = config.view();
            // True time: that of a scope without skew.
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

    /// Judges versions accepted 4 s ago.
    fn in_force_soon(&self, now_ms: u64) {
        let due = |it: &(&u64, &u64)| now_ms >= it.1 + IN_FORCE_MS;
        let accepted = self.accepted.borrow();
        let Some((version, at_ms)) = accepted.iter().rfind(due) else {
            return;
        };
        // Judged once, at the first look at or after the bound.
        if now_ms >= at_ms + IN_FORCE_MS + TICK.as_millis() as u64 {
            return;
        }
        for member in 0..self.fleet.members.len() {
            self.report.borrow_mut().spreads += 1;
            if self.connected(member, *at_ms) {
                self.judge_spread(member, *version, *at_ms);
            }
        }
    }

    /// True when a member was in good order since `at_ms`, and so was one of
    /// its domain that could reach the table.
    fn connected(&self, member: usize, at_ms: u64) -> bool {
        let (disturbed, apart) = (self.disturbed.borrow(), self.apart.borrow());
        let domain = self.fleet.members[member].domain;
        let reaches = |index: usize| {
            let same = self.fleet.members[index].domain == domain;
            same && disturbed[index] < at_ms && apart[index] < at_ms
        };
        disturbed[member] < at_ms && (0..self.fleet.members.len()).any(reaches)
    }

    fn judge_spread(&self, member: usize, version: u64, at_ms: u64) {
        let samples = self.samples.borrow();
        let of_member = samples.iter().rev().filter(|it| it.member == member);
        let acting = of_member.clone().take_while(|it| it.version >= version);
        let since = acting.last().map(|it| it.at_ms);
        let mut report = self.report.borrow_mut();
        report.judged += 1;
        match since {
            Some(since) => report.slowest_ms = report.slowest_ms.max(since.saturating_sub(at_ms)),
            None => report.findings.push(Finding {
                rule: Rule::InForceSoon,
                detail: format!("member {member}, version {version} accepted at {at_ms}"),
            }),
        }
    }

    fn head(&self) -> Option<Head> {
        let row = self.fleet.table.get("config/head")?;
        serde_json::from_slice(&row.value).ok()
    }

    /// An operator, who asks some member for a change now and then.
    async fn operate(self: Rc<Self>, number: u64) {
        let count = self.rng.borrow_mut().random_range(1..=5);
        for _ in 0..count {
            // Round times make operators race each other.
            let steps = self.rng.borrow_mut().random_range(1..=8);
            clock::sleep(Duration::from_millis(500 * steps)).await;
            let member = self
                .rng
                .borrow_mut()
                .random_range(0..self.fleet.members.len());
            self.ask(number, member).await;
        }
    }

    async fn ask(&self, number: u64, member: usize) {
        let entry = self.fleet.members[member].entry();
        if !entry.config().is_ready() {
            return;
        }
        let proposer = Proposer::new(entry.config_table(), entry.config().clone());
        let operation = self.operation(number, entry.config().newest());
        let id = operation.id.clone();
        if self.plant == Some(Plant::FalseRefusals) {
            drop(spawn(deny(self.fleet.table.clone())));
        }
        let scope = self.fleet.members[member].scope();
        let result = scope
            .spawn(async move { proposer.propose(&operation).await })
            .await;
        let mut report = self.report.borrow_mut();
        let told = match result {
            Some(Ok(accepted)) => {
                report.accepted += 1;
                Told::Accepted(accepted.version)
            }
            None | Some(Err(Refusal::Unknown { .. })) => {
                report.unknown += 1;
                Told::Unknown
            }
            Some(Err(Refusal::Lost { .. })) => {
                report.lost += 1;
                Told::Refused
            }
            Some(Err(_)) => Told::Refused,
        };
        self.told.borrow_mut().push((id, told));
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

    async fn judge(&self) -> Report {
        let history = self.history().await;
        let samples = self.samples.borrow();
        let mut report = self.report.take();
        report.samples = samples.len() as u64;
        report.unconfirmed = samples.iter().filter(|it| !it.confirmed).count() as u64;
        let told = self.told.borrow();
        report
            .findings
            .extend(check::check(&samples, &told, &history));
        report.findings.extend(self.all_agree(&samples, &history));
        report
    }

    fn all_agree(&self, samples: &[Sample], history: &[Revision]) -> Vec<Finding> {
        let newest = history.last().map_or(0, |it| it.version);
        let last = |member| samples.iter().rev().find(|it| it.member == member);
        let agrees =
            |it: Option<&Sample>| it.is_some_and(|it| it.version == newest && it.confirmed);
        (0..self.fleet.members.len())
            .map(|it| (it, last(it)))
            .filter(|it| !agrees(it.1))
            .map(|(member, last)| Finding {
                rule: Rule::AllAgreeAtLast,
                detail: format!("newest {newest}, member {member}: {last:?}"),
            })
            .collect()
    }

    async fn history(&self) -> Vec<Revision> {
        let store = Store::new(Rc::new(self.fleet.table.clone()));
        store.history(0, 1000).await.unwrap_or_default()
    }
}

/// Refuses a write that took effect, and then all that could show it for as long
/// as the proposer tries.
async fn deny(table: Table) {
    let faults = table.faults();
    faults.deny_answers.set(1);
    while faults.deny_answers.get() > 0 {
        clock::sleep(Duration::from_millis(1)).await;
    }
    faults.down.set(true);
    clock::sleep(Duration::from_secs(4)).await;
    faults.down.set(false);
}
