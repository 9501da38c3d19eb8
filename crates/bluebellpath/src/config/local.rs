//! The configuration that this instance acts under.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bluebellpath_runtime::{Notify, clock};

use super::{Document, Revision, Snapshot, Timing, Update, View, versions::Versions};
use crate::platform::Instance;

/// Longest wait of a request for the configuration of a starting instance.
const MAX_READY_WAIT: Duration = Duration::from_secs(1);

/// Time between two looks at whether an instance may act.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration that this instance acts under.
///
/// [`LocalConfig::view`] reads the wall clock at each call, so that an instance that
/// was paused past an effective time or a confirmation acts rightly from its
/// first step on, before any of its own tasks has run.
pub struct LocalConfig {
    versions: RefCell<Option<Versions>>,
    timing: Timing,
    fixed: bool,
    changed: Notify,
}

impl LocalConfig {
    /// Configuration that never changes: `document` at `version`, confirmed.
    pub fn new(version: u64, document: Document) -> LocalConfig {
        let snapshot = Snapshot {
            version,
            effective_ms: 0,
            document: Rc::new(document),
        };
        LocalConfig {
            versions: RefCell::new(Some(Versions::new(snapshot))),
            timing: Timing::default(),
            fixed: true,
            changed: Notify::new(),
        }
    }

    /// No configuration yet; a follower brings it.
    pub fn empty(timing: Timing) -> LocalConfig {
        LocalConfig {
            versions: RefCell::default(),
            timing,
            fixed: false,
            changed: Notify::new(),
        }
    }

    /// Timing of changes and readings.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// True when no follower is needed.
    pub fn is_fixed(&self) -> bool {
        self.fixed
    }

    /// True once this instance has a configuration to act under.
    pub fn is_ready(&self) -> bool {
        let versions = self.versions.borrow();
        versions
            .as_ref()
            .is_some_and(|it| it.usable_from_ms <= clock::wall())
    }

    /// Waits a little for a configuration; true once there is one to act under.
    pub async fn wait_ready(&self) -> bool {
        let deadline = clock::now() + MAX_READY_WAIT;
        while !self.is_ready() && clock::now() < deadline {
            clock::timeout(READY_POLL_INTERVAL, self.changed.notified()).await;
        }
        self.is_ready()
    }

    /// True once this instance has a configuration, whether or not it may act
    /// under it already.
    pub(super) fn is_loaded(&self) -> bool {
        self.versions.borrow().is_some()
    }

    /// Signals a new version in force, or one that will be.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Configuration in force now. Before [`LocalConfig::is_ready`] this is version
    /// 0 without a preset in force, which nothing may act under.
    pub fn view(&self) -> Rc<View> {
        let now_ms = clock::wall();
        match self.versions.borrow_mut().as_mut() {
            Some(versions) if self.fixed => versions.view(None),
            Some(versions) => {
                versions.activate_due(now_ms);
                let since = versions.unconfirmed_since(now_ms, &self.timing);
                versions.view(since)
            }
            None => Rc::new(View {
                version: 0,
                document: Rc::new(Document {
                    preset: String::new(),
                    ..Document::default()
                }),
                unconfirmed_since: Some(0),
            }),
        }
    }

    /// Newest accepted version that this instance knows, in force or not; 0
    /// without one.
    pub fn newest(&self) -> u64 {
        self.versions.borrow().as_ref().map_or(0, Versions::newest)
    }

    /// Newest version that this instance has heard of.
    pub fn heard(&self) -> u64 {
        self.versions.borrow().as_ref().map_or(0, |it| it.heard)
    }

    /// Wall time at which the last reading began that showed no other version
    /// than those this instance knows.
    pub fn read_ms(&self) -> Option<u64> {
        self.versions.borrow().as_ref().and_then(|it| it.read_ms)
    }

    /// Change that comes into force next, if one is known.
    pub fn next_revision(&self) -> Option<Rc<Revision>> {
        let mut versions = self.versions.borrow_mut();
        let versions = versions.as_mut()?;
        versions.activate_due(clock::wall());
        versions.next_revision()
    }

    /// True when `instance` is a target that gets no new work: one that is
    /// drained, or will be by a change that is accepted. Draining early does no
    /// harm, so it does not wait for the effective time.
    pub fn drains(&self, instance: &Instance) -> bool {
        let drained = self.view().drains(instance);
        drained || (self.versions.borrow().as_ref()).is_some_and(|it| it.will_drain(instance))
    }

    /// Takes in accepted changes; those that don't follow the newest known
    /// version are left out. False when one does not fit its digest.
    pub fn append(&self, changes: &[Revision]) -> bool {
        let mut versions = self.versions.borrow_mut();
        let Some(versions) = versions.as_mut() else {
            return true;
        };
        let before = versions.newest();
        let valid = changes.iter().all(|it| versions.append(it));
        if versions.newest() != before {
            self.changed.notify();
        }
        valid
    }

    /// Notes that a reading begun at `read_ms` showed `version` as the newest.
    pub fn confirm(&self, version: u64, read_ms: Option<u64>) {
        if let Some(versions) = self.versions.borrow_mut().as_mut() {
            versions.confirm(version, read_ms);
        }
    }

    /// Takes a whole configuration in place of one that is older.
    pub fn install(&self, snapshot: Snapshot, changes: &[Revision]) -> bool {
        let mut fresh = Versions::new(snapshot);
        let valid = changes.iter().all(|it| fresh.append(it));
        let mut versions = self.versions.borrow_mut();
        match versions.as_mut() {
            Some(versions) if fresh.newest() <= versions.newest() => return true,
            Some(versions) => versions.replace(fresh),
            None if valid => {
                fresh.delay_start(clock::wall(), &self.timing);
                *versions = Some(fresh);
            }
            None => return false,
        }
        self.changed.notify();
        valid
    }

    /// What a peer needs that knows versions up to `after`.
    pub fn update(&self, after: u64) -> Option<Update> {
        let mut versions = self.versions.borrow_mut();
        let versions = versions.as_mut()?;
        versions.activate_due(clock::wall());
        Some(versions.update(after))
    }
}
