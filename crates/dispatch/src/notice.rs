//! What entry instances tell each other of the slots that they hold.

use serde::{Deserialize, Serialize};

/// One run of an entry instance, as holder of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// Number of slots of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSlots {
    /// Fingerprint of the target's name.
    pub target: u32,
    /// Slots.
    pub slots: u32,
}

/// Slots that one instance gives up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gift {
    /// Receiver.
    pub to: InstanceId,
    /// Number within the giver's run, from 1.
    pub number: u64,
    /// What is given; the giver no longer uses it.
    pub slots: Vec<TargetSlots>,
}

/// Confirmation of gifts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Giver.
    pub from: InstanceId,
    /// Number of the last gift taken over from it.
    pub number: u64,
}

/// What an instance tells of the slots that it holds, on each heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotStatus {
    /// Digest of the live instances and of the targets that the sender knows.
    pub view: u64,
    /// Times that the sender has given up everything.
    pub lapses: u32,
    /// The sender has taken its part of what nobody held in this view.
    pub settled: bool,
    /// Slots that the sender could use now.
    pub demand: u32,
    /// The same in the long run, in hundredths of a slot.
    pub lasting: u32,
    /// Slots that the sender may use, by target in the order of fingerprints.
    pub held: Vec<u16>,
    /// Gifts that were not confirmed yet.
    pub gifts: Vec<Gift>,
    /// Gifts that the sender took over.
    pub receipts: Vec<Receipt>,
}
