//! Startup and planned shutdown of an entry instance.

use std::time::Duration;

use bluebellpath_runtime::clock;

use super::Entry;
use crate::{peer::Phase, platform};

/// Maximum time for which a planned stop waits for the platform, to release leases
/// and again to write the record.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before another attempt to close the record.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Unfinished work of an entry instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Number of jobs without an answer.
    pub jobs: usize,
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Number of running tasks.
    pub running: usize,
    /// Number of record entries that are not written yet.
    pub unwritten: usize,
}

impl PendingWork {
    /// True if a stop would interrupt no request.
    pub fn is_drained(&self) -> bool {
        self.jobs == 0 && self.waiting == 0 && self.running == 0
    }
}

impl Entry {
    /// Returns the lifecycle phase of the instance.
    pub fn phase(&self) -> Phase {
        self.0.phase.get()
    }

    /// Sets the lifecycle phase, which peers and load balancers see.
    pub fn set_phase(&self, phase: Phase) {
        self.0.phase.set(phase);
    }

    /// True if the instance knows at least one target.
    pub fn has_targets(&self) -> bool {
        !self.0.targets.borrow().is_empty()
    }

    /// Releases the leases on key shards to peers. Jobs that this instance has
    /// claimed continue here.
    pub async fn hand_over_shards(&self) {
        // If the store doesn't answer, the leases expire on their own.
        clock::timeout(CLOSE_TIMEOUT, self.release_shards()).await;
    }

    /// Finishes a planned stop: closes the record and announces the departure to
    /// peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the record could not be written completely.
    pub async fn close(&self) -> Result<(), platform::Error> {
        let result = self.close_record().await;
        self.0.membership.leave(self.0.as_ref());
        result
    }

    /// Closes the record, with retries up to a time limit. If that fails, audits
    /// show the missing entries as a chain without a close.
    async fn close_record(&self) -> Result<(), platform::Error> {
        let deadline = clock::now() + CLOSE_TIMEOUT;
        loop {
            let result = self.0.record.close().await;
            if result.is_ok() || clock::now() >= deadline {
                return result;
            }
            clock::sleep(CLOSE_RETRY_DELAY).await;
        }
    }

    /// Returns the unfinished work.
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
