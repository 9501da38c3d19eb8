//! Snapshot of the configuration in force.

use std::rc::Rc;

use super::Document;
use crate::platform::Instance;

/// Configuration in force at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Version of the document.
    pub version: u64,
    /// The document.
    pub document: Rc<Document>,
    /// Wall time since which the version is unconfirmed, in milliseconds
    /// since the epoch; `None` while it is confirmed.
    pub unconfirmed_since: Option<u64>,
}

impl View {
    /// True if `instance` is a drained target.
    pub fn drains(&self, instance: &Instance) -> bool {
        self.document.drains.iter().any(|it| it.covers(instance))
    }

    /// Maximum concurrent tasks on `instance`, from the instance list and the
    /// limits.
    pub fn slots(&self, instance: &Instance) -> u32 {
        let limit = self.limit(instance).map_or(u32::MAX, |it| it.slots);
        instance.slots.min(limit)
    }

    /// Maximum open connections to `instance`.
    pub fn connections(&self, instance: &Instance) -> u32 {
        let limit = self.limit(instance).map_or(u32::MAX, |it| it.connections);
        instance.connections.min(limit)
    }

    fn limit(&self, instance: &Instance) -> Option<&super::Limit> {
        let limits = &self.document.limits;
        limits.iter().find(|it| it.domain == instance.domain)
    }
}
