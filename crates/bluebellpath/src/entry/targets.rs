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
use crate::platform::{Instance, InstanceCache, Role};

/// Timeout of a read; twice the response time of a slow platform.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of concurrent reads: one per second of the timeout, and one
/// more.
const MAX_CONCURRENT_READS: u32 = 5;

/// Reads the instance list at a fixed interval; never returns.
pub(super) async fn run(state: Rc<State>) {
    let list_reader = Rc::new(ListReader {
        instance_list: RefCell::new(InstanceCache::new(state.config.domain)),
        state,
        active_reads: Cell::new(0),
        announced: Cell::new(false),
    });
    loop {
        if list_reader.active_reads.get() < MAX_CONCURRENT_READS {
            drop(spawn(list_reader.clone().read()));
        }
        clock::sleep(list_reader.state.config.list_interval).await;
    }
}

struct ListReader {
    state: Rc<State>,
    instance_list: RefCell<InstanceCache>,
    active_reads: Cell<u32>,
    /// True once this instance has announced itself to peers.
    announced: Cell<bool>,
}

impl ListReader {
    async fn read(self: Rc<Self>) {
        self.active_reads.set(self.active_reads.get() + 1);
        self.read_once().await;
        self.active_reads.set(self.active_reads.get() - 1);
    }

    async fn read_once(&self) {
        let state = &self.state;
        let (sent, since) = (clock::now(), self.instance_list.borrow().since());
        let read = state.deps.instance_list.changes(state.config.domain, since);
        let changes = match clock::timeout(READ_TIMEOUT, read).await {
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
        state.list_read_at.set(state.list_read_at.get().max(sent));
        if !self.instance_list.borrow_mut().take(changes) {
            return;
        }
        let instances = self.instance_list.borrow().instances();
        state.membership.observe(&instances);
        let entries = instances.iter().filter(|it| it.role == Role::Entry);
        state.platform.share(entries.count());
        set_targets(state, instances);
        if !self.announced.replace(true) {
            state.membership.announce(state.as_ref());
        }
    }
}

/// Sets the dispatcher's targets to those of this domain.
pub(super) fn set_targets(state: &State, instances: Vec<Instance>) {
    let is_local_target =
        |it: &Instance| it.role == Role::Target && it.domain == state.config.domain;
    let listed: Vec<Instance> = instances.into_iter().filter(is_local_target).collect();
    let target_id = |it: &Instance| dispatch::TargetId(state.target_ids.intern(&it.name));
    let ids: BTreeSet<dispatch::TargetId> = listed.iter().map(target_id).collect();
    let mut known_ids: Vec<_> = state.targets.borrow().keys().copied().collect();
    known_ids.sort_unstable();
    for target in known_ids.into_iter().filter(|it| !ids.contains(it)) {
        state.dispatcher.borrow_mut().remove_target(target);
    }
    let targets = listed.iter().map(|it| (target_id(it), Rc::new(it.clone())));
    *state.targets.borrow_mut() = targets.collect();
    state.credit.set_targets(state, &listed);
}
