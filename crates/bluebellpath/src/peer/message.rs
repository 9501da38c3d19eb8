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
    /// Submit a job to the owner of its id and wait for the answer.
    Submit {
        /// Job id.
        id: Id,
        /// Job.
        submission: Submission,
        /// Time since the caller made the request, in milliseconds.
        waited_ms: u64,
        /// Number of times that it may still be forwarded.
        hops: u8,
    },
    /// Wait for the answer to a job.
    Fetch {
        /// Job id.
        id: Id,
        /// Number of times that it may still be forwarded.
        hops: u8,
    },
    /// Cancel a job.
    Cancel {
        /// Job id.
        id: Id,
        /// Number of times that it may still be forwarded.
        hops: u8,
    },
    /// Extend the sender's claims: promise not to take them over, and store them.
    ExtendClaims(ExtensionRequest),
    /// Report what is known about the tenure of a claim holder.
    ReportTenure {
        /// Incarnation of the holder.
        holder: Incarnation,
    },
    /// Send the configuration changes after a version.
    Config {
        /// Newest version that the sender knows, 0 without one.
        after: u64,
    },
    /// Request about the tasks of targets with capacity.
    Fleet(Box<membership::Request>),
}

impl Request {
    /// True if the request is abandoned when the sender's connection ends.
    pub fn ends_with_sender(&self) -> bool {
        matches!(self, Request::Fleet(_))
    }
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to a request about the tasks of targets with capacity.
    Fleet(membership::Reply),
    /// Answer of the job.
    Answer(Box<Answer>),
    /// The job is not known here.
    Missing,
    /// The id belongs to a job with different content.
    Mismatch,
    /// The owner of the id already keeps too many jobs.
    Full,
    /// This instance does not own the id.
    NotOwner,
    /// Result of the request to extend claims.
    Extension(ExtensionReply),
    /// Report about the tenure of a claim holder.
    Tenure(TenureReport),
    /// Configuration changes after the version.
    Config(Box<Update>),
}
