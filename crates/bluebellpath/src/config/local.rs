//! The configuration held by one instance.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bluebellpath_runtime::{Notify, clock};

use super::{Document, Revision, Snapshot, Timing, Update, View, versions::Versions};
use crate::platform::Instance;

/// Longest time that a request waits for the configuration of a starting instance.
const MAX_READY_WAIT: Duration = Duration::from_secs(1);

/// Interval between checks of readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration held by one instance.
///
/// [`LocalConfig::view`] reads the wall clock on each call. An instance that was
/// paused past an effective time or the end of a confirmation therefore gets the
/// correct view at once, before any of its own tasks has run.
pub struct LocalConfig {
    versions: RefCell<Option<Versions>>,
    timing: Timing,
    fixed: bool,
    changed: Notify,
}

impl LocalConfig {
    /// Creates a fixed, always confirmed configuration.
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

    /// Creates an empty configuration, to be filled by a follower.
    pub fn empty(timing: Timing) -> LocalConfig {
        LocalConfig {
            versions: RefCell::default(),
            timing,
            fixed: false,
            changed: Notify::new(),
        }
    }

    /// Timing of revisions and reads of the head.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// True if the configuration never changes and needs no follower.
    pub fn is_fixed(&self) -> bool {
        self.fixed
    }

    /// True once this instance has a configuration that it may use.
    pub fn is_ready(&self) -> bool {
        let versions = self.versions.borrow();
        versions
            .as_ref()
            .is_some_and(|it| it.usable_from_ms <= clock::wall())
    }

    /// Waits up to 1 s for a usable configuration; false on timeout.
    pub async fn wait_ready(&self) -> bool {
        let deadline = clock::now() + MAX_READY_WAIT;
        while !self.is_ready() && clock::now() < deadline {
            clock::timeout(READY_POLL_INTERVAL, self.changed.notified()).await;
        }
        self.is_ready()
    }

    /// True once this instance has a configuration, even if it may not use it yet.
    pub(super) fn is_loaded(&self) -> bool {
        self.versions.borrow().is_some()
    }

    /// Notified when a newer accepted revision becomes known.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Configuration in force now. Before [`LocalConfig::is_ready`] this may be an
    /// unconfirmed version 0 without a preset, which must not be used.
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

    /// Newest accepted version that this instance holds, in force or pending; 0 if
    /// none.
    pub fn newest(&self) -> u64 {
        self.versions.borrow().as_ref().map_or(0, Versions::newest)
    }

    /// Newest version that this instance has seen mentioned, even without its
    /// content.
    pub fn heard(&self) -> u64 {
        self.versions.borrow().as_ref().map_or(0, |it| it.heard)
    }

    /// Wall time at which the last read of the head began that showed no newer
    /// version than this instance holds, in milliseconds since the epoch.
    pub fn read_ms(&self) -> Option<u64> {
        self.versions.borrow().as_ref().and_then(|it| it.read_ms)
    }

    /// Revision that takes effect next, if one is pending.
    pub fn next_revision(&self) -> Option<Rc<Revision>> {
        let mut versions = self.versions.borrow_mut();
        let versions = versions.as_mut()?;
        versions.activate_due(clock::wall());
        versions.next_revision()
    }

    /// True if `instance` is a target drained by the version in force or by a
    /// pending one. Draining early is harmless, so a drain does not wait for its
    /// effective time.
    pub fn drains(&self, instance: &Instance) -> bool {
        let drained = self.view().drains(instance);
        drained || (self.versions.borrow().as_ref()).is_some_and(|it| it.will_drain(instance))
    }

    /// Appends accepted revisions. Skips those that don't follow the newest known
    /// version. False if one does not match its digest.
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

    /// Records that a read of the head begun at `read_ms` showed `version` as the
    /// newest.
    pub fn confirm(&self, version: u64, read_ms: Option<u64>) {
        if let Some(versions) = self.versions.borrow_mut().as_mut() {
            versions.confirm(version, read_ms);
        }
    }

    /// Replaces an older configuration by `snapshot` and the revisions after it.
    /// False if one of them does not match its digest, unless the configuration
    /// held here is at least as new.
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

    /// Update for a peer that holds the versions up to `after`.
    pub fn update(&self, after: u64) -> Option<Update> {
        let mut versions = self.versions.borrow_mut();
        let versions = versions.as_mut()?;
        versions.activate_due(clock::wall());
        Some(versions.update(after))
    }
}
