/*!
Updates of the dispatcher's targets from the instance list.

The list is read at a fixed interval. Reads may overlap, so that a slow or lost
response does not delay the next read: instances must learn within seconds that a
target leaves, and a lost response is noticed only after its timeout.
*/

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use bluebellpath_dispatch as dispatch;
use bluebellpath_runtime::{clock, spawn};
use slog::warn;

use super::state::State;
use crate::platform::{Instance, Role, Roll};

/// Timeout of a read; twice the response time of a slow platform.
const ANSWER: Duration = Duration::from_secs(4);

/// Maximum number of concurrent reads: one per second of the timeout, and one
/// more.
const MAX_READINGS: u32 = 5;

/// Reads the instance list at a fixed interval; never returns.
pub(super) async fn follow(state: Rc<State>) {
    let reader = Rc::new(Reader {
        roll: RefCell::new(Roll::new(state.config.domain)),
        state,
        readings: Cell::new(0),
        greeted: Cell::new(false),
    });
    loop {
        if reader.readings.get() < MAX_READINGS {
            drop(spawn(reader.clone().read()));
        }
        clock::sleep(reader.state.config.list_interval).await;
    }
}

struct Reader {
    state: Rc<State>,
    roll: RefCell<Roll>,
    readings: Cell<u32>,
    /// True once this instance has announced itself to peers.
    greeted: Cell<bool>,
}

impl Reader {
    async fn read(self: Rc<Self>) {
        self.readings.set(self.readings.get() + 1);
        self.read_once().await;
        self.readings.set(self.readings.get() - 1);
    }

    async fn read_once(&self) {
        let state = &self.state;
        let (sent, since) = (clock::now(), self.roll.borrow().since());
        let reading = state.deps.instance_list.changes(state.config.domain, since);
        let changes = match clock::timeout(ANSWER, reading).await {
            Some(Ok(changes)) => changes,
            Some(Err(error)) => {
                warn!(state.deps.log, "no instance list"; "error" => %error);
                return;
            }
            None => {
                warn!(state.deps.log, "no instance list"; "error" => "no answer in time");
                return;
            }
        };
        state.listed.set(state.listed.get().max(sent));
        if !self.roll.borrow_mut().take(changes) {
            return;
        }
        let instances = self.roll.borrow().instances();
        state.membership.observe(&instances);
        let entries = instances.iter().filter(|it| it.role == Role::Entry);
        state.platform.share(entries.count());
        set_targets(state, instances);
        if !self.greeted.replace(true) {
            state.membership.greet(state.as_ref());
        }
    }
}

/// Sets the dispatcher's targets to those of this domain.
pub(super) fn set_targets(state: &State, instances: Vec<Instance>) {
    let ours = |it: &Instance| it.role == Role::Target && it.domain == state.config.domain;
    let listed: Vec<Instance> = instances.into_iter().filter(ours).collect();
    let id = |it: &Instance| dispatch::TargetId(state.target_names.number(&it.name));
    let ids: BTreeSet<dispatch::TargetId> = listed.iter().map(id).collect();
    let mut gone: Vec<_> = state.targets.borrow().keys().copied().collect();
    gone.sort_unstable();
    for target in gone.into_iter().filter(|it| !ids.contains(it)) {
        state.dispatcher.borrow_mut().remove_target(target);
    }
    let targets = listed.iter().map(|it| (id(it), Rc::new(it.clone())));
    *state.targets.borrow_mut() = targets.collect();
    state.credit.observe(state, &listed);
}
