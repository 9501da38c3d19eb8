//! Refused requests.

use derive_more::{Display, Error};

use crate::job::Id;

/// Reason for which a request is refused and gets no answer to a job.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Refusal {
    /// The id belongs to a job with a different content.
    #[display("job {id} was submitted before with other content")]
    Mismatch {
        /// Job id.
        id: Id,
    },
    /// The limit on jobs in memory is reached.
    #[display("job {id} does not fit: too many jobs are kept already")]
    Full {
        /// Job id.
        id: Id,
    },
    /// The submission exceeds a limit.
    #[display("{field}: found {found}, allowed {allowed}")]
    Invalid {
        /// Name of the field.
        field: String,
        /// Value of the field.
        found: String,
        /// Allowed values.
        allowed: String,
    },
}
