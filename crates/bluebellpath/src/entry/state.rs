//! State of an entry instance.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use bluebellpath_dispatch::{Dispatcher, TargetId};
use bluebellpath_runtime::{Instant, Notify, clock, suspension::Detector};

use super::{
    Config, Dependencies, InjectedFault,
    answer_order::AnswerOrder,
    credit::{self, Credit},
    interner::Interner,
    jobs::Jobs,
};
use crate::{
    admin::Outcomes,
    metric::Meters,
    owner::{Claims, Tickets},
    peer::{Heartbeat, Identity, Load, Membership, Phase, Source},
    platform::{Guarded, Instance, Table},
    record::Log,
};

/// State of an entry instance.
pub(super) struct State {
    pub(super) config: Config,
    pub(super) deps: Dependencies,
    pub(super) platform: Rc<Guarded>,
    /// Table client for the configuration only, without the rate limit of the
    /// other requests. Behind queued claims, a configuration change could miss
    /// the time at which it takes effect.
    pub(super) config_table: Rc<dyn Table>,
    pub(super) jobs: Jobs,
    pub(super) membership: Rc<Membership>,
    pub(super) answer_order: AnswerOrder,
    pub(super) claims: Rc<Claims>,
    pub(super) tickets: Tickets,
    pub(super) record: Rc<Log>,
    pub(super) outcomes: Outcomes,
    /// Time of the last successful read of the instance list.
    pub(super) list_read_at: Cell<Instant>,
    pub(super) dispatcher: RefCell<Dispatcher>,
    pub(super) credit: Credit,
    /// Configuration version and number of instances for which the dispatcher's
    /// policy was last set.
    pub(super) applied_policy: Cell<Option<(u64, u32)>>,
    /// Notified when the dispatcher may have a task to start.
    pub(super) executor_wakeup: Notify,
    pub(super) targets: RefCell<HashMap<TargetId, Rc<Instance>>>,
    pub(super) team_ids: Interner,
    pub(super) kind_ids: Interner,
    pub(super) target_ids: Interner,
    /// Lifecycle phase, which peers and load balancers see.
    pub(super) phase: Cell<Phase>,
    pub(super) meters: Meters,
    pub(super) suspensions: Detector,
    rotation: Cell<usize>,
}

impl State {
    pub(super) fn new(config: Config, deps: Dependencies) -> State {
        let identity = Identity {
            name: config.name.clone(),
            incarnation: config.incarnation,
            domain: config.domain,
            address: config.address,
        };
        let config_table = deps.table.clone();
        let platform = Rc::new(new_platform(&config, &deps));
        let deps = Dependencies {
            table: platform.clone(),
            object_store: platform.clone(),
            instance_list: platform.clone(),
            ..deps
        };
        let membership = Membership::new(identity, deps.link.clone(), config.membership);
        let membership = Rc::new(membership);
        let table = deps.table.clone();
        let mut owner = config.owner;
        owner.forget_promises |= config.injected_fault == Some(InjectedFault::BreakPromise);
        let claims = Claims::new(table, membership.clone(), config.domain_count, owner);
        let window = owner.max_tickets;
        State {
            membership,
            jobs: Jobs::default(),
            answer_order: AnswerOrder::new(config.injected_fault),
            claims: Rc::new(claims),
            tickets: Tickets::new(config.domain, config.incarnation, window),
            record: Rc::new(new_record(&config, &deps)),
            outcomes: Outcomes::default(),
            list_read_at: Cell::new(clock::now()),
            dispatcher: RefCell::new(Dispatcher::new(Default::default())),
            credit: Credit::new(config.incarnation),
            applied_policy: Cell::new(None),
            executor_wakeup: Notify::new(),
            targets: RefCell::default(),
            team_ids: Interner::default(),
            kind_ids: Interner::default(),
            target_ids: Interner::default(),
            phase: Cell::new(Phase::Serving),
            meters: Meters::default(),
            suspensions: Detector::new(),
            rotation: Cell::new(0),
            config,
            deps,
            platform,
            config_table,
        }
    }

    /// Returns a number that grows with each call, for round-robin over peers.
    pub(super) fn next_rotation(&self) -> usize {
        self.rotation.set(self.rotation.get() + 1);
        self.rotation.get()
    }
}

fn new_record(config: &Config, deps: &Dependencies) -> Log {
    let (table, objects) = (deps.table.clone(), deps.object_store.clone());
    Log::new(
        &config.name,
        config.incarnation,
        config.record,
        table,
        objects,
    )
}

fn new_platform(config: &Config, deps: &Dependencies) -> Guarded {
    let (table, objects) = (deps.table.clone(), deps.object_store.clone());
    let seed = config.incarnation.to_u64();
    Guarded::new(
        table,
        objects,
        deps.instance_list.clone(),
        config.platform,
        seed,
    )
}

impl Source for State {
    fn fill(&self, heartbeat: &mut Heartbeat) {
        heartbeat.credit = self.credit.next_status(self);
        heartbeat.suspects = credit::suspected_targets(self);
        let dispatcher = self.dispatcher.borrow();
        let config = &self.deps.config;
        heartbeat.phase = match self.phase.get() {
            Phase::Serving if self.claims.is_releasing() => Phase::Draining,
            Phase::Serving if !config.is_ready() => Phase::Starting,
            phase => phase,
        };
        heartbeat.config_version = config.newest();
        heartbeat.config_read_ms = config.read_ms();
        heartbeat.load = Load {
            waiting: dispatcher.waiting() as u32,
            running: dispatcher.running() as u32,
        };
    }
}
