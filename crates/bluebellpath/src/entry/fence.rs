//! Last test before a start leaves.

use std::{cell::Cell, rc::Rc};

use bluebellpath_runtime::{Instant, clock};

use super::{InjectedFault, job::Job};
use crate::target::{Fence, Lapsed};

/// Right to start tasks of a job: it is not answered, not cancelled, and its
/// deadline has not passed on the monotonic clock; nor has the time until which
/// its claim holds, when that stands in the memory of peers only.
///
/// An instance that was paused may wake up with a start in hand; its job may
/// long have been answered elsewhere.
pub(super) struct Right {
    pub(super) job: Rc<Job>,
    /// Time until which claims in memory hold.
    pub(super) held_until: Rc<Cell<Instant>>,
    pub(super) injected_fault: Option<InjectedFault>,
}

impl Fence for Right {
    fn check(&self) -> Result<(), Lapsed> {
        let job = &self.job;
        let now = clock::now();
        let in_memory = job.grant.get().is_some_and(|it| it.in_memory);
        let claim_lapsed = in_memory && now >= self.held_until.get();
        let over = job.is_answered() || job.cancelled.get() || now >= job.deadline;
        let lapsed = over || claim_lapsed;
        if lapsed && self.injected_fault != Some(InjectedFault::SkipFence) {
            return Err(Lapsed);
        }
        Ok(())
    }
}
