/*!
Targets by speed.

Targets of about the same slowness form a class, a quarter octave wide, and
each class keeps its targets with free slots by their use. A choice looks at
classes, of which there is a fixed number, and then takes the least used target
of one: its cost grows with the logarithm of the number of targets.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    Exclusion, Target, TargetId,
    health::{Health, State},
};

const CLASSES: usize = 40;
/// Class of nominal speed.
const NOMINAL: f64 = 8.0;
const PER_OCTAVE: f64 = 4.0;
/// Way beyond a class's edge at which a target changes class, in classes.
const HYSTERESIS: f64 = 0.7;
/// Longest lag of the instance list behind a target that says it is leaving.
const REFUSED: Duration = Duration::from_secs(60);
/// Targets of a class that are tried for a task of more than one slot.
const TRIES: usize = 8;

#[derive(Clone, Default)]
struct Class {
    /// Targets with free slots, the least used first.
    free: BTreeSet<(u32, TargetId)>,
    slots: u32,
}

struct Held {
    target: Target,
    /// Until when a refusal counts against a list that does not show it yet.
    refused: Option<Instant>,
    used: u32,
    health: Health,
    class: usize,
    /// Slots that count in the class.
    counted: u32,
    key: Option<(u32, TargetId)>,
}

/// Slots of the classes that are faster than a choice.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faster {
    /// Slots.
    pub(crate) slots: f64,
    /// Nominal seconds of work that they do in a second.
    pub(crate) rate: f64,
}

impl Faster {
    /// Slowness of one of these slots, weighted by the work that it does.
    pub(crate) fn slowness(&self) -> f64 {
        self.slots / self.rate
    }
}

/// Target with a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) target: TargetId,
    pub(crate) slowness: f64,
    pub(crate) faster: Faster,
}

/// Targets by speed.
#[derive(Default)]
pub(crate) struct Pool {
    targets: BTreeMap<TargetId, Held>,
    classes: Vec<Class>,
    out: BTreeSet<(Instant, TargetId)>,
    rate: f64,
    largest: BTreeMap<u32, u32>,
}

impl Pool {
    pub(crate) fn new() -> Pool {
        Pool {
            classes: vec![Class::default(); CLASSES],
            ..Pool::default()
        }
    }

    pub(crate) fn set(&mut self, mut target: Target, now: Instant) {
        let id = target.id;
        let held = self.targets.get(&id);
        let refused = held.and_then(|it| it.refused);
        target.leaving |= refused.is_some_and(|it| now < it);
        let before = held.map(|it| it.target);
        if before == Some(target) {
            return;
        }
        self.count_size(before.map(|it| it.slots), Some(target.slots));
        if let Some(held) = self.targets.get_mut(&id) {
            held.target = target;
        } else {
            let held = Held {
                target,
                refused: None,
                used: 0,
                health: Health::default(),
                class: NOMINAL as usize,
                counted: 0,
                key: None,
            };
            self.targets.insert(id, held);
        }
        self.place(id);
    }

    pub(crate) fn remove(&mut self, id: TargetId) {
        let Some(mut held) = self.targets.remove(&id) else {
            return;
        };
        self.count_size(Some(held.target.slots), None);
        self.displace(&mut held);
        if let State::Out(_, until) = held.health.state() {
            self.out.remove(&(until, id));
        }
    }

    /// Slots of the largest target.
    pub(crate) fn largest(&self) -> u32 {
        self.largest.last_key_value().map_or(0, |(size, _)| *size)
    }

    /// Nominal seconds of work that all usable slots do in a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Slowness of the fastest class that has slots at all.
    pub(crate) fn fastest(&self) -> f64 {
        let class = self.classes.iter().position(|it| it.slots > 0);
        class.map_or(1.0, slowness)
    }

    /// Fastest target with `size` slots free.
    pub(crate) fn choose(&self, size: u32) -> Option<Choice> {
        let mut faster = Faster::default();
        for (index, class) in self.classes.iter().enumerate() {
            if let Some(target) = self.in_class(class, size) {
                return Some(Choice {
                    target,
                    slowness: slowness(index),
                    faster,
                });
            }
            faster.slots += f64::from(class.slots);
            faster.rate += f64::from(class.slots) / slowness(index);
        }
        None
    }

    /// Target that is out and due for a probe.
    pub(crate) fn probe(&self, now: Instant) -> Option<Choice> {
        let due = self.out.range(..=(now, TargetId(u32::MAX)));
        let mut targets = due.map(|(_, id)| &self.targets[id]);
        let held = targets.find(|it| it.target.credit > it.used && !it.target.leaving)?;
        Some(Choice {
            target: held.target.id,
            slowness: slowness(held.class),
            faster: Faster::default(),
        })
    }

    /// Earliest time at which a probe is due.
    pub(crate) fn next_probe(&self) -> Option<Instant> {
        self.out.first().map(|it| it.0)
    }

    pub(crate) fn take(&mut self, id: TargetId, size: u32, probe: bool) {
        let Some(held) = self.targets.get_mut(&id) else {
            return;
        };
        held.used += size;
        if let (true, State::Out(_, until)) = (probe, held.health.state()) {
            self.out.remove(&(until, id));
            held.health.probe();
        }
        self.place(id);
    }

    pub(crate) fn release(&mut self, id: TargetId, size: u32) {
        if let Some(held) = self.targets.get_mut(&id) {
            held.used = held.used.saturating_sub(size);
            self.place(id);
        }
    }

    pub(crate) fn leave(&mut self, id: TargetId, now: Instant) {
        if let Some(held) = self.targets.get_mut(&id) {
            held.target.leaving = true;
            held.refused = Some(now + REFUSED);
            self.place(id);
        }
    }

    /// Lasting slowness of `id`.
    pub(crate) fn slowness(&self, id: TargetId) -> f64 {
        let held = self.targets.get(&id);
        held.map_or(1.0, |it| it.health.slowness())
    }

    /// Slots of `id` in use by this instance.
    pub(crate) fn used(&self, id: TargetId) -> u32 {
        self.targets.get(&id).map_or(0, |it| it.used)
    }

    /// Lets `judge` take in an observation and shuts the target out if it finds
    /// reason to and not too many are out already.
    pub(crate) fn judge(
        &mut self,
        id: TargetId,
        now: Instant,
        max_out: f64,
        judge: impl FnOnce(&mut Health) -> Option<Exclusion>,
    ) {
        let Some(held) = self.targets.get_mut(&id) else {
            return;
        };
        let probing = matches!(held.health.state(), State::Probing(_));
        let finding = judge(&mut held.health);
        let allowed = |it: &Pool| probing || it.may_shut(id, finding, max_out);
        if let Some(finding) = finding.filter(|_| allowed(self)) {
            self.shut(id, |it| it.shut(finding, now));
        }
        self.place(id);
    }

    /// Targets that this instance itself has shut out, with the reason and their
    /// excess slowness.
    pub(crate) fn exclusions(&self) -> impl Iterator<Item = (TargetId, Exclusion, f64)> {
        self.targets.values().filter_map(|it| {
            let (State::Out(finding, _) | State::Probing(finding)) = it.health.state() else {
                return None;
            };
            let own = it.health.is_own();
            own.then(|| (it.target.id, finding, it.health.excess()))
        })
    }

    /// Shuts `id` out on a peer's finding, if it is open here.
    pub(crate) fn suspect(&mut self, id: TargetId, finding: Exclusion, now: Instant, max_out: f64) {
        let state = self.targets.get(&id).map(|it| it.health.state());
        let open = matches!(state, Some(State::Open(u32::MAX)));
        if open && self.may_shut(id, None, max_out) {
            self.shut(id, |it| it.suspect(finding, now));
            self.place(id);
        }
    }

    fn shut(&mut self, id: TargetId, shut: impl FnOnce(&mut Health)) {
        let Some(held) = self.targets.get_mut(&id) else {
            return;
        };
        shut(&mut held.health);
        if let State::Out(_, until) = held.health.state() {
            self.out.insert((until, id));
        }
    }

    /// True unless too many are out, or peers show the same, which then speaks
    /// against the tasks and not against the target.
    fn may_shut(&self, id: TargetId, finding: Option<Exclusion>, max_out: f64) -> bool {
        let allowed = (self.targets.len() as f64 * max_out) as usize;
        let by_itself = matches!(finding, Some(Exclusion::Failing | Exclusion::Hanging));
        let count = |it: &&Held| {
            let out = !matches!(it.health.state(), State::Open(_));
            it.target.id != id && (out || by_itself && it.health.is_dubious())
        };
        self.targets.values().filter(count).count() < allowed
    }

    fn in_class(&self, class: &Class, size: u32) -> Option<TargetId> {
        let fits = |id: &TargetId| self.targets[id].free() >= size;
        let mut free = class.free.iter().map(|(_, id)| *id);
        free.by_ref().take(TRIES).find(fits)
    }

    /// Brings the indexes up to date with what is known of `id`.
    fn place(&mut self, id: TargetId) {
        let Some(mut held) = self.targets.remove(&id) else {
            return;
        };
        self.displace(&mut held);
        held.classify();
        let class = &mut self.classes[held.class];
        held.counted = held.room();
        class.slots += held.counted;
        self.rate += f64::from(held.counted) / slowness(held.class);
        if held.free() > 0 {
            let key = (held.used * 1024 / held.room(), id);
            class.free.insert(key);
            held.key = Some(key);
        }
        self.targets.insert(id, held);
    }

    fn displace(&mut self, held: &mut Held) {
        let class = &mut self.classes[held.class];
        class.slots -= held.counted;
        self.rate -= f64::from(held.counted) / slowness(held.class);
        if let Some(key) = held.key.take() {
            class.free.remove(&key);
        }
    }

    fn count_size(&mut self, before: Option<u32>, after: Option<u32>) {
        if let Some(size) = before
            && let Some(count) = self.largest.get_mut(&size)
        {
            *count -= 1;
            if *count == 0 {
                self.largest.remove(&size);
            }
        }
        if let Some(size) = after {
            *self.largest.entry(size).or_default() += 1;
        }
    }
}

impl Held {
    /// Slots that may be used.
    fn room(&self) -> u32 {
        match self.health.state() {
            State::Open(limit) if !self.target.leaving => self.target.credit.min(limit),
            _ => 0,
        }
    }

    fn free(&self) -> u32 {
        self.room().saturating_sub(self.used)
    }

    fn classify(&mut self) {
        let exact = NOMINAL + PER_OCTAVE * self.health.slowness().log2();
        if (exact - self.class as f64).abs() > HYSTERESIS {
            self.class = exact.round().clamp(0.0, CLASSES as f64 - 1.0) as usize;
        }
    }
}

fn slowness(class: usize) -> f64 {
    2f64.powf((class as f64 - NOMINAL) / PER_OCTAVE)
}
