//! An entry instance's part in its start and its planned stop.

use std::time::Duration;

use bluebellpath_runtime::clock;

use super::Entry;
use crate::{peer::Phase, platform};

/// Longest time that a planned stop waits for the store to take the record.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Pause before the record is closed anew.
const CLOSE_PAUSE: Duration = Duration::from_millis(200);

/// Work that an entry instance has not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Jobs without an answer.
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that run.
    pub running: usize,
    /// Entries of the record that are not written yet.
    pub unwritten: usize,
}

impl PendingWork {
    /// True when a stop now would cut off no request.
    pub fn is_drained(&self) -> bool {
        self.jobs == 0 && self.waiting == 0 && self.running == 0
    }
}

impl Entry {
    /// Where the instance stands in its life.
    pub fn phase(&self) -> Phase {
        self.0.phase.get()
    }

    /// Tells peers and balancers where the instance stands from now on.
    pub fn set_phase(&self, phase: Phase) {
        self.0.phase.set(phase);
    }

    /// True once the instance knows of a target to start tasks on.
    pub fn has_targets(&self) -> bool {
        !self.0.targets.borrow().is_empty()
    }

    /// Hands the shards of callers' keys to the peers; jobs that were claimed
    /// here go on here.
    pub async fn hand_over_shards(&self) {
        // Without the store, leases lapse by themselves.
        clock::timeout(CLOSE_LIMIT, self.release_shards()).await;
    }

    /// Ends a planned stop: the record, and word to the peers. Errs when the
    /// record could not be written to its end.
    pub async fn close(&self) -> Result<(), platform::Error> {
        let written = self.close_record().await;
        self.0.membership.leave(self.0.as_ref());
        written
    }

    /// Closes the record, unless the store is away for too long; what is not
    /// written then shows as a chain without a close.
    async fn close_record(&self) -> Result<(), platform::Error> {
        let deadline = clock::now() + CLOSE_LIMIT;
        loop {
            let closed = self.0.record.close().await;
            if closed.is_ok() || clock::now() >= deadline {
                return closed;
            }
            clock::sleep(CLOSE_PAUSE).await;
        }
    }

    /// Work that is not finished.
    pub fn pending_work(&self) -> PendingWork {
        let dispatcher = self.0.dispatcher.borrow();
        PendingWork {
            jobs: self.0.jobs.unanswered(),
            waiting: dispatcher.waiting(),
            running: dispatcher.running(),
            unwritten: self.0.record.len(),
        }
    }
}
