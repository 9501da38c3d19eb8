//! Last test before a start leaves.

use std::rc::Rc;

use bluebellpath_runtime::clock;

use super::{Planted, job::Job};
use crate::target::{Fence, Lapsed};

/// Right to start tasks of a job: it is not answered, not cancelled, and its
/// deadline has not passed on the monotonic clock.
///
/// An instance that was paused may wake up with a start in hand; its job may
/// long have been answered elsewhere.
pub(super) struct Right {
    pub(super) job: Rc<Job>,
    pub(super) planted: Option<Planted>,
}

impl Fence for Right {
    fn check(&self) -> Result<(), Lapsed> {
        let job = &self.job;
        let lapsed = job.is_answered() || job.cancelled.get() || clock::now() >= job.deadline;
        if lapsed && self.planted != Some(Planted::SkipFence) {
            return Err(Lapsed);
        }
        Ok(())
    }
}
