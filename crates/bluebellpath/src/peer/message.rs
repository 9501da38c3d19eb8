//! Requests between entry instances.

use serde::{Deserialize, Serialize};

use crate::config::Update;
use crate::job::{Answer, Id, Submission};

/// Request from one entry instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submit a job to its home and wait for the answer.
    Submit {
        /// Job id.
        id: Id,
        /// Job.
        submission: Submission,
    },
    /// Wait for the answer to a job.
    Fetch {
        /// Job id.
        id: Id,
    },
    /// Cancel a job.
    Cancel {
        /// Job id.
        id: Id,
    },
    /// Send what follows a configuration version.
    Config {
        /// Newest version that the sender knows, 0 without one.
        after: u64,
    },
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer of the job.
    Answer(Box<Answer>),
    /// No such job here.
    Missing,
    /// The id belongs to a job with other content.
    Mismatch,
    /// This instance does not own the id.
    NotOwner,
    /// What follows the configuration version.
    Config(Box<Update>),
}
