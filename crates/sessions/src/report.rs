//! What came of a session.

use crate::{Case, Fault, check::Violation};

/// What came of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Session.
    pub case: Case,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// How often each fault struck while requests were outstanding.
    pub struck: Vec<(Fault, u64)>,
    /// Requests that submitters made.
    pub requests: usize,
    /// Tasks that targets started.
    pub starts: usize,
}
