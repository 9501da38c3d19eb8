//! Requests that get no answer of a job.

use derive_more::{Display, Error};

use crate::job::Id;

/// Why a request gets no answer of a job.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Refusal {
    /// The id belongs to a job with other content.
    #[display("job {id} was submitted before with other content")]
    Mismatch {
        /// Job id.
        id: Id,
    },
    /// Too many jobs are kept already.
    #[display("job {id} does not fit: too many jobs are kept already")]
    Full {
        /// Job id.
        id: Id,
    },
    /// The submission breaks a limit.
    #[display("{field}: found {found}, allowed {allowed}")]
    Invalid {
        /// Field of the submission.
        field: String,
        /// What it holds.
        found: String,
        /// What it may hold.
        allowed: String,
    },
}
