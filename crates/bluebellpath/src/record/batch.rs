/*!
Batches as they are stored.

A batch is one object: a head with the hash of the batch before it, then its
items. Changing, removing or reordering anything breaks the hash that the next
batch holds; the hash of the last one is in the table, see
[`Mark`](super::Mark).
*/

use serde::{Deserialize, Serialize};

use super::Entry;
use crate::job::Incarnation;

/// Version of batches that this build writes.
const VERSION: u8 = 1;

/// Hash of a stored batch.
pub type Hash = [u8; 32];

/// What a batch says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the form.
    pub version: u8,
    /// Instance that wrote it.
    pub instance: String,
    /// Run of that instance.
    pub incarnation: Incarnation,
    /// Number within the incarnation, from 1.
    pub number: u64,
    /// Hash of the batch before it, zeros for the first.
    pub previous: Hash,
}

/// Requests that are not in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// How many.
    pub entries: u64,
    /// Wall time of the first one's answer, in milliseconds since the epoch.
    pub from_ms: u64,
    /// Wall time of the last one's answer.
    pub to_ms: u64,
}

/// Item of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Request.
    Entry(Box<Entry>),
    /// Requests that did not fit while the store was away.
    Gap(Gap),
    /// Last item of an incarnation that stopped as planned.
    Close {
        /// Wall time in milliseconds since the epoch.
        at_ms: u64,
    },
}

/// Batch of one incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// What the batch says of itself.
    pub head: Head,
    /// Items in the order of their making.
    pub items: Vec<Item>,
}

impl Batch {
    /// Bytes of a batch with items that are encoded already.
    pub(super) fn encode(head: &Head, items: &[Vec<u8>]) -> Vec<u8> {
        // A sequence is its length and its items, one after the other.
        let head = postcard::to_stdvec(&(head, items.len()));
        let mut bytes = head.unwrap_or_default();
        items.iter().for_each(|it| bytes.extend_from_slice(it));
        bytes
    }

    /// Batch in `bytes`; `None` for anything else.
    pub fn decode(bytes: &[u8]) -> Option<Batch> {
        match postcard::take_from_bytes::<Batch>(bytes) {
            Ok((batch, [])) if batch.head.version == VERSION => Some(batch),
            _ => None,
        }
    }

    /// Hash of a stored batch.
    pub fn hash(bytes: &[u8]) -> Hash {
        *blake3::hash(bytes).as_bytes()
    }

    /// Name of the object with batch `number` of `incarnation`.
    pub fn name(incarnation: Incarnation, number: u64) -> String {
        format!("{}{number:010}", Batch::prefix(incarnation))
    }

    /// Beginning of the names of all batches of `incarnation`.
    pub fn prefix(incarnation: Incarnation) -> String {
        format!("record/{incarnation}/")
    }
}

impl Head {
    /// Head of batch `number`, after one with the hash `previous`.
    pub(super) fn new(
        instance: &str,
        incarnation: Incarnation,
        number: u64,
        previous: Hash,
    ) -> Head {
        Head {
            version: VERSION,
            instance: instance.to_owned(),
            incarnation,
            number,
            previous,
        }
    }
}
