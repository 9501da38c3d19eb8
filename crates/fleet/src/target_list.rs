/*!
The list of targets.

Heartbeats of the targets change the platform's table all the time, so a query
can't wait for a change and each look at the list costs a query. The instances
of each failure domain read it by [`read_schedule`](crate::read_schedule) and
send the changes to each other.
*/

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use serde::{Deserialize, Serialize};

use crate::{Target, read_schedule::Schedule};

/// Ages at which the list is read. The first rank reads at half of the shortest
/// notice of a leaving target, 2 s. The last rank reads within the 2.5 s for
/// which a silent target that is no longer listed is kept.
const READ_SCHEDULE: Schedule = Schedule {
    first_age: Duration::from_millis(1_000),
    second_age: Duration::from_millis(1_500),
    age_step: Duration::from_millis(500),
    max_age: Duration::from_millis(2_000),
};

/// Difference between two versions of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version to which it applies.
    pub from_version: u64,
    /// Version after it is applied.
    pub to_version: u64,
    /// New or changed targets.
    pub changed: Vec<Target>,
    /// Ids of removed targets.
    pub removed: Vec<Rc<str>>,
}

/// List of targets at one version.
#[derive(Debug, Default)]
pub struct TargetList {
    version: Option<u64>,
    targets: BTreeMap<Rc<str>, Target>,
    ids: BTreeMap<u32, Rc<str>>,
    last_read: Option<Instant>,
}

impl TargetList {
    /// Returns the version, or `None` before the first read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the targets by id.
    pub fn targets(&self) -> &BTreeMap<Rc<str>, Target> {
        &self.targets
    }

    /// Returns the target with this short id.
    pub fn find(&self, short_id: u32) -> Option<&Target> {
        self.targets.get(self.ids.get(&short_id)?)
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, version: u64, targets: BTreeMap<Rc<str>, Target>) {
        self.version = Some(version);
        let ids = targets.keys().map(|it| (Target::short_id(it), it.clone()));
        self.ids = ids.collect();
        self.targets = targets;
        self.last_read = Some(clock::now());
    }

    /// Compares the list with the rows that changed after its version. A row
    /// without a target removes it.
    pub fn diff(&self, version: u64, rows: Vec<(Rc<str>, Option<Target>)>) -> Delta {
        let mut changed = BTreeMap::new();
        for (id, target) in rows {
            changed.insert(id, target);
        }
        changed.retain(|id, target| self.targets.get(id) != target.as_ref());
        let (changed, removed): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|it| it.1.is_some());
        Delta {
            from_version: self.version.unwrap_or_default(),
            to_version: version,
            changed: changed.into_iter().filter_map(|it| it.1).collect(),
            removed: removed.into_iter().map(|it| it.0).collect(),
        }
    }

    /// Applies a difference. Returns false if the list is newer already or if
    /// changes in between are missing.
    pub fn apply(&mut self, delta: Delta) -> bool {
        let Some(version) = self.version else {
            return false;
        };
        if delta.from_version > version || delta.to_version <= version {
            return false;
        }
        self.version = Some(delta.to_version);
        self.last_read = Some(clock::now());
        self.change(delta.changed, delta.removed);
        true
    }

    /// Applies newer rows, of which changes in between are not known, so that the version
    /// stays. Returns whether the list has changed.
    pub fn amend(&mut self, rows: Vec<(Rc<str>, Option<Target>)>) -> bool {
        let Some(version) = self.version else {
            return false;
        };
        let delta = self.diff(version, rows);
        let changes = !delta.changed.is_empty() || !delta.removed.is_empty();
        self.change(delta.changed, delta.removed);
        changes
    }

    fn change(&mut self, changed: Vec<Target>, removed: Vec<Rc<str>>) {
        for target in changed {
            self.ids
                .insert(Target::short_id(&target.id), target.id.clone());
            self.targets.insert(target.id.clone(), target);
        }
        for id in removed {
            self.ids.remove(&Target::short_id(&id));
            self.targets.remove(&id);
        }
    }

    /// Records that this instance has just read the list, whatever the result.
    pub fn mark_read(&mut self) {
        self.last_read = Some(clock::now());
    }

    /// Returns the time until the instance with this rank, 0 first, should read
    /// the list.
    pub fn time_until_due(&self, rank: usize) -> Duration {
        READ_SCHEDULE.time_until_due(self.last_read, rank)
    }
}
