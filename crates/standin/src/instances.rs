//! Instance list in memory, with a lag.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bluebellpath::{
    platform::{Changes, Error, Instance, List, Role, State, Step, Version},
    settings::Domain,
};
use bluebellpath_runtime::{Instant, LocalFuture, clock};

use crate::Faults;

/// List as it stood from a moment on.
#[derive(Clone, Default)]
struct Snapshot {
    since: Instant,
    instances: Vec<Instance>,
}

#[derive(Default)]
struct Inner {
    snapshots: RefCell<Vec<Snapshot>>,
    lag: std::cell::Cell<Duration>,
    faults: Faults,
    epoch: u64,
}

/// Instance list in memory; clones share their instances.
#[derive(Clone, Default)]
pub struct Instances(Rc<Inner>);

impl Instances {
    /// List that shows `instances` at once.
    pub fn new(instances: Vec<Instance>) -> Instances {
        let list = Instances(Rc::new(Inner {
            epoch: clock::wall(),
            ..Inner::default()
        }));
        list.0.snapshots.borrow_mut().push(Snapshot {
            since: Instant::default(),
            instances,
        });
        list
    }

    /// Faults of this list.
    pub fn faults(&self) -> &Faults {
        &self.0.faults
    }

    /// Sets how far the list lags behind its changes.
    pub fn set_lag(&self, lag: Duration) {
        self.0.lag.set(lag);
    }

    /// Changes the list; readers see it after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut snapshots = self.0.snapshots.borrow_mut();
        let mut instances = snapshots
            .last()
            .map(|it| it.instances.clone())
            .unwrap_or_default();
        change(&mut instances);
        snapshots.push(Snapshot {
            since: clock::now(),
            instances,
        });
    }

    /// Marks the instance `name` as leaving.
    pub fn leave(&self, name: &str) {
        self.change(|instances| {
            let leaving = instances.iter_mut().filter(|it| it.name == name);
            leaving.for_each(|it| it.state = State::Leaving);
        });
    }

    fn visible(&self) -> Vec<Instance> {
        self.snapshot(self.number()).instances
    }

    /// Number of the snapshot that readers see.
    fn number(&self) -> usize {
        let lag = self.0.lag.get();
        let now = clock::now();
        let snapshots = self.0.snapshots.borrow();
        let seen = snapshots.iter().rposition(|it| it.since + lag <= now);
        seen.unwrap_or(0)
    }

    fn snapshot(&self, number: usize) -> Snapshot {
        let snapshots = self.0.snapshots.borrow();
        snapshots.get(number).cloned().unwrap_or_default()
    }

    fn since(&self, domain: Domain, since: Option<Version>) -> Changes {
        let number = self.number();
        let version = Version {
            epoch: self.0.epoch,
            number: number as u64,
        };
        let known = since.filter(|it| it.epoch == version.epoch && it.number <= version.number);
        if known.is_some_and(|it| it.number == version.number) {
            return Changes {
                version,
                whole: false,
                instances: Vec::new(),
                gone: Vec::new(),
            };
        }
        let concerns = |it: &&Instance| it.role == Role::Entry || it.domain == domain;
        let new = self.snapshot(number).instances;
        let new: Vec<&Instance> = new.iter().filter(concerns).collect();
        let Some(known) = known else {
            return Changes {
                version,
                whole: true,
                instances: new.into_iter().cloned().collect(),
                gone: Vec::new(),
            };
        };
        let old = self.snapshot(known.number as usize).instances;
        let old: BTreeMap<&str, &Instance> = named(old.iter().filter(concerns));
        let names: BTreeMap<&str, &Instance> = named(new.iter().copied());
        let changed = new
            .iter()
            .filter(|it| old.get(it.name.as_str()) != Some(*it));
        let gone = old.keys().filter(|it| !names.contains_key(*it));
        Changes {
            version,
            whole: false,
            instances: changed.map(|it| (*it).clone()).collect(),
            gone: gone.map(|it| (*it).to_owned()).collect(),
        }
    }
}

fn named<'a>(instances: impl Iterator<Item = &'a Instance>) -> BTreeMap<&'a str, &'a Instance> {
    instances.map(|it| (it.name.as_str(), it)).collect()
}

impl List for Instances {
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::Instances).await?;
            let instances = self.visible();
            self.0.faults.leave(Step::Instances, instances).await
        })
    }

    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::Instances).await?;
            let changes = self.since(domain, since);
            self.0.faults.leave(Step::Instances, changes).await
        })
    }
}
