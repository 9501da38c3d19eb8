//! Counters of datagrams.

use std::collections::BTreeMap;

use super::{frame, roster::Refusal};

/// Datagram counters of one membership since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in the sent datagrams, without UDP and IP headers.
    pub sent_bytes: u64,
    /// Datagrams whose heartbeat was accepted.
    pub accepted: u64,
    /// Datagrams that are not valid frames, by reason.
    pub dropped: BTreeMap<frame::Fault, u64>,
    /// Valid frames whose heartbeat was refused, by reason.
    pub refused: BTreeMap<Refusal, u64>,
}
