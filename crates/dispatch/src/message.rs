//! Messages with which entry instances share the slots of targets.

use serde::{Deserialize, Serialize};

/// One incarnation of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// Number of slots of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSlots {
    /// Fingerprint of the target's name.
    pub target: u32,
    /// Number of slots.
    pub slots: u32,
}

/// Slots that one instance hands over to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Receiver.
    pub to: InstanceId,
    /// Sequence number among the sender's transfers, from 1.
    pub sequence: u64,
    /// Slots handed over, which the sender no longer uses.
    pub slots: Vec<TargetSlots>,
}

/// Acknowledgement of all transfers up to a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Sender of the transfers.
    pub from: InstanceId,
    /// Sequence number of the last transfer received from it.
    pub sequence: u64,
}

/// Slots that an instance holds and needs, sent with each heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotStatus {
    /// Digest of the live instances and of the targets that the sender knows.
    pub view_digest: u64,
    /// Number of times that the sender has given up all its slots.
    pub resets: u32,
    /// The sender has claimed its share of the unheld slots in this view.
    pub claimed: bool,
    /// Slots that the sender could use now.
    pub demand: u32,
    /// Moving average of the demand, in hundredths of a slot.
    pub average_demand_hundredths: u32,
    /// Slots that the sender holds, by target in the order of fingerprints.
    pub held: Vec<u16>,
    /// Transfers that are not acknowledged yet.
    pub transfers: Vec<Transfer>,
    /// Acknowledgements of the transfers that the sender received.
    pub acknowledgements: Vec<Acknowledgement>,
}
