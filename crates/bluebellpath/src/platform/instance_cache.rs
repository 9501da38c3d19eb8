//! Local copy of the instance list for one failure domain.

use std::{collections::BTreeMap, time::Duration};

use bluebellpath_runtime::{Instant, clock};

use super::{Changes, Error, Instance, List, Version};
use crate::settings::Domain;

/// Interval between full reads, which repair any missed change.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(3_600);

/// Copy of the instance list for one failure domain, updated by changes.
///
/// With 436 targets in a domain the list takes about 70 KB. Reading it whole each
/// second would make it by far the largest message, for a few dozen changes a day.
pub struct InstanceCache {
    domain: Domain,
    version: Option<Version>,
    instances: BTreeMap<String, Instance>,
    last_full_read: Instant,
}

impl InstanceCache {
    /// Empty copy for `domain`.
    pub fn new(domain: Domain) -> InstanceCache {
        InstanceCache {
            domain,
            version: None,
            instances: BTreeMap::new(),
            last_full_read: clock::now(),
        }
    }

    /// Reads the changes; true if there were any.
    pub async fn refresh(&mut self, list: &dyn List) -> Result<bool, Error> {
        let changes = list.changes(self.domain, self.since()).await?;
        Ok(self.take(changes))
    }

    /// Version after which to request changes; `None` for the full list.
    pub fn since(&self) -> Option<Version> {
        let due = clock::now().saturating_since(self.last_full_read) >= FULL_READ_INTERVAL;
        self.version.filter(|_| !due)
    }

    /// Applies an answer unless a newer one was applied before; true if it
    /// changed the list.
    pub fn take(&mut self, changes: Changes) -> bool {
        let new = changes.version;
        let outdated = match self.version {
            Some(own) if own.epoch == new.epoch => new.number < own.number,
            Some(_) => !changes.whole,
            None => false,
        };
        if outdated {
            return false;
        }
        if changes.whole {
            self.last_full_read = clock::now();
        }
        self.apply(changes)
    }

    /// Instances, sorted by name.
    pub fn instances(&self) -> Vec<Instance> {
        self.instances.values().cloned().collect()
    }

    fn apply(&mut self, changes: Changes) -> bool {
        self.version = Some(changes.version);
        if changes.whole {
            let by_name = changes
                .instances
                .into_iter()
                .map(|it| (it.name.clone(), it));
            let instances = by_name.collect();
            let changed = self.instances != instances;
            self.instances = instances;
            return changed;
        }
        let changed = !changes.instances.is_empty() || !changes.gone.is_empty();
        for name in &changes.gone {
            self.instances.remove(name);
        }
        for instance in changes.instances {
            self.instances.insert(instance.name.clone(), instance);
        }
        changed
    }
}
