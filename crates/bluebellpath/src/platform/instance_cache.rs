//! What one domain knows of the instance list.

use std::{collections::BTreeMap, time::Duration};

use bluebellpath_runtime::{Instant, clock};

use super::{Changes, Error, Instance, List, Version};
use crate::settings::Domain;

/// Time after which all is read again, so that no lost change lasts.
const REFRESH: Duration = Duration::from_secs(3_600);

/// What one domain knows of the instance list, kept up by changes alone.
///
/// At 436 targets of a domain the list is some 70 KB; read whole each second it
/// would be the largest message by far, for a few dozen changes a day.
pub struct InstanceCache {
    domain: Domain,
    version: Option<Version>,
    instances: BTreeMap<String, Instance>,
    read: Instant,
}

impl InstanceCache {
    /// Empty roll of `domain`.
    pub fn new(domain: Domain) -> InstanceCache {
        InstanceCache {
            domain,
            version: None,
            instances: BTreeMap::new(),
            read: clock::now(),
        }
    }

    /// Reads what changed; true when something did.
    pub async fn refresh(&mut self, list: &dyn List) -> Result<bool, Error> {
        let changes = list.changes(self.domain, self.since()).await?;
        Ok(self.take(changes))
    }

    /// Version after which changes are to be asked for; `None` for all.
    pub fn since(&self) -> Option<Version> {
        let due = clock::now().saturating_since(self.read) >= REFRESH;
        self.version.filter(|_| !due)
    }

    /// Takes in an answer, unless a later one came before it; true when it
    /// changed something.
    pub fn take(&mut self, changes: Changes) -> bool {
        let new = changes.version;
        let passed = match self.version {
            Some(own) if own.epoch == new.epoch => new.number < own.number,
            Some(_) => !changes.whole,
            None => false,
        };
        if passed {
            return false;
        }
        if changes.whole {
            self.read = clock::now();
        }
        self.apply(changes)
    }

    /// Instances in the order of their names.
    pub fn instances(&self) -> Vec<Instance> {
        self.instances.values().cloned().collect()
    }

    fn apply(&mut self, changes: Changes) -> bool {
        self.version = Some(changes.version);
        if changes.whole {
            let named = changes
                .instances
                .into_iter()
                .map(|it| (it.name.clone(), it));
            let instances = named.collect();
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
