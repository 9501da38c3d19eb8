//! Errors of the platform.

use derive_more::{Display, Error};

/// Kind of request to the platform.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Read of rows by key.
    #[display("read rows")]
    Read,
    /// Scan of rows by prefix.
    #[display("scan rows")]
    Scan,
    /// Transaction.
    #[display("commit")]
    Commit,
    /// Write of an object.
    #[display("put object")]
    Put,
    /// Read of an object.
    #[display("get object")]
    Get,
    /// Listing of objects.
    #[display("list objects")]
    List,
    /// Instance list.
    #[display("list instances")]
    Instances,
}

/// Effect of a failed request, as far as it is known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// Certainly had no effect.
    #[display("refused")]
    Refused,
    /// May have taken effect.
    #[display("outcome unknown")]
    Unknown,
    /// Answer that can't be decoded.
    #[display("malformed answer")]
    Malformed,
}

/// Failed request to the platform.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} at platform {peer}: {fault}: {detail}")]
pub struct Error {
    /// Request that failed.
    pub step: Step,
    /// Address or name of the platform's service.
    pub peer: String,
    /// What is known of its effect.
    pub fault: Fault,
    /// Cause, as text for operators.
    pub detail: String,
}
