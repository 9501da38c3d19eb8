/*!
Slots of targets, shared among the entry instances of a domain.

Each slot is held by at most one instance. An instance gives slots away by
ceasing to use them and naming them as a gift on its heartbeats until the
receiver confirms; the receiver uses them from the moment it hears of the gift.
So the sum never exceeds a target's slots, whatever heartbeats get lost, and no
agreement is needed.

Slots that nobody holds, at the start and after a crash, fall to those who hold
less than an even part, in an order that is the same for all who see the same
live instances: a claim waits until every peer's heartbeat shows that same view,
and no slots are given until every peer has settled its claims in it.
A crashed instance is
out of the view after its heartbeat timeout. One that was only paused must call
[`SlotLedger::reset`] before it goes on. Two sides of a cut inside a domain may each
take the other's slots; the targets then refuse, and when the cut mends, the
excess is given up in an order that all compute alike.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::notice::{Gift, InstanceId, Receipt, SlotStatus, TargetSlots};

/// Time for which a view must be common before slots are claimed, so that gifts
/// of earlier views have arrived; three heartbeats.
const SETTLE: Duration = Duration::from_millis(1600);
/// Time after which a sum that looks wrong is settled anew.
const DOUBT: Duration = Duration::from_secs(6);
/// Part of all slots that is shared evenly, whatever the demand.
const EVEN: f64 = 0.3;
/// Part of its base that an instance keeps free when it lends.
const SAFETY: f64 = 0.3;
/// Weight of one heartbeat in the demand in the long run.
const LASTING: f64 = 0.05;
/// Odd multiplier that spreads the bits of a digest of accounts.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// Most targets that one gift names, so that a heartbeat stays a datagram.
const GIFT_TARGETS: usize = 32;

/// Target by its place in the order of fingerprints.
struct Place {
    index: usize,
    target: u32,
    slots: u32,
}

struct Peer {
    notice: SlotStatus,
}

/// Slots that one instance holds, and what it knows of its peers' slots.
pub struct SlotLedger {
    me: InstanceId,
    /// Slots of each target.
    targets: BTreeMap<u32, u32>,
    held: BTreeMap<u32, u32>,
    /// Slots to be given away as they come free.
    reserved: BTreeMap<u32, u32>,
    gifts: Vec<Gift>,
    number: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// Last gift taken over from each instance, also from those that have gone
    /// and may yet be heard of again.
    taken: BTreeMap<InstanceId, u64>,
    complete: bool,
    lapses: u32,
    /// View for which the following hold.
    seen: u64,
    settled: bool,
    /// Since when all peers have had this view.
    common: Option<Instant>,
    /// Since when the sum of what is held has looked wrong.
    doubtful: Option<Instant>,
    demand: f64,
    /// Demand in the long run.
    lasting: f64,
    beats: u64,
}

impl SlotLedger {
    /// SlotLedger of `me`, which holds nothing yet.
    pub fn new(me: InstanceId) -> SlotLedger {
        SlotLedger {
            me,
            targets: BTreeMap::new(),
            held: BTreeMap::new(),
            reserved: BTreeMap::new(),
            gifts: Vec::new(),
            number: 0,
            peers: BTreeMap::new(),
            taken: BTreeMap::new(),
            complete: false,
            lapses: 0,
            seen: 0,
            settled: false,
            common: None,
            doubtful: None,
            demand: 0.0,
            lasting: 0.0,
            beats: 0,
        }
    }

    /// Sets the slots of all targets; fewer of slots and connections.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetSlots>) {
        let targets = targets.into_iter().map(|it| (it.target, it.slots));
        self.targets = targets.collect();
        self.held
            .retain(|target, _| self.targets.contains_key(target));
    }

    /// Tells whether every listed instance was heard of or is known to be gone.
    pub fn set_membership_complete(&mut self, complete: bool) {
        self.complete = complete;
    }

    /// Takes in the notice of a peer.
    pub fn receive(&mut self, from: InstanceId, notice: SlotStatus) {
        let peer = self.peers.entry(from).or_insert_with(|| Peer {
            notice: SlotStatus::default(),
        });
        let taken = self.taken.entry(from).or_default();
        for gift in &notice.gifts {
            if gift.to != self.me || gift.number <= *taken {
                continue;
            }
            *taken = gift.number;
            for it in &gift.slots {
                *self.held.entry(it.target).or_default() += it.slots;
            }
        }
        let receipt = notice.receipts.iter().find(|it| it.from == self.me);
        let confirmed = receipt.map_or(0, |it| it.number);
        self.gifts
            .retain(|it| it.to != from || it.number > confirmed);
        peer.notice = notice;
    }

    /// Keeps only the peers that are live.
    pub fn retain_peers(&mut self, live: &BTreeSet<InstanceId>) {
        self.peers.retain(|it, _| live.contains(it));
        self.gifts.retain(|it| live.contains(&it.to));
    }

    /// Gives up everything, because peers may have taken it over.
    pub fn reset(&mut self) {
        self.held.clear();
        self.reserved.clear();
        self.gifts.clear();
        self.peers.clear();
        (self.seen, self.settled, self.complete) = (0, false, false);
        self.lapses += 1;
    }

    /// Slots of `target` that this instance may use now.
    pub fn credit(&self, target: u32) -> u32 {
        let held = self.held.get(&target).copied().unwrap_or(0);
        let reserved = self.reserved.get(&target).copied().unwrap_or(0);
        let slots = self.targets.get(&target).copied().unwrap_or(0);
        held.min(slots).saturating_sub(reserved)
    }

    /// Takes this instance's part of what nobody holds and gives up its part of
    /// what is held twice, once in each view that all peers have in common.
    pub fn claim(&mut self, now: Instant) {
        let view = self.view();
        if view != self.seen {
            (self.seen, self.settled, self.common) = (view, false, None);
        }
        if !self.complete || !self.is_common() {
            self.common = None;
            return;
        }
        let common = *self.common.get_or_insert(now);
        let members = self.members();
        if self.settled {
            self.doubt(now, &members);
            return;
        }
        let at_once = members.len() <= 2 || self.is_fresh();
        if at_once || now - common >= SETTLE {
            self.settle(&members);
        }
    }

    /// Shares slots by demand and says what is held, for the next heartbeat.
    ///
    /// `used` gives the slots of a target that this instance's tasks take,
    /// `demand` the slots that it could use now.
    pub fn next_status(
        &mut self,
        now: Instant,
        demand: u32,
        used: impl Fn(u32) -> u32,
    ) -> SlotStatus {
        self.demand = f64::from(demand);
        let first = self.beats == 0;
        self.beats += 1;
        let weight = if first { 1.0 } else { LASTING };
        self.lasting += weight * (self.demand - self.lasting);
        self.claim(now);
        self.reserve();
        self.give(&used);
        self.reserved.clear();
        SlotStatus {
            view: self.view(),
            lapses: self.lapses,
            settled: self.settled,
            demand: self.demand as u32,
            lasting: (self.lasting * 100.0) as u32,
            held: self.listed(),
            gifts: self.gifts.clone(),
            receipts: self.receipts(),
        }
    }

    fn members(&self) -> Vec<InstanceId> {
        let mut members: Vec<InstanceId> = self.peers.keys().copied().collect();
        members.push(self.me);
        members.sort_unstable();
        members
    }

    fn view(&self) -> u64 {
        let mix = |digest: u64, it: InstanceId| (digest ^ it.0).wrapping_mul(MIX).rotate_left(29);
        // A peer that has not heard of a lapse is in an earlier view.
        let lapses = |it: InstanceId| match self.peers.get(&it) {
            Some(peer) => peer.notice.lapses,
            None => self.lapses,
        };
        let member = |digest, it| mix(mix(digest, it), InstanceId(u64::from(lapses(it))));
        let members = self.members().into_iter().fold(MIX, member);
        let targets = self.targets.iter();
        let target = |it: (&u32, &u32)| InstanceId(u64::from(*it.0) << 32 | u64::from(*it.1));
        targets.map(target).fold(members, mix)
    }

    /// True when all peers see the same instances and targets as this one.
    fn is_common(&self) -> bool {
        let view = self.view();
        self.peers.values().all(|it| it.notice.view == view)
    }

    fn settle(&mut self, members: &[InstanceId]) {
        for target in self.places() {
            self.give_up_excess(&target, members);
            let part = self.part(&target, members);
            *self.held.entry(target.target).or_default() += part;
        }
        (self.settled, self.doubtful) = (true, None);
    }

    /// Settles anew when the sum has been wrong for long.
    fn doubt(&mut self, now: Instant, members: &[InstanceId]) {
        let wrong = |it: &Place| {
            let held: u32 = members.iter().map(|member| self.held_by(member, it)).sum();
            held > it.slots || self.unheld(it, members) > 0
        };
        if !self.places().iter().any(wrong) {
            self.doubtful = None;
            return;
        }
        let since = *self.doubtful.get_or_insert(now);
        if now - since >= DOUBT {
            (self.settled, self.common) = (false, None);
        }
    }

    fn places(&self) -> Vec<Place> {
        let places = self.targets.iter().enumerate();
        let place = |(index, (target, slots)): (usize, (&u32, &u32))| Place {
            index,
            target: *target,
            slots: *slots,
        };
        places.map(place).collect()
    }

    /// True when no slots have moved yet, so that none can be on their way.
    fn is_fresh(&self) -> bool {
        let fresh = |it: &Peer| it.notice.gifts.is_empty() && it.notice.receipts.is_empty();
        self.gifts.is_empty()
            && self.taken.values().all(|it| *it == 0)
            && self.peers.values().all(fresh)
    }

    /// Slots of a target that `member` uses, as far as known.
    fn held_by(&self, member: &InstanceId, target: &Place) -> u32 {
        match self.peers.get(member) {
            Some(peer) => peer
                .notice
                .held
                .get(target.index)
                .copied()
                .map_or(0, u32::from),
            None => self.held.get(&target.target).copied().unwrap_or(0),
        }
    }

    /// Members in the order in which they take what nobody holds.
    fn order<'a>(
        target: &Place,
        members: &'a [InstanceId],
    ) -> impl DoubleEndedIterator<Item = &'a InstanceId> {
        let (before, from) = members.split_at(target.index % members.len());
        from.iter().chain(before)
    }

    /// Slots of a target that nobody holds. A gift counts with its giver until
    /// confirmed, and with its receiver.
    fn unheld(&self, target: &Place, members: &[InstanceId]) -> u32 {
        let given = |gifts: &[Gift]| -> u32 { gifts.iter().map(|it| it.of(target.target)).sum() };
        let held: u32 = members.iter().map(|it| self.held_by(it, target)).sum();
        let peers: u32 = self.peers.values().map(|it| given(&it.notice.gifts)).sum();
        let accounted = held + given(&self.gifts) + peers;
        target.slots.saturating_sub(accounted)
    }

    /// What this instance takes of the slots that nobody holds.
    fn part(&self, target: &Place, members: &[InstanceId]) -> u32 {
        let mut unheld = self.unheld(target, members);
        let count = members.len() as u32;
        let mut part = 0;
        for (rank, member) in (0..).zip(SlotLedger::order(target, members)) {
            let even = target.slots / count + u32::from(rank < target.slots % count);
            let taken = even
                .saturating_sub(self.held_by(member, target))
                .min(unheld);
            unheld -= taken;
            if *member == self.me {
                part = taken;
            }
        }
        let first = SlotLedger::order(target, members).next();
        if first == Some(&self.me) {
            part + unheld
        } else {
            part
        }
    }

    /// Gives up this instance's part of what is held beyond a target's slots;
    /// who takes first gives up last.
    fn give_up_excess(&mut self, target: &Place, members: &[InstanceId]) {
        let total: u32 = members.iter().map(|it| self.held_by(it, target)).sum();
        let mut excess = total.saturating_sub(target.slots);
        for member in SlotLedger::order(target, members).rev() {
            let part = self.held_by(member, target).min(excess);
            if *member == self.me && part > 0 {
                self.held.entry(target.target).and_modify(|it| *it -= part);
                return;
            }
            excess -= part;
        }
    }

    /// Sets aside what peers need more, so that it comes free until the next
    /// heartbeat.
    pub fn reserve(&mut self) {
        self.reserved.clear();
        let Some((surplus, _)) = self.surplus() else {
            return;
        };
        let mut left = surplus;
        // From the targets of which most is held, so that all instances keep
        // fast and slow ones.
        let mut targets: BTreeSet<(u32, u32)> = self.held.iter().map(|(a, b)| (*b, *a)).collect();
        while left > 0 && self.reserved.len() < GIFT_TARGETS {
            let Some((held, target)) = targets.pop_last().filter(|it| it.0 > 0) else {
                return;
            };
            targets.insert((held - 1, target));
            *self.reserved.entry(target).or_default() += 1;
            left -= 1;
        }
    }

    /// Slots that this instance can spare, and who lacks how many.
    ///
    /// Each has a base by its demand in the long run. Who needs more than it
    /// holds is lent what is not needed here; when nobody does, what is held
    /// beyond the base goes back to those below theirs.
    fn surplus(&self) -> Option<(u32, Vec<(InstanceId, f64)>)> {
        // While somebody has yet to claim, nothing may move.
        if !self.settled || !self.peers.values().all(|it| it.notice.settled) {
            return None;
        }
        let bases = self.bases();
        let held = f64::from(self.held.values().sum::<u32>());
        let needed = self.demand + bases.own * SAFETY;
        let needs = |peer: &Peer| peer.demand() - peer.held() - self.given(peer);
        let needy = self.lacking(needs);
        let (spare, lacking) = if needy.is_empty() {
            let below = |peer: &Peer| bases.of(peer.lasting()) - peer.held() - self.given(peer);
            (held - bases.own.max(needed), self.lacking(below))
        } else {
            (held - bases.own.min(needed), needy)
        };
        let lack: f64 = lacking.iter().map(|it| it.1).sum();
        let spare = spare.min(lack);
        (spare >= 1.0).then_some((spare as u32, lacking))
    }

    fn lacking(&self, lack: impl Fn(&Peer) -> f64) -> Vec<(InstanceId, f64)> {
        let lacking = self.peers.iter().map(|(account, it)| (*account, lack(it)));
        lacking.filter(|it| it.1 >= 1.0).collect()
    }

    fn bases(&self) -> Bases {
        let total = f64::from(self.targets.values().sum::<u32>());
        let all: f64 = self.peers.values().map(Peer::lasting).sum::<f64>() + self.lasting;
        let even = total * EVEN / (self.peers.len() as f64 + 1.0);
        let per_demand = total * (1.0 - EVEN) / all.max(1e-9);
        Bases {
            even,
            per_demand,
            own: even + per_demand * self.lasting,
        }
    }

    /// Slots on their way to a peer that it does not count yet.
    fn given(&self, peer: &Peer) -> f64 {
        let to = |it: &&Gift| {
            self.peers
                .get(&it.to)
                .is_some_and(|it| std::ptr::eq(it, peer))
        };
        let slots = self.gifts.iter().filter(to).flat_map(|it| &it.slots);
        slots.map(|it| f64::from(it.slots)).sum()
    }

    /// Gives away what is set aside and free, by what each peer lacks.
    fn give(&mut self, used: &impl Fn(u32) -> u32) {
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
        let total: f64 = lacking.iter().map(|it| it.1).sum();
        let count = free.len() as f64;
        let mut end = 0.0;
        let mut given = 0;
        for (to, lack) in lacking {
            end += count * lack / total;
            let part = &free[given..(end.round() as usize).min(free.len())];
            given += part.len();
            self.gift(to, part);
        }
    }

    fn gift(&mut self, to: InstanceId, targets: &[u32]) {
        if targets.is_empty() {
            return;
        }
        let mut slots: BTreeMap<u32, u32> = BTreeMap::new();
        for target in targets {
            *slots.entry(*target).or_default() += 1;
        }
        self.number += 1;
        self.gifts.push(Gift {
            to,
            number: self.number,
            slots: entries(&slots),
        });
    }

    fn listed(&self) -> Vec<u16> {
        let held = |it: &u32| self.held.get(it).copied().unwrap_or(0);
        let held = self.targets.keys().map(held);
        held.map(|it| u16::try_from(it).unwrap_or(u16::MAX))
            .collect()
    }

    fn receipts(&self) -> Vec<Receipt> {
        let taken = self.taken.iter();
        let taken = taken.filter(|(from, it)| **it > 0 && self.peers.contains_key(from));
        let receipt = |(from, number): (&InstanceId, &u64)| Receipt {
            from: *from,
            number: *number,
        };
        taken.map(receipt).collect()
    }
}

/// Slots that are each instance's in the long run.
struct Bases {
    even: f64,
    per_demand: f64,
    own: f64,
}

impl Bases {
    fn of(&self, lasting: f64) -> f64 {
        self.even + self.per_demand * lasting
    }
}

impl Peer {
    fn demand(&self) -> f64 {
        f64::from(self.notice.demand)
    }

    fn lasting(&self) -> f64 {
        f64::from(self.notice.lasting) / 100.0
    }

    fn held(&self) -> f64 {
        self.notice.held.iter().map(|it| f64::from(*it)).sum()
    }
}

impl Gift {
    fn of(&self, target: u32) -> u32 {
        of(&self.slots, target)
    }
}

fn of(slots: &[TargetSlots], target: u32) -> u32 {
    let found = slots.binary_search_by_key(&target, |it| it.target);
    found.map_or(0, |it| slots[it].slots)
}

fn entries(slots: &BTreeMap<u32, u32>) -> Vec<TargetSlots> {
    let some = slots.iter().filter(|(_, it)| **it > 0);
    some.map(|(target, slots)| TargetSlots {
        target: *target,
        slots: *slots,
    })
    .collect()
}
