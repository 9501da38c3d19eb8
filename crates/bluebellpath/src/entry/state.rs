//! State of an entry instance.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use bluebellpath_dispatch::{Dispatcher, TargetId};
use bluebellpath_runtime::Notify;

use super::{
    Config, Env,
    credit::{self, Credit},
    jobs::Jobs,
    names::Names,
};
use crate::{
    job::Ticket,
    owner::Claims,
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
    pub(super) claims: Claims,
    pub(super) record: Log,
    pub(super) dispatcher: RefCell<Dispatcher>,
    pub(super) credit: Credit,
    /// Configuration version and number of instances that the dispatcher was
    /// last tuned for.
    pub(super) tuned: Cell<Option<(u64, u32)>>,
    /// Signals that the dispatcher may have something to start.
    pub(super) work: Notify,
    pub(super) targets: RefCell<HashMap<TargetId, Rc<Instance>>>,
    pub(super) teams: Names,
    pub(super) kinds: Names,
    pub(super) target_names: Names,
    tickets: Cell<u64>,
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
        State {
            membership: Rc::new(membership),
            jobs: Jobs::default(),
            claims: Claims::new(env.table.clone(), config.incarnation),
            record: Log::new(),
            dispatcher: RefCell::new(Dispatcher::new(Default::default())),
            credit: Credit::new(config.incarnation),
            tuned: Cell::new(None),
            work: Notify::new(),
            targets: RefCell::default(),
            teams: Names::default(),
            kinds: Names::default(),
            target_names: Names::default(),
            tickets: Cell::new(0),
            config,
            env,
        }
    }

    pub(super) fn ticket(&self) -> Ticket {
        self.tickets.set(self.tickets.get() + 1);
        Ticket {
            domain: self.config.domain,
            incarnation: self.config.incarnation,
            counter: self.tickets.get(),
        }
    }

    /// True when `ticket` was handed out by this incarnation.
    pub(super) fn issued(&self, ticket: &Ticket) -> bool {
        ticket.incarnation == self.config.incarnation
            && ticket.domain == self.config.domain
            && (1..=self.tickets.get()).contains(&ticket.counter)
    }
}

impl Source for State {
    fn fill(&self, heartbeat: &mut Heartbeat) {
        heartbeat.credit = self.credit.notice(self);
        heartbeat.suspects = credit::suspects(self);
        let dispatcher = self.dispatcher.borrow();
        heartbeat.phase = Phase::Serving;
        heartbeat.config_version = self.env.config.view().version;
        heartbeat.load = Load {
            waiting: dispatcher.waiting() as u32,
            running: dispatcher.running() as u32,
        };
    }
}
