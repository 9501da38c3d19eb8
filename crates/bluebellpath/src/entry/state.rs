//! State of an entry instance.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use bluebellpath_dispatch::{Dispatcher, TargetId};
use bluebellpath_runtime::Notify;

use super::{Config, Env, jobs::Jobs, names::Names, order::Order};
use crate::{
    admin::Outcomes,
    owner::{Claims, Tickets},
    peer::{Heartbeat, Identity, Load, Membership, Phase, Source},
    platform::Instance,
    record::Log,
};

/// State of an entry instance.
pub(super) struct State {
    pub(super) config: Config,
    pub(super) env: Env,
    pub(super) jobs: Jobs,
    pub(super) membership: Rc<Membership>,
    pub(super) order: Order,
    pub(super) claims: Rc<Claims>,
    pub(super) tickets: Tickets,
    pub(super) record: Log,
    pub(super) outcomes: Outcomes,
    pub(super) dispatcher: RefCell<Dispatcher>,
    /// Signals that the dispatcher may have something to start.
    pub(super) work: Notify,
    pub(super) targets: RefCell<HashMap<TargetId, Rc<Instance>>>,
    pub(super) teams: Names,
    pub(super) kinds: Names,
    pub(super) target_names: Names,
    turns: Cell<usize>,
}

impl State {
    pub(super) fn new(config: Config, env: Env) -> State {
        let identity = Identity {
            name: config.name.clone(),
            incarnation: config.incarnation,
            domain: config.domain,
            address: config.address,
        };
        let membership = Membership::new(identity, env.link.clone(), config.membership);
        let membership = Rc::new(membership);
        let table = env.table.clone();
        let claims = Claims::new(table, membership.clone(), config.domains, config.owner);
        let window = config.owner.max_tickets;
        State {
            membership,
            jobs: Jobs::default(),
            order: Order::new(config.planted),
            claims: Rc::new(claims),
            tickets: Tickets::new(config.domain, config.incarnation, window),
            record: Log::new(),
            outcomes: Outcomes::default(),
            dispatcher: RefCell::new(Dispatcher::new(Default::default())),
            work: Notify::new(),
            targets: RefCell::default(),
            teams: Names::default(),
            kinds: Names::default(),
            target_names: Names::default(),
            turns: Cell::new(0),
            config,
            env,
        }
    }

    /// Number that grows with each call, to take peers in turn.
    pub(super) fn turn(&self) -> usize {
        self.turns.set(self.turns.get() + 1);
        self.turns.get()
    }
}

impl Source for State {
    fn fill(&self, heartbeat: &mut Heartbeat) {
        let dispatcher = self.dispatcher.borrow();
        let config = &self.env.config;
        heartbeat.phase = match config.is_ready() {
            true => Phase::Serving,
            false => Phase::Starting,
        };
        heartbeat.config_version = config.newest();
        heartbeat.config_read_ms = config.read_ms();
        heartbeat.load = Load {
            waiting: dispatcher.waiting() as u32,
            running: dispatcher.running() as u32,
        };
    }
}
