//! Counts of what came in and went out.

use std::collections::BTreeMap;

use super::{frame, roster::Refusal};

/// Counts of one membership since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them, without the headers of UDP and IP.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub taken: u64,
    /// Datagrams that are no good frames, by reason.
    pub dropped: BTreeMap<frame::Fault, u64>,
    /// Good frames that were refused, by reason.
    pub refused: BTreeMap<Refusal, u64>,
}
