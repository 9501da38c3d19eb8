//! Versions that an instance knows.

use std::{collections::VecDeque, rc::Rc};

use super::{Document, Revision, Snapshot, Timing, Update, View};
use crate::platform::Instance;

/// Accepted changes that are kept for peers that know less.
const RECENT: usize = 64;

/// Accepted version whose effective time has not come.
struct Pending {
    accepted: Rc<Revision>,
    effective_ms: u64,
    document: Rc<Document>,
}

/// Versions that an instance knows.
pub(super) struct Known {
    in_force: Snapshot,
    /// Effective time of the last change of preset.
    switched_ms: Option<u64>,
    pending: VecDeque<Pending>,
    recent: VecDeque<Rc<Revision>>,
    view: Option<Rc<View>>,
    pub(super) read_ms: Option<u64>,
    pub(super) heard: u64,
    /// Wall time from which this instance may act.
    pub(super) acts_from_ms: u64,
}

impl Known {
    pub(super) fn new(snapshot: Snapshot) -> Known {
        Known {
            heard: snapshot.version,
            // Whether the preset changed at that time is not told along.
            switched_ms: Some(snapshot.effective_ms),
            in_force: snapshot,
            pending: VecDeque::new(),
            recent: VecDeque::new(),
            view: None,
            read_ms: None,
            acts_from_ms: 0,
        }
    }

    /// Holds a fresh instance back while a version is about to take effect: an
    /// earlier run of it, whose clock was ahead, may have acted under that one.
    pub(super) fn hold_back(&mut self, now_ms: u64, timing: &Timing) {
        let bound = now_ms + 2 * timing.skew_ms();
        let near = self.pending.iter().map(|it| it.effective_ms);
        self.acts_from_ms = near.filter(|it| *it <= bound).max().unwrap_or(0);
    }

    pub(super) fn newest(&self) -> u64 {
        let last = self.pending.back().map(|it| it.accepted.version);
        last.unwrap_or(self.in_force.version)
    }

    pub(super) fn next(&self) -> Option<Rc<Revision>> {
        self.pending.front().map(|it| it.accepted.clone())
    }

    /// True when a version that is not in force yet drains `instance`.
    pub(super) fn will_drain(&self, instance: &Instance) -> bool {
        let mut drains = self.pending.iter().flat_map(|it| &it.document.drains);
        drains.any(|it| it.covers(instance))
    }

    /// Puts in force what is due. Never the other way: a wall clock that steps
    /// back leaves the version as it is.
    pub(super) fn advance(&mut self, now_ms: u64) {
        while self
            .pending
            .front()
            .is_some_and(|it| it.effective_ms <= now_ms)
        {
            self.step();
        }
    }

    /// Puts the next version in force.
    fn step(&mut self) {
        let Some(next) = self.pending.pop_front() else {
            return;
        };
        if next.document.preset != self.in_force.document.preset {
            self.switched_ms = Some(next.effective_ms);
        }
        self.in_force = Snapshot {
            version: next.accepted.version,
            effective_ms: next.effective_ms,
            document: next.document,
        };
    }

    pub(super) fn unconfirmed_since(&self, now_ms: u64, timing: &Timing) -> Option<u64> {
        let until = timing.confirmed_until(self.read_ms.unwrap_or_default());
        let skew_ms = timing.skew_ms();
        let ahead = self.pending.iter().find(|it| {
            let switches = it.document.preset != self.in_force.document.preset;
            switches && now_ms + skew_ms >= it.effective_ms
        });
        let behind = self.switched_ms.filter(|it| now_ms < it + skew_ms);
        let switch = ahead.map(|it| it.effective_ms).or(behind);
        let lapsed = (now_ms >= until).then_some(until);
        let switching = switch.map(|it| it.saturating_sub(skew_ms));
        lapsed.into_iter().chain(switching).min()
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
    pub(super) fn learn(&mut self, accepted: &Revision) -> bool {
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
        if self.recent.len() > RECENT {
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

    pub(super) fn observe(&mut self, version: u64, read_ms: Option<u64>) {
        self.heard = self.heard.max(version);
        if version <= self.newest() {
            self.read_ms = self.read_ms.max(read_ms);
        }
    }

    /// Takes over what a newer one knows.
    pub(super) fn replace(&mut self, fresh: Known) {
        self.switched_ms = fresh.switched_ms;
        let acted = self.in_force.version;
        self.heard = self.heard.max(fresh.newest());
        self.in_force = fresh.in_force;
        self.pending = fresh.pending;
        self.recent = fresh.recent;
        // The sender's clock may run behind: what was in force here stays so.
        while self.in_force.version < acted && !self.pending.is_empty() {
            self.step();
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
        let linked = changes.first().is_some_and(|it| it.version == after + 1);
        let usable = after > 0 && (linked || self.newest() <= after);
        let pending = || self.pending.iter().map(|it| (*it.accepted).clone());
        Update {
            snapshot: (!usable).then(|| self.in_force.clone()),
            changes: if usable { changes } else { pending().collect() },
            read_ms: self.read_ms,
            heard: self.heard,
        }
    }
}
