//! Check right before a start request is sent.

use std::{cell::Cell, rc::Rc};

use bluebellpath_runtime::{Instant, clock};

use super::{InjectedFault, job::Job};
use crate::target::{Fence, Lapsed};

/// Fence for the start requests of a job.
///
/// A task may start only if the job is neither answered nor cancelled and its
/// deadline has not passed on the monotonic clock. If the claim of the job is held
/// only in the memory of peers, that claim must not have expired either.
///
/// The check is needed because an instance may be paused just before it sends a
/// start request. By the time it resumes, another instance may have answered the
/// job.
pub(super) struct StartFence {
    pub(super) job: Rc<Job>,
    /// Time at which claims in memory expire.
    pub(super) claims_expiry: Rc<Cell<Instant>>,
    pub(super) injected_fault: Option<InjectedFault>,
}

impl Fence for StartFence {
    fn check(&self) -> Result<(), Lapsed> {
        let job = &self.job;
        let now = clock::now();
        let in_memory = job.grant.get().is_some_and(|it| it.in_memory);
        let claim_expired = in_memory && now >= self.claims_expiry.get();
        let is_over = job.is_answered() || job.cancelled.get() || now >= job.deadline;
        let lapsed = is_over || claim_expired;
        if lapsed && self.injected_fault != Some(InjectedFault::SkipFence) {
            return Err(Lapsed);
        }
        Ok(())
    }
}
