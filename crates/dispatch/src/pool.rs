/*!
Targets, indexed by speed and load.

Targets of about the same slowness form a class, a quarter octave wide. Each
class keeps its targets with free slots sorted by load. A choice looks at the
classes, of which there is a fixed number, and then takes the least loaded target
of one. Its cost is logarithmic in the number of targets.
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

const CLASS_COUNT: usize = 40;
/// Class of targets with nominal speed.
const NOMINAL_CLASS: f64 = 8.0;
const CLASSES_PER_OCTAVE: f64 = 4.0;
/// Distance from the middle of its class at which a target changes its class, in
/// classes.
const HYSTERESIS: f64 = 0.7;
/// Longest time until the instance list shows that a target is leaving.
const MAX_LIST_LAG: Duration = Duration::from_secs(60);
/// Number of targets of a class that are tried for a task of more than one slot.
const MAX_TRIES: usize = 8;

#[derive(Clone, Default)]
struct Class {
    /// Targets with free slots, the least loaded first.
    free: BTreeSet<(u32, TargetId)>,
    slots: u32,
}

struct Entry {
    target: Target,
    /// Time until which the target counts as leaving though the instance list
    /// doesn't show it yet.
    leaving_until: Option<Instant>,
    used: u32,
    health: Health,
    class: usize,
    /// Slots that the class counts for this target.
    counted_slots: u32,
    /// Key of this target in the class's free targets.
    free_key: Option<(u32, TargetId)>,
}

/// Slots of the classes that are faster than a choice.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FasterSlots {
    /// Number of slots.
    pub(crate) slots: f64,
    /// Nominal seconds of work that they do per second.
    pub(crate) work_rate: f64,
}

impl FasterSlots {
    /// Mean slowness of these slots, weighted by the work that they do.
    pub(crate) fn slowness(&self) -> f64 {
        self.slots / self.work_rate
    }
}

/// Target with a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) target: TargetId,
    pub(crate) slowness: f64,
    pub(crate) faster: FasterSlots,
}

/// Targets, indexed by speed and load.
#[derive(Default)]
pub(crate) struct Pool {
    targets: BTreeMap<TargetId, Entry>,
    classes: Vec<Class>,
    /// Excluded targets by the time of their next probe.
    probes: BTreeSet<(Instant, TargetId)>,
    work_rate: f64,
    /// Number of targets by their number of slots.
    sizes: BTreeMap<u32, u32>,
}

impl Pool {
    pub(crate) fn new() -> Pool {
        Pool {
            classes: vec![Class::default(); CLASS_COUNT],
            ..Pool::default()
        }
    }

    pub(crate) fn set(&mut self, mut target: Target, now: Instant) {
        let id = target.id;
        let entry = self.targets.get(&id);
        let leaving_until = entry.and_then(|it| it.leaving_until);
        target.leaving |= leaving_until.is_some_and(|it| now < it);
        let before = entry.map(|it| it.target);
        if before == Some(target) {
            return;
        }
        self.update_sizes(before.map(|it| it.slots), Some(target.slots));
        if let Some(entry) = self.targets.get_mut(&id) {
            entry.target = target;
        } else {
            let entry = Entry {
                target,
                leaving_until: None,
                used: 0,
                health: Health::default(),
                class: NOMINAL_CLASS as usize,
                counted_slots: 0,
                free_key: None,
            };
            self.targets.insert(id, entry);
        }
        self.reindex(id);
    }

    pub(crate) fn remove(&mut self, id: TargetId) {
        let Some(mut entry) = self.targets.remove(&id) else {
            return;
        };
        self.update_sizes(Some(entry.target.slots), None);
        self.unindex(&mut entry);
        if let State::Excluded(_, until) = entry.health.state() {
            self.probes.remove(&(until, id));
        }
    }

    /// Number of slots of the largest target.
    pub(crate) fn max_size(&self) -> u32 {
        self.sizes.last_key_value().map_or(0, |(size, _)| *size)
    }

    /// Nominal seconds of work that all usable slots do per second.
    pub(crate) fn work_rate(&self) -> f64 {
        self.work_rate
    }

    /// Slowness of the fastest class that has any usable slots.
    pub(crate) fn min_slowness(&self) -> f64 {
        let class = self.classes.iter().position(|it| it.slots > 0);
        class.map_or(1.0, slowness)
    }

    /// Fastest target with `size` free slots.
    pub(crate) fn choose(&self, size: u32) -> Option<Choice> {
        let mut faster = FasterSlots::default();
        for (index, class) in self.classes.iter().enumerate() {
            if let Some(target) = self.choose_in_class(class, size) {
                return Some(Choice {
                    target,
                    slowness: slowness(index),
                    faster,
                });
            }
            faster.slots += f64::from(class.slots);
            faster.work_rate += f64::from(class.slots) / slowness(index);
        }
        None
    }

    /// Excluded target that is due for a probe.
    pub(crate) fn choose_probe(&self, now: Instant) -> Option<Choice> {
        let due = self.probes.range(..=(now, TargetId(u32::MAX)));
        let mut targets = due.map(|(_, id)| &self.targets[id]);
        let entry = targets.find(|it| it.target.credit > it.used && !it.target.leaving)?;
        Some(Choice {
            target: entry.target.id,
            slowness: slowness(entry.class),
            faster: FasterSlots::default(),
        })
    }

    /// Earliest time at which a probe is due.
    pub(crate) fn next_probe(&self) -> Option<Instant> {
        self.probes.first().map(|it| it.0)
    }

    pub(crate) fn acquire(&mut self, id: TargetId, size: u32, probe: bool) {
        let Some(entry) = self.targets.get_mut(&id) else {
            return;
        };
        entry.used += size;
        if let (true, State::Excluded(_, until)) = (probe, entry.health.state()) {
            self.probes.remove(&(until, id));
            entry.health.start_probe();
        }
        self.reindex(id);
    }

    pub(crate) fn release(&mut self, id: TargetId, size: u32) {
        if let Some(entry) = self.targets.get_mut(&id) {
            entry.used = entry.used.saturating_sub(size);
            self.reindex(id);
        }
    }

    pub(crate) fn set_leaving(&mut self, id: TargetId, now: Instant) {
        if let Some(entry) = self.targets.get_mut(&id) {
            entry.target.leaving = true;
            entry.leaving_until = Some(now + MAX_LIST_LAG);
            self.reindex(id);
        }
    }

    /// Long-term slowness of `id`.
    pub(crate) fn slowness(&self, id: TargetId) -> f64 {
        let entry = self.targets.get(&id);
        entry.map_or(1.0, |it| it.health.slowness())
    }

    /// Slots of `id` that this instance uses.
    pub(crate) fn used(&self, id: TargetId) -> u32 {
        self.targets.get(&id).map_or(0, |it| it.used)
    }

    /// Updates the health of `id` and excludes the target if `update` returns a
    /// reason and not too many targets are excluded already.
    pub(crate) fn update_health(
        &mut self,
        id: TargetId,
        now: Instant,
        max_excluded: f64,
        update: impl FnOnce(&mut Health) -> Option<Exclusion>,
    ) {
        let Some(entry) = self.targets.get_mut(&id) else {
            return;
        };
        let probing = matches!(entry.health.state(), State::Probing(_));
        let exclusion = update(&mut entry.health);
        let allowed = |it: &Pool| probing || it.may_exclude(id, exclusion, max_excluded);
        if let Some(exclusion) = exclusion.filter(|_| allowed(self)) {
            self.exclude(id, |it| it.exclude(exclusion, now));
        }
        self.reindex(id);
    }

    /// Targets that this instance itself has excluded, with the reason and the
    /// ratio of recent to long-term slowness.
    pub(crate) fn exclusions(&self) -> impl Iterator<Item = (TargetId, Exclusion, f64)> {
        self.targets.values().filter_map(|it| {
            let (State::Excluded(exclusion, _) | State::Probing(exclusion)) = it.health.state()
            else {
                return None;
            };
            let own = it.health.is_own_exclusion();
            own.then(|| (it.target.id, exclusion, it.health.relative_slowness()))
        })
    }

    /// Excludes `id` because a peer did, if all its slots are available here.
    pub(crate) fn exclude_for_peer(
        &mut self,
        id: TargetId,
        exclusion: Exclusion,
        now: Instant,
        max_excluded: f64,
    ) {
        let state = self.targets.get(&id).map(|it| it.health.state());
        let available = matches!(state, Some(State::Available(u32::MAX)));
        if available && self.may_exclude(id, None, max_excluded) {
            self.exclude(id, |it| it.exclude_for_peer(exclusion, now));
            self.reindex(id);
        }
    }

    fn exclude(&mut self, id: TargetId, exclude: impl FnOnce(&mut Health)) {
        let Some(entry) = self.targets.get_mut(&id) else {
            return;
        };
        exclude(&mut entry.health);
        if let State::Excluded(_, until) = entry.health.state() {
            self.probes.insert((until, id));
        }
    }

    /// Returns true unless too many other targets are excluded or show the same
    /// failures. If many do, the tasks are to blame rather than the target.
    fn may_exclude(&self, id: TargetId, exclusion: Option<Exclusion>, max_excluded: f64) -> bool {
        let allowed = (self.targets.len() as f64 * max_excluded) as usize;
        let by_tasks = matches!(exclusion, Some(Exclusion::Failing | Exclusion::Hanging));
        let count = |it: &&Entry| {
            let excluded = !matches!(it.health.state(), State::Available(_));
            it.target.id != id && (excluded || by_tasks && it.health.shows_failures())
        };
        self.targets.values().filter(count).count() < allowed
    }

    fn choose_in_class(&self, class: &Class, size: u32) -> Option<TargetId> {
        let fits = |id: &TargetId| self.targets[id].free() >= size;
        let mut free = class.free.iter().map(|(_, id)| *id);
        free.by_ref().take(MAX_TRIES).find(fits)
    }

    /// Updates the indexes after a change of `id`.
    fn reindex(&mut self, id: TargetId) {
        let Some(mut entry) = self.targets.remove(&id) else {
            return;
        };
        self.unindex(&mut entry);
        entry.update_class();
        let class = &mut self.classes[entry.class];
        entry.counted_slots = entry.usable();
        class.slots += entry.counted_slots;
        self.work_rate += f64::from(entry.counted_slots) / slowness(entry.class);
        if entry.free() > 0 {
            let free_key = (entry.used * 1024 / entry.usable(), id);
            class.free.insert(free_key);
            entry.free_key = Some(free_key);
        }
        self.targets.insert(id, entry);
    }

    fn unindex(&mut self, entry: &mut Entry) {
        let class = &mut self.classes[entry.class];
        class.slots -= entry.counted_slots;
        self.work_rate -= f64::from(entry.counted_slots) / slowness(entry.class);
        if let Some(free_key) = entry.free_key.take() {
            class.free.remove(&free_key);
        }
    }

    fn update_sizes(&mut self, before: Option<u32>, after: Option<u32>) {
        if let Some(size) = before
            && let Some(count) = self.sizes.get_mut(&size)
        {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(&size);
            }
        }
        if let Some(size) = after {
            *self.sizes.entry(size).or_default() += 1;
        }
    }
}

impl Entry {
    /// Slots that may be used, free or not.
    fn usable(&self) -> u32 {
        match self.health.state() {
            State::Available(limit) if !self.target.leaving => self.target.credit.min(limit),
            _ => 0,
        }
    }

    fn free(&self) -> u32 {
        self.usable().saturating_sub(self.used)
    }

    fn update_class(&mut self) {
        let exact = NOMINAL_CLASS + CLASSES_PER_OCTAVE * self.health.slowness().log2();
        if (exact - self.class as f64).abs() > HYSTERESIS {
            self.class = exact.round().clamp(0.0, CLASS_COUNT as f64 - 1.0) as usize;
        }
    }
}

fn slowness(class: usize) -> f64 {
    2f64.powf((class as f64 - NOMINAL_CLASS) / CLASSES_PER_OCTAVE)
}
