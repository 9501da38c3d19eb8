//! Change requests of operators.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{Change, Fault, Revision};
use crate::platform;

/// Change request of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Id chosen by the client, which makes retries idempotent.
    pub id: String,
    /// Name of the operator.
    pub author: String,
    /// Reason, for the history.
    pub reason: String,
    /// Version on which the request is based.
    pub base: u64,
    /// Requested changes.
    pub changes: Vec<Change>,
}

/// Why an operation was not accepted.
#[derive(Clone, Debug, Display, Error)]
pub enum Refusal {
    /// The changed document would have faults. Certainly not accepted.
    #[display("{} faults", faults.len())]
    Faults {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// Another operator changed the configuration first. Certainly not accepted.
    #[display("version {base} is not the newest any more")]
    Lost {
        /// Version on which the request is based.
        base: u64,
        /// Revisions since then.
        since: Vec<Revision>,
    },
    /// The operation id was used before for other changes.
    #[display("operation {operation} was used before for other changes")]
    Mismatch {
        /// Id of the operation.
        operation: String,
    },
    /// The changes have no effect.
    #[display("version {version} holds this content already")]
    Unchanged {
        /// Newest version.
        version: u64,
    },
    /// The platform did not execute the request. Certainly not accepted.
    #[display("{error}")]
    Unavailable {
        /// Error of the platform.
        error: platform::Error,
    },
    /// The platform's answers were lost; the change may still be accepted.
    #[display("operation {operation} may have been accepted: {error}")]
    Unknown {
        /// Id of the operation, with which its result can be queried.
        operation: String,
        /// Last error of the platform.
        error: platform::Error,
    },
}
