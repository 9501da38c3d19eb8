//! Job ids that callers choose.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::settings::Domain;

/// Job id of a caller's own choosing, such as `order-17` or `order-17@2`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0}")]
pub struct Key(String);

impl Key {
    /// Longest key in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Key with the text `text`; `None` when it is empty, too long or holds
    /// anything but letters, digits and `-_.:@`.
    pub fn new(text: &str) -> Option<Key> {
        let allowed = |it: u8| it.is_ascii_alphanumeric() || b"-_.:@".contains(&it);
        let fits = !text.is_empty() && text.len() <= Key::MAX_BYTES;
        (fits && text.bytes().all(allowed)).then(|| Key(text.to_owned()))
    }

    /// Text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Home domain out of `domains` configured ones.
    ///
    /// Named after the last `@`, or else picked by a hash. The hash runs over
    /// the configured domains and not the live ones, so that instances which
    /// see different peers still agree.
    pub fn home_domain(&self, domains: u16) -> Domain {
        let named = self.0.rsplit_once('@').and_then(|(_, it)| it.parse().ok());
        match named {
            Some(named) if named < domains => Domain::new(named),
            _ => Domain::new((self.hash() % u64::from(domains.max(1))) as u16),
        }
    }

    /// Shard of the home domain out of `shards`.
    pub fn shard(&self, shards: u16) -> u16 {
        // Shards use other bits than the home domain, else a domain would use
        // only some of its shards.
        ((self.hash() >> 32) % u64::from(shards.max(1))) as u16
    }

    fn hash(&self) -> u64 {
        let hash = blake3::hash(self.0.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}
