//! Check immediately before a start request is sent.

use derive_more::{Display, Error};

/// The right to start tasks has lapsed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the lease lapsed before the start was sent")]
pub struct Lapsed;

/// Right to start a task, checked immediately before bytes go to the socket.
pub trait Fence {
    /// Returns an error if nothing may be sent any more.
    fn check(&self) -> Result<(), Lapsed>;
}

/// Fence that always allows, for requests that start nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open;

impl Fence for Open {
    fn check(&self) -> Result<(), Lapsed> {
        Ok(())
    }
}
