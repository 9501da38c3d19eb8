/*!
Shares the slots of targets among the entry instances of a failure domain.

Each slot is held by at most one instance. To hand slots over, an instance stops
using them and lists them as a transfer in its heartbeats until the receiver
acknowledges it. The receiver uses them as soon as it learns of the transfer. So
the sum never exceeds a target's slots, whichever heartbeats are lost, and no
consensus is needed.

Slots that nobody holds, at the start and after a crash, are claimed by the
instances that hold less than an even share. The order of claims is the same for
all instances with the same membership view. An instance claims only once the
heartbeats of all peers show its own view, and no slots are transferred until
all peers have claimed in that view.

A crashed instance leaves the view after its heartbeat timeout. An instance that
was only paused for that long must call [`SlotLedger::reset`] before it goes on.
During a network partition within a domain, each side may claim the slots of the
other; the targets then refuse the excess tasks. When the partition heals, the
instances give up the excess in an order that all of them compute alike.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::message::{Acknowledgement, InstanceId, SlotStatus, TargetSlots, Transfer};

/// Time for which all instances must share a view before slots are claimed, so
/// that transfers of earlier views have arrived; three heartbeats.
const CLAIM_DELAY: Duration = Duration::from_millis(1600);
/// Time for which the sum of held slots must be wrong before slots are claimed
/// again.
const RECLAIM_DELAY: Duration = Duration::from_secs(6);
/// Fraction of all slots that is shared evenly, regardless of demand.
const EVEN_FRACTION: f64 = 0.3;
/// Fraction of its base share that an instance keeps free when it lends slots.
const LENDING_RESERVE: f64 = 0.3;
/// Weight of one heartbeat in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.05;
/// Odd multiplier that spreads the bits of a view's digest.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Most targets in one transfer, so that a heartbeat fits into a datagram.
const MAX_TRANSFER_TARGETS: usize = 32;

/// Target with its index in the order of fingerprints.
struct IndexedTarget {
    index: usize,
    fingerprint: u32,
    slots: u32,
}

struct Peer {
    status: SlotStatus,
}

/// Slots that one instance holds, and what it knows of its peers' slots.
pub struct SlotLedger {
    own_id: InstanceId,
    /// Slots of each target, by fingerprint.
    targets: BTreeMap<u32, u32>,
    held: BTreeMap<u32, u32>,
    /// Held slots that start no more tasks, so that they can be transferred.
    reserved: BTreeMap<u32, u32>,
    /// Transfers that are not acknowledged yet.
    transfers: Vec<Transfer>,
    last_transfer: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// Last transfer received from each instance. Instances that are gone are
    /// kept, as their heartbeats may arrive again.
    received: BTreeMap<InstanceId, u64>,
    membership_complete: bool,
    resets: u32,
    /// Digest of the view to which `claimed` and `common_since` apply.
    claim_view: u64,
    claimed: bool,
    /// Time since which all peers have had this view.
    common_since: Option<Instant>,
    /// Time since which the sum of held slots has been wrong.
    wrong_since: Option<Instant>,
    demand: f64,
    /// Moving average of the demand.
    average_demand: f64,
    heartbeats: u64,
}

impl SlotLedger {
    /// Ledger of the instance `own_id`, without any slots.
    pub fn new(own_id: InstanceId) -> SlotLedger {
        SlotLedger {
            own_id,
            targets: BTreeMap::new(),
            held: BTreeMap::new(),
            reserved: BTreeMap::new(),
            transfers: Vec::new(),
            last_transfer: 0,
            peers: BTreeMap::new(),
            received: BTreeMap::new(),
            membership_complete: false,
            resets: 0,
            claim_view: 0,
            claimed: false,
            common_since: None,
            wrong_since: None,
            demand: 0.0,
            average_demand: 0.0,
            heartbeats: 0,
        }
    }

    /// Sets the slots of all targets: the smaller of a target's slots and its
    /// connections.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetSlots>) {
        let targets = targets.into_iter().map(|it| (it.target, it.slots));
        self.targets = targets.collect();
        self.held
            .retain(|target, _| self.targets.contains_key(target));
    }

    /// Sets whether every listed instance is either known as a peer or known to
    /// be gone.
    pub fn set_membership_complete(&mut self, complete: bool) {
        self.membership_complete = complete;
    }

    /// Processes the status in a peer's heartbeat.
    pub fn receive(&mut self, from: InstanceId, status: SlotStatus) {
        let peer = self.peers.entry(from).or_insert_with(|| Peer {
            status: SlotStatus::default(),
        });
        let last_received = self.received.entry(from).or_default();
        for transfer in &status.transfers {
            if transfer.to != self.own_id || transfer.sequence <= *last_received {
                continue;
            }
            *last_received = transfer.sequence;
            for it in &transfer.slots {
                *self.held.entry(it.target).or_default() += it.slots;
            }
        }
        let acknowledgement = status
            .acknowledgements
            .iter()
            .find(|it| it.from == self.own_id);
        let acknowledged = acknowledgement.map_or(0, |it| it.sequence);
        self.transfers
            .retain(|it| it.to != from || it.sequence > acknowledged);
        peer.status = status;
    }

    /// Forgets all peers that are not in `live`.
    pub fn retain_peers(&mut self, live: &BTreeSet<InstanceId>) {
        self.peers.retain(|it, _| live.contains(it));
        self.transfers.retain(|it| live.contains(&it.to));
    }

    /// Gives up all slots, because peers may have claimed them.
    pub fn reset(&mut self) {
        self.held.clear();
        self.reserved.clear();
        self.transfers.clear();
        self.peers.clear();
        (self.claim_view, self.claimed, self.membership_complete) = (0, false, false);
        self.resets += 1;
    }

    /// Slots of `target` that this instance may use now.
    pub fn credit(&self, target: u32) -> u32 {
        let held = self.held.get(&target).copied().unwrap_or(0);
        let reserved = self.reserved.get(&target).copied().unwrap_or(0);
        let slots = self.targets.get(&target).copied().unwrap_or(0);
        held.min(slots).saturating_sub(reserved)
    }

    /// Claims this instance's share of the unheld slots and gives up its share of
    /// the slots that are held twice. Does so once in each view that all peers
    /// have in common.
    pub fn claim(&mut self, now: Instant) {
        let view = self.view_digest();
        if view != self.claim_view {
            (self.claim_view, self.claimed, self.common_since) = (view, false, None);
        }
        if !self.membership_complete || !self.is_view_common() {
            self.common_since = None;
            return;
        }
        let common_since = *self.common_since.get_or_insert(now);
        let members = self.members();
        if self.claimed {
            self.reclaim_if_wrong(now, &members);
            return;
        }
        let at_once = members.len() <= 2 || self.no_transfers_yet();
        if at_once || now - common_since >= CLAIM_DELAY {
            self.claim_share(&members);
        }
    }

    /// Transfers slots to peers by demand and returns the status for the next
    /// heartbeat.
    ///
    /// `used` returns the slots of a target that this instance's tasks occupy.
    /// `demand` is the number of slots that this instance could use now.
    pub fn next_status(
        &mut self,
        now: Instant,
        demand: u32,
        used: impl Fn(u32) -> u32,
    ) -> SlotStatus {
        self.demand = f64::from(demand);
        let first = self.heartbeats == 0;
        self.heartbeats += 1;
        let weight = if first { 1.0 } else { DEMAND_WEIGHT };
        self.average_demand += weight * (self.demand - self.average_demand);
        self.claim(now);
        self.reserve();
        self.transfer_reserved(&used);
        self.reserved.clear();
        SlotStatus {
            view_digest: self.view_digest(),
            resets: self.resets,
            claimed: self.claimed,
            demand: self.demand as u32,
            average_demand_hundredths: (self.average_demand * 100.0) as u32,
            held: self.held_by_target(),
            transfers: self.transfers.clone(),
            acknowledgements: self.acknowledgements(),
        }
    }

    fn members(&self) -> Vec<InstanceId> {
        let mut members: Vec<InstanceId> = self.peers.keys().copied().collect();
        members.push(self.own_id);
        members.sort_unstable();
        members
    }

    fn view_digest(&self) -> u64 {
        let mix = |acc: u64, it: InstanceId| (acc ^ it.0).wrapping_mul(MULTIPLIER).rotate_left(29);
        // A peer that has not seen a member's reset is in an earlier view.
        let resets = |it: InstanceId| match self.peers.get(&it) {
            Some(peer) => peer.status.resets,
            None => self.resets,
        };
        let member = |acc, it| mix(mix(acc, it), InstanceId(u64::from(resets(it))));
        let members = self.members().into_iter().fold(MULTIPLIER, member);
        let targets = self.targets.iter();
        let target = |it: (&u32, &u32)| InstanceId(u64::from(*it.0) << 32 | u64::from(*it.1));
        targets.map(target).fold(members, mix)
    }

    /// Returns true if all peers see the same instances and targets as this one.
    fn is_view_common(&self) -> bool {
        let view = self.view_digest();
        self.peers.values().all(|it| it.status.view_digest == view)
    }

    fn claim_share(&mut self, members: &[InstanceId]) {
        for target in self.indexed_targets() {
            self.give_up_excess(&target, members);
            let share = self.unheld_share(&target, members);
            *self.held.entry(target.fingerprint).or_default() += share;
        }
        (self.claimed, self.wrong_since) = (true, None);
    }

    /// Starts a new claim if the sum of held slots has been wrong for
    /// [`RECLAIM_DELAY`].
    fn reclaim_if_wrong(&mut self, now: Instant, members: &[InstanceId]) {
        let wrong = |it: &IndexedTarget| {
            let held: u32 = members.iter().map(|member| self.held_by(member, it)).sum();
            held > it.slots || self.unheld(it, members) > 0
        };
        if !self.indexed_targets().iter().any(wrong) {
            self.wrong_since = None;
            return;
        }
        let since = *self.wrong_since.get_or_insert(now);
        if now - since >= RECLAIM_DELAY {
            (self.claimed, self.common_since) = (false, None);
        }
    }

    fn indexed_targets(&self) -> Vec<IndexedTarget> {
        let targets = self.targets.iter().enumerate();
        let indexed = |(index, (fingerprint, slots)): (usize, (&u32, &u32))| IndexedTarget {
            index,
            fingerprint: *fingerprint,
            slots: *slots,
        };
        targets.map(indexed).collect()
    }

    /// Returns true if no slots were transferred yet, so that none can be in
    /// transit.
    fn no_transfers_yet(&self) -> bool {
        let no_transfers =
            |it: &Peer| it.status.transfers.is_empty() && it.status.acknowledgements.is_empty();
        self.transfers.is_empty()
            && self.received.values().all(|it| *it == 0)
            && self.peers.values().all(no_transfers)
    }

    /// Slots of a target that `member` holds, as far as known.
    fn held_by(&self, member: &InstanceId, target: &IndexedTarget) -> u32 {
        match self.peers.get(member) {
            Some(peer) => peer
                .status
                .held
                .get(target.index)
                .copied()
                .map_or(0, u32::from),
            None => self.held.get(&target.fingerprint).copied().unwrap_or(0),
        }
    }

    /// Members in the order in which they claim unheld slots of a target.
    fn claim_order<'a>(
        target: &IndexedTarget,
        members: &'a [InstanceId],
    ) -> impl DoubleEndedIterator<Item = &'a InstanceId> {
        let (before, from) = members.split_at(target.index % members.len());
        from.iter().chain(before)
    }

    /// Slots of a target that nobody holds. Slots of an unacknowledged transfer
    /// count as held by its sender, and also by its receiver once it has them.
    fn unheld(&self, target: &IndexedTarget, members: &[InstanceId]) -> u32 {
        let unacknowledged = |transfers: &[Transfer]| -> u32 {
            transfers
                .iter()
                .map(|it| it.slots_of(target.fingerprint))
                .sum()
        };
        let held: u32 = members.iter().map(|it| self.held_by(it, target)).sum();
        let peers: u32 = self
            .peers
            .values()
            .map(|it| unacknowledged(&it.status.transfers))
            .sum();
        let accounted = held + unacknowledged(&self.transfers) + peers;
        target.slots.saturating_sub(accounted)
    }

    /// Slots that this instance claims of those that nobody holds.
    fn unheld_share(&self, target: &IndexedTarget, members: &[InstanceId]) -> u32 {
        let mut unheld = self.unheld(target, members);
        let count = members.len() as u32;
        let mut share = 0;
        for (rank, member) in (0..).zip(SlotLedger::claim_order(target, members)) {
            let even = target.slots / count + u32::from(rank < target.slots % count);
            let claim = even
                .saturating_sub(self.held_by(member, target))
                .min(unheld);
            unheld -= claim;
            if *member == self.own_id {
                share = claim;
            }
        }
        let first = SlotLedger::claim_order(target, members).next();
        if first == Some(&self.own_id) {
            share + unheld
        } else {
            share
        }
    }

    /// Gives up this instance's share of the slots that are held in excess of a
    /// target's slots. The first to claim is the last to give up.
    fn give_up_excess(&mut self, target: &IndexedTarget, members: &[InstanceId]) {
        let total: u32 = members.iter().map(|it| self.held_by(it, target)).sum();
        let mut excess = total.saturating_sub(target.slots);
        for member in SlotLedger::claim_order(target, members).rev() {
            let share = self.held_by(member, target).min(excess);
            if *member == self.own_id && share > 0 {
                self.held
                    .entry(target.fingerprint)
                    .and_modify(|it| *it -= share);
                return;
            }
            excess -= share;
        }
    }

    /// Reserves the slots that peers need more, so that they are free by the next
    /// heartbeat.
    pub fn reserve(&mut self) {
        self.reserved.clear();
        let Some((surplus, _)) = self.surplus() else {
            return;
        };
        let mut left = surplus;
        // Takes them from the targets with the most held slots, so that all
        // instances keep both fast and slow targets.
        let mut targets: BTreeSet<(u32, u32)> = self.held.iter().map(|(a, b)| (*b, *a)).collect();
        while left > 0 && self.reserved.len() < MAX_TRANSFER_TARGETS {
            let Some((held, target)) = targets.pop_last().filter(|it| it.0 > 0) else {
                return;
            };
            targets.insert((held - 1, target));
            *self.reserved.entry(target).or_default() += 1;
            left -= 1;
        }
    }

    /// Number of slots that this instance can spare, and the peers that lack
    /// slots with the number that each lacks.
    ///
    /// Each instance has a base share that follows its average demand. If peers
    /// need more than they hold, this instance lends them all that it doesn't
    /// need itself. Otherwise it returns what it holds beyond its base share to
    /// the peers below theirs.
    fn surplus(&self) -> Option<(u32, Vec<(InstanceId, f64)>)> {
        // No slots may move until all instances have claimed.
        if !self.claimed || !self.peers.values().all(|it| it.status.claimed) {
            return None;
        }
        let bases = self.base_shares();
        let held = f64::from(self.held.values().sum::<u32>());
        let needed = self.demand + bases.own * LENDING_RESERVE;
        let unmet_demand = |peer: &Peer| peer.demand() - peer.held() - self.in_transit(peer);
        let overloaded = self.peers_lacking(unmet_demand);
        let (spare, lacking) = if overloaded.is_empty() {
            let below = |it: &Peer| bases.of(it.average_demand()) - it.held() - self.in_transit(it);
            (held - bases.own.max(needed), self.peers_lacking(below))
        } else {
            (held - bases.own.min(needed), overloaded)
        };
        let total_lack: f64 = lacking.iter().map(|it| it.1).sum();
        let spare = spare.min(total_lack);
        (spare >= 1.0).then_some((spare as u32, lacking))
    }

    fn peers_lacking(&self, lack: impl Fn(&Peer) -> f64) -> Vec<(InstanceId, f64)> {
        let lacking = self.peers.iter().map(|(id, it)| (*id, lack(it)));
        lacking.filter(|it| it.1 >= 1.0).collect()
    }

    fn base_shares(&self) -> BaseShares {
        let total = f64::from(self.targets.values().sum::<u32>());
        let total_demand: f64 =
            self.peers.values().map(Peer::average_demand).sum::<f64>() + self.average_demand;
        let even = total * EVEN_FRACTION / (self.peers.len() as f64 + 1.0);
        let per_demand = total * (1.0 - EVEN_FRACTION) / total_demand.max(1e-9);
        BaseShares {
            even,
            per_demand,
            own: even + per_demand * self.average_demand,
        }
    }

    /// Slots of transfers to `peer` that it has not acknowledged.
    fn in_transit(&self, peer: &Peer) -> f64 {
        let to_peer = |it: &&Transfer| {
            self.peers
                .get(&it.to)
                .is_some_and(|it| std::ptr::eq(it, peer))
        };
        let slots = self
            .transfers
            .iter()
            .filter(to_peer)
            .flat_map(|it| &it.slots);
        slots.map(|it| f64::from(it.slots)).sum()
    }

    /// Transfers the reserved slots that are free, in proportion to what each
    /// peer lacks.
    fn transfer_reserved(&mut self, used: &impl Fn(u32) -> u32) {
        let Some((_, lacking)) = self.surplus() else {
            return;
        };
        let mut free = Vec::new();
        for (target, reserved) in &mut self.reserved {
            let held = self.held.get(target).copied().unwrap_or(0);
            let slots = held.saturating_sub(used(*target)).min(*reserved);
            if slots > 0 {
                *reserved -= slots;
                self.held.entry(*target).and_modify(|it| *it -= slots);
                free.extend(std::iter::repeat_n(*target, slots as usize));
            }
        }
        let total_lack: f64 = lacking.iter().map(|it| it.1).sum();
        let count = free.len() as f64;
        let mut end = 0.0;
        let mut transferred = 0;
        for (to, lack) in lacking {
            end += count * lack / total_lack;
            let share = &free[transferred..(end.round() as usize).min(free.len())];
            transferred += share.len();
            self.add_transfer(to, share);
        }
    }

    fn add_transfer(&mut self, to: InstanceId, targets: &[u32]) {
        if targets.is_empty() {
            return;
        }
        let mut slots: BTreeMap<u32, u32> = BTreeMap::new();
        for target in targets {
            *slots.entry(*target).or_default() += 1;
        }
        self.last_transfer += 1;
        self.transfers.push(Transfer {
            to,
            sequence: self.last_transfer,
            slots: to_target_slots(&slots),
        });
    }

    fn held_by_target(&self) -> Vec<u16> {
        let held = |it: &u32| self.held.get(it).copied().unwrap_or(0);
        let held = self.targets.keys().map(held);
        held.map(|it| u16::try_from(it).unwrap_or(u16::MAX))
            .collect()
    }

    fn acknowledgements(&self) -> Vec<Acknowledgement> {
        let received = self.received.iter();
        let received = received.filter(|(from, it)| **it > 0 && self.peers.contains_key(from));
        let acknowledgement = |(from, sequence): (&InstanceId, &u64)| Acknowledgement {
            from: *from,
            sequence: *sequence,
        };
        received.map(acknowledgement).collect()
    }
}

/// Slots that each instance is entitled to by its average demand.
struct BaseShares {
    even: f64,
    per_demand: f64,
    own: f64,
}

impl BaseShares {
    fn of(&self, average_demand: f64) -> f64 {
        self.even + self.per_demand * average_demand
    }
}

impl Peer {
    fn demand(&self) -> f64 {
        f64::from(self.status.demand)
    }

    fn average_demand(&self) -> f64 {
        f64::from(self.status.average_demand_hundredths) / 100.0
    }

    fn held(&self) -> f64 {
        self.status.held.iter().map(|it| f64::from(*it)).sum()
    }
}

impl Transfer {
    fn slots_of(&self, target: u32) -> u32 {
        slots_of(&self.slots, target)
    }
}

fn slots_of(slots: &[TargetSlots], target: u32) -> u32 {
    let found = slots.binary_search_by_key(&target, |it| it.target);
    found.map_or(0, |it| slots[it].slots)
}

fn to_target_slots(slots: &BTreeMap<u32, u32>) -> Vec<TargetSlots> {
    let non_zero = slots.iter().filter(|(_, it)| **it > 0);
    non_zero
        .map(|(target, slots)| TargetSlots {
            target: *target,
            slots: *slots,
        })
        .collect()
}
