//! Lease rows, which name the holder of each shard.

use serde::{Deserialize, Serialize};

use crate::{job::Incarnation, platform, settings::Domain};

/// Content of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Incarnation that holds the shard; `None` after a release.
    pub holder: Option<Incarnation>,
    /// Incarnation that wrote the row.
    pub writer: Incarnation,
    /// Number of the writer's transaction.
    pub tx_id: u64,
}

impl Lease {
    /// Row key of the lease on a shard.
    pub fn row_key(domain: Domain, shard: u16) -> String {
        format!("lease/{domain}/{shard:04}")
    }

    /// Decodes `row`; `None` if it is malformed.
    pub fn decode(row: &platform::Row) -> Option<Lease> {
        postcard::from_bytes(&row.value).ok()
    }

    /// Encodes the lease as stored in the table.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a lease holds only numbers")
    }
}
