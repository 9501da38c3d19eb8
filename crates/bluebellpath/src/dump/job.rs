//! Job in a dump.

use serde::{Deserialize, Serialize};

use crate::job::Id;

/// Job in a dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id.
    pub id: Id,
    /// Team that pays.
    pub team: String,
    /// Time since its submission, in milliseconds.
    pub age_ms: u64,
    /// Deadline after its submission, in milliseconds.
    pub deadline_ms: u64,
    /// Tasks of the job.
    pub tasks: usize,
    /// Tasks that run now.
    pub running: usize,
    /// True once its answer is there.
    pub answered: bool,
    /// True once it was cancelled.
    pub cancelled: bool,
}
