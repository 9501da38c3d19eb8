//! Faults as they strike a fleet.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath::settings::Domain;
use bluebellpath_runtime::clock;
use bluebellpath_standin::{Behaviour, Fleet, Trouble};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{Fault, History};

/// Store's time under [`Fault::StoreSlow`].
const SLOW: Duration = Duration::from_secs(2);

/// List's lag under [`Fault::ListLags`].
const LAG: Duration = Duration::from_secs(30);

/// Answers out of a thousand that get lost under [`Fault::AnswersLost`].
const LOST_PERMILLE: u32 = 300;

/// Slowness of a straggler, in thousandths.
const STRAGGLER_PERMILLE: u32 = 10_000;

/// Longest time that a planned stop takes.
const STOP: Duration = Duration::from_secs(1);

/// One fault of a session.
pub struct Strike {
    fleet: Rc<Fleet>,
    history: Rc<History>,
    rng: StdRng,
    /// Times that the fault struck while requests were outstanding.
    struck: Rc<Cell<u64>>,
}

impl Strike {
    /// Fault that strikes `fleet` at moments picked by `seed`.
    pub fn new(fleet: Rc<Fleet>, history: Rc<History>, seed: u64, struck: Rc<Cell<u64>>) -> Strike {
        let rng = StdRng::seed_from_u64(seed);
        Strike {
            fleet,
            history,
            rng,
            struck,
        }
    }

    /// Lets `fault` strike, and mends it.
    pub async fn run(mut self, fault: Fault) {
        let (first, length) = (self.pause(100, 5_000), self.pause(200, 7_000));
        let whole_session = matches!(
            fault,
            Fault::Hopeless | Fault::Everywhere | Fault::Cancellations | Fault::ListLags
        );
        if whole_session {
            self.struck.set(1);
        } else {
            clock::sleep(first).await;
        }
        if !whole_session && self.history.outstanding() > 0 {
            self.struck.set(self.struck.get() + 1);
        }
        match fault {
            Fault::TargetDies => self.target(Some(Trouble::Dead), 1_000, length).await,
            Fault::TargetFails => self.target(Some(Trouble::Failing), 1_000, length).await,
            Fault::Straggler => self.target(None, STRAGGLER_PERMILLE, length).await,
            Fault::Crash => self.crash(length).await,
            Fault::Pause => self.freeze(length).await,
            Fault::Rolling => self.roll().await,
            Fault::StoreDown => self.store_down(length).await,
            Fault::StoreSlow => self.store_slow(length).await,
            Fault::AnswersLost => self.lose_answers(length).await,
            Fault::DomainCut => self.cut(true, false, length).await,
            Fault::PlatformCut => self.cut(false, true, length).await,
            Fault::AllCut => self.cut(true, true, length).await,
            Fault::ListLags => self.fleet.instances.set_lag(LAG),
            // These are in the plan of the submitters.
            Fault::Hopeless | Fault::Everywhere | Fault::Cancellations => {}
        }
    }

    fn pause(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn member(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.members.len())
    }

    async fn target(&mut self, trouble: Option<Trouble>, slowness_permille: u32, length: Duration) {
        let domain = self.rng.random_range(0..self.fleet.layout().domains);
        let index = self.rng.random_range(0..self.fleet.layout().targets);
        let name = format!("target-{domain}-{index}");
        let behaviour = Behaviour {
            trouble,
            slowness_permille,
        };
        self.fleet.targets.set(&name, behaviour);
        clock::sleep(length).await;
        self.fleet.targets.set(&name, Behaviour::default());
    }

    async fn crash(&mut self, length: Duration) {
        let member = self.member();
        self.fleet.kill(member);
        clock::sleep(length).await;
        self.fleet.restart(member);
    }

    async fn freeze(&mut self, length: Duration) {
        let member = self.member();
        let scope = self.fleet.members[member].scope();
        scope.freeze();
        self.history.set_paused(member, true);
        clock::sleep(length).await;
        scope.thaw();
        self.history.set_paused(member, false);
    }

    async fn roll(&mut self) {
        for member in 0..self.fleet.members.len() {
            if self.rng.random() {
                // A planned stop; it may be cut short while the store is down.
                let entry = self.fleet.members[member].entry();
                let released = self.fleet.members[member]
                    .scope()
                    .spawn(async move { entry.release_shards().await });
                clock::timeout(STOP, released).await;
            }
            self.fleet.restart(member);
            clock::sleep(self.pause(100, 2_500)).await;
        }
    }

    async fn store_down(&mut self, length: Duration) {
        self.fleet.table.faults().down.set(true);
        clock::sleep(length).await;
        self.fleet.table.faults().down.set(false);
    }

    async fn store_slow(&mut self, length: Duration) {
        let faults = self.fleet.table.faults();
        let (read, write) = (faults.read.get(), faults.write.get());
        faults.read.set(SLOW);
        faults.write.set(SLOW);
        clock::sleep(length).await;
        faults.read.set(read);
        faults.write.set(write);
    }

    async fn lose_answers(&mut self, length: Duration) {
        let faults = self.fleet.table.faults();
        faults.seed.set(self.rng.random());
        faults.lose_permille.set(LOST_PERMILLE);
        clock::sleep(length).await;
        faults.lose_permille.set(0);
    }

    async fn cut(&mut self, domains: bool, platform: bool, length: Duration) {
        let domain = Domain::new(self.rng.random_range(0..self.fleet.layout().domains));
        self.set_cut(domain, domains, platform, true);
        clock::sleep(length).await;
        self.set_cut(domain, domains, platform, false);
    }

    fn set_cut(&self, domain: Domain, domains: bool, platform: bool, cut: bool) {
        if domains {
            self.fleet.isolate(domain, cut);
        }
        let members = self.fleet.members.iter().filter(|it| it.domain == domain);
        if platform {
            members.for_each(|it| it.cut.set(cut));
        }
    }
}
