//! Key shared by all entry instances.

use std::fmt;

/// Size of an authentication tag in bytes; half of a hash is enough for short
/// frames under a secret key.
pub const TAG_BYTES: usize = 16;

/// Key derivation context; separates keys of this protocol from other uses of the
/// same secret.
const CONTEXT: &str = "bluebellpath 2026 peer frames";

/// Key shared by all entry instances, derived from a secret in the settings.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from `secret`.
    pub fn new(secret: impl AsRef<[u8]>) -> Key {
        Key(blake3::derive_key(CONTEXT, secret.as_ref()))
    }

    /// Derives the key of one connection from the nonces of both sides.
    pub fn session(&self, client: &[u8], server: &[u8]) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(client).update(server);
        Key(*hasher.finalize().as_bytes())
    }

    /// Authentication tag over the concatenated `parts`.
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        parts.iter().for_each(|it| {
            hasher.update(it);
        });
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// True if `tag` is the tag over `parts`; compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let expected = self.tag(parts);
        let Ok(found) = <[u8; TAG_BYTES]>::try_from(tag) else {
            return false;
        };
        to_padded_hash(expected) == to_padded_hash(found)
    }
}

/// Pads a tag to a hash, because hashes compare in constant time and bytes don't.
fn to_padded_hash(tag: [u8; TAG_BYTES]) -> blake3::Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_BYTES].copy_from_slice(&tag);
    blake3::Hash::from_bytes(bytes)
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
