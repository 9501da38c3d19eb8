//! Versions that an instance knows.

use std::{collections::VecDeque, rc::Rc};

use super::{Document, Revision, Snapshot, Timing, Update, View};
use crate::platform::Instance;

/// Accepted changes that are kept for peers that know less.
const MAX_RECENT: usize = 64;

/// Accepted version whose effective time has not come.
struct Pending {
    accepted: Rc<Revision>,
    effective_ms: u64,
    document: Rc<Document>,
}

/// Versions that an instance knows.
pub(super) struct Versions {
    in_force: Snapshot,
    /// Effective time of the last change of preset.
    preset_changed_ms: Option<u64>,
    pending: VecDeque<Pending>,
    recent: VecDeque<Rc<Revision>>,
    view: Option<Rc<View>>,
    pub(super) read_ms: Option<u64>,
    pub(super) heard: u64,
    /// Wall time from which this instance may act.
    pub(super) usable_from_ms: u64,
}

impl Versions {
    pub(super) fn new(snapshot: Snapshot) -> Versions {
        Versions {
            heard: snapshot.version,
            // Whether the preset changed at that time is not told along.
            preset_changed_ms: Some(snapshot.effective_ms),
            in_force: snapshot,
            pending: VecDeque::new(),
            recent: VecDeque::new(),
            view: None,
            read_ms: None,
            usable_from_ms: 0,
        }
    }

    /// Holds a fresh instance back while a version is about to take effect: an
    /// earlier run of it, whose clock was ahead, may have acted under that one.
    pub(super) fn delay_start(&mut self, now_ms: u64, timing: &Timing) {
        let bound = now_ms + 2 * timing.max_skew_ms();
        let close = self.pending.iter().map(|it| it.effective_ms);
        self.usable_from_ms = close.filter(|it| *it <= bound).max().unwrap_or(0);
    }

    pub(super) fn newest(&self) -> u64 {
        let last = self.pending.back().map(|it| it.accepted.version);
        last.unwrap_or(self.in_force.version)
    }

    pub(super) fn next_revision(&self) -> Option<Rc<Revision>> {
        self.pending.front().map(|it| it.accepted.clone())
    }

    /// True when a version that is not in force yet drains `instance`.
    pub(super) fn will_drain(&self, instance: &Instance) -> bool {
        let mut drains = self.pending.iter().flat_map(|it| &it.document.drains);
        drains.any(|it| it.covers(instance))
    }

    /// Puts in force what is due. Never the other way: a wall clock that steps
    /// back leaves the version as it is.
    pub(super) fn activate_due(&mut self, now_ms: u64) {
        while self
            .pending
            .front()
            .is_some_and(|it| it.effective_ms <= now_ms)
        {
            self.activate_next();
        }
    }

    /// Puts the next version in force.
    fn activate_next(&mut self) {
        let Some(next) = self.pending.pop_front() else {
            return;
        };
        if next.document.preset != self.in_force.document.preset {
            self.preset_changed_ms = Some(next.effective_ms);
        }
        self.in_force = Snapshot {
            version: next.accepted.version,
            effective_ms: next.effective_ms,
            document: next.document,
        };
    }

    pub(super) fn unconfirmed_since(&self, now_ms: u64, timing: &Timing) -> Option<u64> {
        let until = timing.confirmed_until(self.read_ms.unwrap_or_default());
        let max_skew_ms = timing.max_skew_ms();
        let upcoming_switch = self.pending.iter().find(|it| {
            let changes_preset = it.document.preset != self.in_force.document.preset;
            changes_preset && now_ms + max_skew_ms >= it.effective_ms
        });
        let recent_switch = self
            .preset_changed_ms
            .filter(|it| now_ms < it + max_skew_ms);
        let switch = upcoming_switch.map(|it| it.effective_ms).or(recent_switch);
        let expired = (now_ms >= until).then_some(until);
        let ambiguous = switch.map(|it| it.saturating_sub(max_skew_ms));
        expired.into_iter().chain(ambiguous).min()
    }

    pub(super) fn view(&mut self, unconfirmed_since: Option<u64>) -> Rc<View> {
        let same = |it: &&Rc<View>| {
            it.version == self.in_force.version && it.unconfirmed_since == unconfirmed_since
        };
        if let Some(view) = self.view.as_ref().filter(same) {
            return view.clone();
        }
        let view = Rc::new(View {
            version: self.in_force.version,
            document: self.in_force.document.clone(),
            unconfirmed_since,
        });
        self.view = Some(view.clone());
        view
    }

    /// Takes in the change that follows; true unless it is broken.
    pub(super) fn append(&mut self, accepted: &Revision) -> bool {
        let follows = accepted.version == self.newest() + 1;
        let Some(effective_ms) = accepted.effective_ms.filter(|_| follows) else {
            return true;
        };
        let last = self.pending.back().map(|it| &it.document);
        let mut document = (**last.unwrap_or(&self.in_force.document)).clone();
        accepted
            .changes
            .iter()
            .for_each(|it| it.apply(&mut document));
        if document.digest() != accepted.digest {
            return false;
        }
        let accepted = Rc::new(accepted.clone());
        self.recent.push_back(accepted.clone());
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        self.heard = self.heard.max(accepted.version);
        self.pending.push_back(Pending {
            accepted,
            effective_ms,
            document: Rc::new(document),
        });
        true
    }

    pub(super) fn confirm(&mut self, version: u64, read_ms: Option<u64>) {
        self.heard = self.heard.max(version);
        if version <= self.newest() {
            self.read_ms = self.read_ms.max(read_ms);
        }
    }

    /// Takes over what a newer one knows.
    pub(super) fn replace(&mut self, fresh: Versions) {
        self.preset_changed_ms = fresh.preset_changed_ms;
        let previous_version = self.in_force.version;
        self.heard = self.heard.max(fresh.newest());
        self.in_force = fresh.in_force;
        self.pending = fresh.pending;
        self.recent = fresh.recent;
        // The sender's clock may run behind: what was in force here stays so.
        while self.in_force.version < previous_version && !self.pending.is_empty() {
            self.activate_next();
        }
    }

    pub(super) fn update(&self, after: u64) -> Update {
        let follows = |it: &&Rc<Revision>| it.version > after;
        let changes: Vec<Revision> = self
            .recent
            .iter()
            .filter(follows)
            .map(|it| (**it).clone())
            .collect();
        let contiguous = changes.first().is_some_and(|it| it.version == after + 1);
        let usable = after > 0 && (contiguous || self.newest() <= after);
        let pending = || self.pending.iter().map(|it| (*it.accepted).clone());
        Update {
            snapshot: (!usable).then(|| self.in_force.clone()),
            changes: if usable { changes } else { pending().collect() },
            read_ms: self.read_ms,
            heard: self.heard,
        }
    }
}
