/*!
Credits for the slots of the domain's targets, which entry instances share.

Instances exchange the state of their [`SlotLedger`] in heartbeats: a heartbeat says
how many slots the sender holds and may transfer slots to the receiver. The
number of slots that the ledger allows becomes the credit of each target in the
dispatcher. An instance that was paused for longer than the heartbeat timeout
gives up all its slots before it starts a task, because its peers may have taken
them over.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_dispatch::{Exclusion, InstanceId, SlotLedger, SlotStatus, Target, TargetSlots};
use bluebellpath_runtime::{Instant, clock};

use super::{policy, state::State};
use crate::{
    job::Incarnation,
    peer::{Peer, Phase, Suspect},
    platform::{self, Instance},
};

/// Maximum interval between two updates of the ledger.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time before a heartbeat from which slots are reserved for transfer in it.
const RESERVE_LEAD: Duration = Duration::from_millis(300);

/// Slots that this instance holds, and the state needed to share them.
pub(super) struct Credit {
    ledger: RefCell<SlotLedger>,
    /// Targets by fingerprint, in the order of the ledger.
    targets: RefCell<BTreeMap<u32, Target>>,
    /// Entry instances in the instance list, with the time when each appeared.
    listed_peers: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Sequence number of the last applied heartbeat of each peer.
    last_sequences: RefCell<BTreeMap<InstanceId, u64>>,
    is_list_read: Cell<bool>,
    last_heartbeat: Cell<Instant>,
}

impl Credit {
    /// Creates the credit of `incarnation`, which holds no slots yet.
    pub(super) fn new(incarnation: Incarnation) -> Credit {
        Credit {
            ledger: RefCell::new(SlotLedger::new(instance_id(incarnation))),
            targets: RefCell::default(),
            listed_peers: RefCell::default(),
            last_sequences: RefCell::default(),
            is_list_read: Cell::new(false),
            last_heartbeat: Cell::new(clock::now()),
        }
    }

    /// Replaces the targets by those of the instance list.
    pub(super) fn set_targets(&self, state: &State, targets: &[Instance]) {
        let config = &state.deps.config;
        let view = config.view();
        let target = |it: &Instance| {
            let slots = view.slots(it).min(view.connections(it));
            let target = Target {
                id: bluebellpath_dispatch::TargetId(state.target_ids.intern(&it.name)),
                slots,
                credit: 0,
                rack: it.rack,
                leaving: it.state == platform::State::Leaving || config.drains(it),
            };
            (fingerprint(&it.name), target)
        };
        let targets: BTreeMap<u32, Target> = targets.iter().map(target).collect();
        let slots = targets.iter().map(|(target, it)| TargetSlots {
            target: *target,
            slots: it.slots,
        });
        self.ledger.borrow_mut().set_targets(slots);
        *self.targets.borrow_mut() = targets;
        self.update_listed_peers(state);
        self.is_list_read.set(true);
        self.update(state);
    }

    /// Returns the ledger's part of the heartbeat that is being sent.
    pub(super) fn next_status(&self, state: &State) -> SlotStatus {
        let now = clock::now();
        self.release_if_expired(state);
        self.last_heartbeat.set(now);
        self.apply_heartbeats(state);
        let status = {
            let dispatcher = state.dispatcher.borrow();
            let targets = self.targets.borrow();
            let used = |target: u32| targets.get(&target).map_or(0, |it| dispatcher.used(it.id));
            let demand = (dispatcher.waiting() + dispatcher.running()) as u32;
            self.ledger.borrow_mut().next_status(now, demand, used)
        };
        self.update_dispatcher(state);
        status
    }

    /// Gives up all slots if no heartbeat was sent for the heartbeat timeout, after
    /// which peers may have taken the slots over.
    pub(super) fn release_if_expired(&self, state: &State) {
        if clock::now() - self.last_heartbeat.get() < state.config.membership.timeout {
            return;
        }
        self.ledger.borrow_mut().reset();
        self.last_sequences.borrow_mut().clear();
        self.last_heartbeat.set(clock::now());
        self.update_dispatcher(state);
    }

    /// Applies the heartbeats of peers, then claims and reserves slots.
    fn update(&self, state: &State) {
        self.apply_heartbeats(state);
        let now = clock::now();
        {
            let mut ledger = self.ledger.borrow_mut();
            ledger.claim(now);
            if now - self.last_heartbeat.get() + RESERVE_LEAD >= state.config.membership.interval {
                ledger.reserve();
            }
        }
        self.update_dispatcher(state);
    }

    fn apply_heartbeats(&self, state: &State) {
        let peers = state.membership.peers();
        let mut ledger = self.ledger.borrow_mut();
        let mut last_sequences = self.last_sequences.borrow_mut();
        for peer in &peers {
            let peer_id = instance_id(peer.identity.incarnation);
            let sequence = peer.heartbeat.sequence;
            if last_sequences.insert(peer_id, sequence) != Some(sequence) {
                ledger.receive(peer_id, peer.heartbeat.credit.clone());
                apply_suspects(state, &peer.heartbeat.suspects);
            }
        }
        let live: BTreeSet<InstanceId> = peers
            .iter()
            .map(|it| instance_id(it.identity.incarnation))
            .collect();
        last_sequences.retain(|it, _| live.contains(it));
        ledger.retain_peers(&live);
        ledger.set_membership_complete(self.has_heard_all(state, &peers));
    }

    /// True if the instance list was read and each listed peer is known from heartbeats
    /// or has been listed for longer than the heartbeat timeout.
    fn has_heard_all(&self, state: &State, peers: &[Rc<Peer>]) -> bool {
        let timeout = state.config.membership.timeout;
        let is_known = |it: &SocketAddr| {
            peers
                .iter()
                .any(|peer| peer.identity.address == *it && peer.heartbeat.phase != Phase::Left)
        };
        let listed = self.listed_peers.borrow();
        let is_awaited = |(address, since): (&SocketAddr, &Instant)| {
            !is_known(address) && clock::now() - *since < timeout
        };
        self.is_list_read.get() && !listed.iter().any(is_awaited)
    }

    fn update_listed_peers(&self, state: &State) {
        let now = clock::now();
        let listed = state.membership.entries(state.config.domain);
        let mut since = self.listed_peers.borrow_mut();
        since.retain(|it, _| listed.contains(it));
        for address in listed {
            since.entry(address).or_insert(now);
        }
    }

    /// Sets the credits of the dispatcher's targets from the ledger.
    fn update_dispatcher(&self, state: &State) {
        let now = clock::now();
        let ledger = self.ledger.borrow();
        let mut dispatcher = state.dispatcher.borrow_mut();
        for (fingerprint, target) in self.targets.borrow().iter() {
            let credit = ledger.credit(*fingerprint);
            dispatcher.set_target(Target { credit, ..*target }, now);
        }
        drop(dispatcher);
        state.executor_wakeup.notify();
    }
}

/// Updates the ledger on every change of the peers and at a fixed interval;
/// never returns.
pub(super) async fn run(state: Rc<State>) {
    loop {
        let changed = state.membership.changed().notified();
        policy::update(&state);
        state.credit.release_if_expired(&state);
        state.credit.update(&state);
        clock::timeout(UPDATE_INTERVAL, changed).await;
    }
}

/// Returns the targets that this instance has found slow or failing.
pub(super) fn suspected_targets(state: &State) -> Vec<Suspect> {
    let targets = state.targets.borrow();
    let dispatcher = state.dispatcher.borrow();
    let suspect = |(id, exclusion, excess): (_, Exclusion, f64)| {
        let slowness_permille = match exclusion {
            Exclusion::Straggling => (excess * 1000.0) as u32,
            Exclusion::Unreachable | Exclusion::Failing | Exclusion::Hanging => u32::MAX,
        };
        Some(Suspect {
            target: targets.get(&id)?.name.clone(),
            slowness_permille,
        })
    };
    dispatcher.exclusions().filter_map(suspect).collect()
}

fn apply_suspects(state: &State, suspects: &[Suspect]) {
    let now = clock::now();
    let mut dispatcher = state.dispatcher.borrow_mut();
    for suspect in suspects {
        let id = bluebellpath_dispatch::TargetId(state.target_ids.intern(&suspect.target));
        let exclusion = match suspect.slowness_permille {
            u32::MAX => Exclusion::Failing,
            _ => Exclusion::Straggling,
        };
        dispatcher.apply_peer_exclusion(id, exclusion, now);
    }
}

fn instance_id(incarnation: Incarnation) -> InstanceId {
    InstanceId(incarnation.to_u64())
}

fn fingerprint(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_le_bytes([a, b, c, d])
}
