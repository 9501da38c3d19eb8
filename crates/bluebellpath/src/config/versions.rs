//! Versions held by an instance.

use std::{collections::VecDeque, rc::Rc};

use super::{Document, Revision, Snapshot, Timing, Update, View};
use crate::platform::Instance;

/// Maximum accepted revisions kept for peers with older versions.
const MAX_RECENT: usize = 64;

/// Accepted revision whose effective time is in the future.
struct Pending {
    revision: Rc<Revision>,
    effective_ms: u64,
    document: Rc<Document>,
}

/// Versions held by an instance: the one in force, pending ones and recent ones.
pub(super) struct Versions {
    in_force: Snapshot,
    /// Effective time of the last switch of the preset, in milliseconds.
    preset_changed_ms: Option<u64>,
    pending: VecDeque<Pending>,
    recent: VecDeque<Rc<Revision>>,
    view: Option<Rc<View>>,
    pub(super) read_ms: Option<u64>,
    pub(super) heard: u64,
    /// Wall time from which this instance may use the configuration.
    pub(super) usable_from_ms: u64,
}

impl Versions {
    pub(super) fn new(snapshot: Snapshot) -> Versions {
        Versions {
            heard: snapshot.version,
            // A snapshot does not tell whether this version switched the preset, so
            // assume that it did.
            preset_changed_ms: Some(snapshot.effective_ms),
            in_force: snapshot,
            pending: VecDeque::new(),
            recent: VecDeque::new(),
            view: None,
            read_ms: None,
            usable_from_ms: 0,
        }
    }

    /// Delays the use of the configuration on a restarted instance while a version
    /// is about to take effect. Before the restart, with its clock ahead, the
    /// instance may have used that version already.
    pub(super) fn delay_start(&mut self, now_ms: u64, timing: &Timing) {
        let bound = now_ms + 2 * timing.max_skew_ms();
        let effective_times = self.pending.iter().map(|it| it.effective_ms);
        self.usable_from_ms = effective_times.filter(|it| *it <= bound).max().unwrap_or(0);
    }

    pub(super) fn newest(&self) -> u64 {
        let last = self.pending.back().map(|it| it.revision.version);
        last.unwrap_or(self.in_force.version)
    }

    pub(super) fn next_revision(&self) -> Option<Rc<Revision>> {
        self.pending.front().map(|it| it.revision.clone())
    }

    /// True if a pending version drains `instance`.
    pub(super) fn will_drain(&self, instance: &Instance) -> bool {
        let mut drains = self.pending.iter().flat_map(|it| &it.document.drains);
        drains.any(|it| it.covers(instance))
    }

    /// Puts due versions in force. Never goes back to an older version, even if the
    /// wall clock steps back.
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
            version: next.revision.version,
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

    /// Appends the revision if it follows the newest. False if it does not match its
    /// digest.
    pub(super) fn append(&mut self, revision: &Revision) -> bool {
        let follows = revision.version == self.newest() + 1;
        let Some(effective_ms) = revision.effective_ms.filter(|_| follows) else {
            return true;
        };
        let last = self.pending.back().map(|it| &it.document);
        let mut document = (**last.unwrap_or(&self.in_force.document)).clone();
        revision
            .changes
            .iter()
            .for_each(|it| it.apply(&mut document));
        if document.digest() != revision.digest {
            return false;
        }
        let revision = Rc::new(revision.clone());
        self.recent.push_back(revision.clone());
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        self.heard = self.heard.max(revision.version);
        self.pending.push_back(Pending {
            revision,
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

    /// Replaces these versions by newer ones.
    pub(super) fn replace(&mut self, fresh: Versions) {
        self.preset_changed_ms = fresh.preset_changed_ms;
        let previous_version = self.in_force.version;
        self.heard = self.heard.max(fresh.newest());
        self.in_force = fresh.in_force;
        self.pending = fresh.pending;
        self.recent = fresh.recent;
        // The sender's clock may run behind. A version that was in force here
        // stays in force.
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
        let pending = || self.pending.iter().map(|it| (*it.revision).clone());
        Update {
            snapshot: (!usable).then(|| self.in_force.clone()),
            changes: if usable { changes } else { pending().collect() },
            read_ms: self.read_ms,
            heard: self.heard,
        }
    }
}
