/*!
The list of targets.

Heartbeats of the targets change the platform's table all the time, so following
it takes a call for each look. The instances of each failure domain look in
[`read_schedule`](crate::read_schedule), and pass on what changed.
*/

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use serde::{Deserialize, Serialize};

use crate::{Target, read_schedule::Schedule};

/// Schedule at reading the list: the first at half of the shortest notice, 2 s, at
/// which a target goes; the last within the 2.5 s for which a silent target that
/// is no longer listed is kept.
const READ_SCHEDULE: Schedule = Schedule {
    first_age: Duration::from_millis(1_000),
    second_age: Duration::from_millis(1_500),
    age_step: Duration::from_millis(500),
    max_age: Duration::from_millis(2_000),
};

/// What changed in the list between two of its versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that it starts from.
    pub from_version: u64,
    /// Version that it leads to.
    pub to_version: u64,
    /// Targets as they are now.
    pub changed: Vec<Target>,
    /// Ids of targets that are listed no more.
    pub removed: Vec<Rc<str>>,
}

/// List of targets as of one version.
#[derive(Debug, Default)]
pub struct TargetList {
    version: Option<u64>,
    targets: BTreeMap<Rc<str>, Target>,
    last_read: Option<Instant>,
}

impl TargetList {
    /// Version, `None` before the list has been read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Targets by id.
    pub fn targets(&self) -> &BTreeMap<Rc<str>, Target> {
        &self.targets
    }

    /// Takes in the whole list.
    pub fn replace(&mut self, version: u64, targets: BTreeMap<Rc<str>, Target>) {
        self.version = Some(version);
        self.targets = targets;
        self.last_read = Some(clock::now());
    }

    /// What the rows read after this list's version change in it; a row without
    /// a target is one that is listed no more.
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

    /// Takes in a change; false where the list stays as it is, because it is
    /// newer already or changes between are missing.
    pub fn apply(&mut self, delta: Delta) -> bool {
        let Some(version) = self.version else {
            return false;
        };
        if delta.from_version > version || delta.to_version <= version {
            return false;
        }
        self.version = Some(delta.to_version);
        self.last_read = Some(clock::now());
        for target in delta.changed {
            self.targets.insert(target.id.clone(), target);
        }
        for id in delta.removed {
            self.targets.remove(&id);
        }
        true
    }

    /// Notes that this instance has just read the list, whatever it found.
    pub fn mark_read(&mut self) {
        self.last_read = Some(clock::now());
    }

    /// Time until the list should be read by the instance that is at `rank` in
    /// line, 0 first.
    pub fn time_until_due(&self, rank: usize) -> Duration {
        READ_SCHEDULE.time_until_due(self.last_read, rank)
    }
}
