//! Requests between entry instances.

use bluebellpath_fleet::membership;
use serde::{Deserialize, Serialize};

use crate::{
    config::Update,
    job::{Answer, Id, Incarnation, Submission},
    owner::{ExtensionReply, ExtensionRequest, TenureReport},
};

/// Request from one entry instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submit a job to its home and wait for the answer.
    Submit {
        /// Job id.
        id: Id,
        /// Job.
        submission: Submission,
        /// Time for which the request has been on its way, in milliseconds.
        waited_ms: u64,
        /// Times that it may be passed on.
        hops: u8,
    },
    /// Wait for the answer to a job.
    Fetch {
        /// Job id.
        id: Id,
        /// Times that it may be passed on.
        hops: u8,
    },
    /// Cancel a job.
    Cancel {
        /// Job id.
        id: Id,
        /// Times that it may be passed on.
        hops: u8,
    },
    /// Promise not to take over, and remember claims.
    ExtendClaims(ExtensionRequest),
    /// Tell what is known of a peer's tenure.
    ReportTenure {
        /// That peer.
        holder: Incarnation,
    },
    /// Send what follows a configuration version.
    Config {
        /// Newest version that the sender knows, 0 without one.
        after: u64,
    },
    /// Request on the work of targets with capacity.
    Fleet(Box<membership::Request>),
}

impl Request {
    /// True where nobody has a use for the request once its sender is gone.
    pub fn ends_with_sender(&self) -> bool {
        matches!(self, Request::Fleet(_))
    }
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to a request on the work of targets with capacity.
    Fleet(membership::Reply),
    /// Answer of the job.
    Answer(Box<Answer>),
    /// No such job here.
    Missing,
    /// The id belongs to a job with other content.
    Mismatch,
    /// The home of the id keeps too many jobs already.
    Full,
    /// This instance does not own the id.
    NotOwner,
    /// Whether the promise is given.
    Extension(ExtensionReply),
    /// What is known of a peer's tenure.
    Tenure(TenureReport),
    /// What follows the configuration version.
    Config(Box<Update>),
}
