//! Job ids that callers choose.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::settings::Domain;

/// Job id that the caller chooses, such as `order-17` or `order-17@2`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0}")]
pub struct Key(String);

impl Key {
    /// Maximum length in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Returns the key with the text `text`; `None` if the text is empty, too
    /// long or contains anything but ASCII letters, digits and `-_.:@`.
    pub fn new(text: &str) -> Option<Key> {
        let is_allowed = |it: u8| it.is_ascii_alphanumeric() || b"-_.:@".contains(&it);
        let has_valid_length = !text.is_empty() && text.len() <= Key::MAX_BYTES;
        (has_valid_length && text.bytes().all(is_allowed)).then(|| Key(text.to_owned()))
    }

    /// Returns the text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the home domain, out of `domain_count` configured domains.
    ///
    /// The home is the number after the last `@` if that is a configured
    /// domain, and is chosen by hash otherwise. The hash ranges over the
    /// configured domains rather than the live ones, so that instances that
    /// see different peers still agree.
    pub fn home_domain(&self, domain_count: u16) -> Domain {
        let explicit = self.0.rsplit_once('@').and_then(|(_, it)| it.parse().ok());
        match explicit {
            Some(explicit) if explicit < domain_count => Domain::new(explicit),
            _ => Domain::new((self.hash() % u64::from(domain_count.max(1))) as u16),
        }
    }

    /// Returns the shard within the home domain, out of `shard_count` shards.
    pub fn shard(&self, shard_count: u16) -> u16 {
        // The shard takes other bits of the hash than the home domain does.
        // With the same bits, a domain would use only some of its shards.
        ((self.hash() >> 32) % u64::from(shard_count.max(1))) as u16
    }

    fn hash(&self) -> u64 {
        let hash = blake3::hash(self.0.as_bytes());
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }
}
