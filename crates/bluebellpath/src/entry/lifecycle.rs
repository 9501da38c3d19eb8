//! An entry instance's part in its start and its planned stop.

use super::Entry;
use crate::peer::Phase;

/// Work that an entry instance has not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Jobs without an answer.
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that run.
    pub running: usize,
    /// Entries of the record that are not written yet.
    pub unwritten: usize,
}

impl Work {
    /// True when a stop now would cut off no request.
    pub fn is_done(&self) -> bool {
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

    /// Hands over what outlives this instance, at the end of a planned stop.
    pub async fn release(&self) {
        self.release_ownership().await;
        self.0.membership.leave(self.0.as_ref());
    }

    /// Work that is not finished.
    pub fn work(&self) -> Work {
        let dispatcher = self.0.dispatcher.borrow();
        Work {
            jobs: self.0.jobs.unanswered(),
            waiting: dispatcher.waiting(),
            running: dispatcher.running(),
            unwritten: self.0.record.len(),
        }
    }
}
