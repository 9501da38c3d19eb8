//! Configuration at one moment.

use std::rc::Rc;

use super::Document;
use crate::platform::Instance;

/// Configuration at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Version of the document.
    pub version: u64,
    /// The document.
    pub document: Rc<Document>,
    /// Wall time since when the version can't be confirmed, in milliseconds
    /// since the epoch; `None` while it is confirmed.
    pub unconfirmed_since: Option<u64>,
}

impl View {
    /// True when `instance` is a target that gets no new work.
    pub fn drains(&self, instance: &Instance) -> bool {
        self.document.drains.iter().any(|it| it.covers(instance))
    }

    /// Tasks at once that `instance` may be given, by the list and the limits.
    pub fn slots(&self, instance: &Instance) -> u32 {
        let limit = self.limit(instance).map_or(u32::MAX, |it| it.slots);
        instance.slots.min(limit)
    }

    /// Connections that may be held to `instance`.
    pub fn connections(&self, instance: &Instance) -> u32 {
        let limit = self.limit(instance).map_or(u32::MAX, |it| it.connections);
        instance.connections.min(limit)
    }

    fn limit(&self, instance: &Instance) -> Option<&super::Limit> {
        let limits = &self.document.limits;
        limits.iter().find(|it| it.domain == instance.domain)
    }
}
