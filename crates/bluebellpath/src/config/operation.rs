//! What an operator asks for.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{Change, Fault, Revision};
use crate::platform;

/// Change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Id that the operator's tool chose; the same id never acts twice.
    pub id: String,
    /// Operator.
    pub author: String,
    /// Reason, for the history.
    pub reason: String,
    /// Version that the operator looked at.
    pub base: u64,
    /// What shall change.
    pub changes: Vec<Change>,
}

/// Why an operation was not accepted.
#[derive(Clone, Debug, Display, Error)]
pub enum Refusal {
    /// The changed document would have faults. Certainly not accepted.
    #[display("{} faults", faults.len())]
    Faults {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// Somebody else changed the configuration first. Certainly not accepted.
    #[display("version {base} is not the newest any more")]
    Lost {
        /// Version that the operator looked at.
        base: u64,
        /// What others changed since.
        since: Vec<Revision>,
    },
    /// The operation id was used before for other changes.
    #[display("operation {operation} was used before for other changes")]
    Mismatch {
        /// Operation.
        operation: String,
    },
    /// Nothing would change.
    #[display("version {version} holds this content already")]
    Unchanged {
        /// Newest version.
        version: u64,
    },
    /// The platform did not take the request. Certainly not accepted.
    #[display("{error}")]
    Unavailable {
        /// What the platform said.
        error: platform::Error,
    },
    /// The platform's answers were lost; the change may still be accepted.
    #[display("operation {operation} may have been accepted: {error}")]
    Unknown {
        /// Operation to ask for.
        operation: String,
        /// What the platform said last.
        error: platform::Error,
    },
}
