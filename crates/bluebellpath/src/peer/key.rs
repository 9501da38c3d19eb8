//! Key that all entry instances share.

use std::fmt;

/// Bytes of a tag; half of a hash, as frames are short and keys are secret.
pub const TAG_BYTES: usize = 16;

/// Context that keeps keys of this protocol apart from other uses of a secret.
const CONTEXT: &str = "bluebellpath 2026 peer frames";

/// Key that all entry instances share, made from a secret in the settings.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// Key made from `secret`.
    pub fn new(secret: impl AsRef<[u8]>) -> Key {
        Key(blake3::derive_key(CONTEXT, secret.as_ref()))
    }

    /// Key of one connection, made from what both sides chose at random.
    pub fn session(&self, client: &[u8], server: &[u8]) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(client).update(server);
        Key(*hasher.finalize().as_bytes())
    }

    /// Tag over `parts`, one after the other.
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        parts.iter().for_each(|it| {
            hasher.update(it);
        });
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// True when `tag` is the tag over `parts`; takes the same time either way.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let wanted = self.tag(parts);
        let Ok(found) = <[u8; TAG_BYTES]>::try_from(tag) else {
            return false;
        };
        padded(wanted) == padded(found)
    }
}

/// Hashes compare in constant time, plain bytes don't.
fn padded(tag: [u8; TAG_BYTES]) -> blake3::Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_BYTES].copy_from_slice(&tag);
    blake3::Hash::from_bytes(bytes)
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
