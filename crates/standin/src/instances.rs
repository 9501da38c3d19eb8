//! Instance list in memory, with a lag.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bluebellpath::platform::{Error, Instance, List, State, Step};
use bluebellpath_runtime::{Instant, LocalFuture, clock};

use crate::Faults;

/// List as it stood from a moment on.
struct Snapshot {
    since: Instant,
    instances: Vec<Instance>,
}

#[derive(Default)]
struct Inner {
    snapshots: RefCell<Vec<Snapshot>>,
    lag: std::cell::Cell<Duration>,
    faults: Faults,
}

/// Instance list in memory; clones share their instances.
#[derive(Clone, Default)]
pub struct Instances(Rc<Inner>);

impl Instances {
    /// List that shows `instances` at once.
    pub fn new(instances: Vec<Instance>) -> Instances {
        let list = Instances::default();
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
        let lag = self.0.lag.get();
        let now = clock::now();
        let snapshots = self.0.snapshots.borrow();
        let seen = snapshots.iter().rev().find(|it| it.since + lag <= now);
        seen.or(snapshots.first())
            .map(|it| it.instances.clone())
            .unwrap_or_default()
    }
}

impl List for Instances {
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::Instances).await?;
            let instances = self.visible();
            self.0.faults.leave(Step::Instances, instances).await
        })
    }
}
