/*!
Datagrams as they travel.

A frame is a version byte, the wall time of its sending, a postcard payload and
a tag over all of it under the shared [`Key`]. The tag is checked before the
payload is parsed. A frame that is older than [`MAX_AGE_MS`] is refused, which
bounds what a recorded one is good for at an instance that has just started and
knows no sequence numbers yet; clocks must agree to within that bound.

```
use bluebellpath::peer::{Key, frame};

let key = Key::new("a secret from the settings");
let bytes = frame::seal(&key, 1_000, &"payload").unwrap();
assert_eq!(frame::open::<String>(&key, 1_000, &bytes).unwrap(), "payload");
assert!(frame::open::<String>(&Key::new("another"), 1_000, &bytes).is_err());
```
*/

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

use super::key::{Key, TAG_BYTES};

/// Version of the frames that this build speaks.
pub const VERSION: u8 = 2;

/// Largest frame in bytes, below the smallest usual path limit of UDP.
pub const MAX_BYTES: usize = 1_200;

/// Greatest difference between sending and receiving clock, in milliseconds.
pub const MAX_AGE_MS: u64 = 60_000;

/// Bytes before the payload: version and wall time.
const HEAD_BYTES: usize = 9;

/// Bytes of a frame around its payload.
pub const OVERHEAD_BYTES: usize = HEAD_BYTES + TAG_BYTES;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Shorter than its fixed parts.
    #[display("truncated")]
    Truncated,
    /// Longer than [`MAX_BYTES`].
    #[display("too large")]
    TooLarge,
    /// Version that this build does not speak.
    #[display("unknown version")]
    Version,
    /// Tag that does not fit the content.
    #[display("forged or corrupt")]
    Forged,
    /// Sent too long ago, or by a clock too far off.
    #[display("stale")]
    Stale,
    /// Payload of another shape.
    #[display("malformed")]
    Malformed,
}

/// Makes a frame of `payload`, sent at the wall time `sent_ms`.
pub fn seal(key: &Key, sent_ms: u64, payload: &impl Serialize) -> Result<Vec<u8>, Fault> {
    let mut bytes = vec![VERSION];
    bytes.extend_from_slice(&sent_ms.to_le_bytes());
    let mut bytes = postcard::to_extend(payload, bytes).map_err(|_| Fault::Malformed)?;
    let tag = key.tag(&[&bytes]);
    bytes.extend_from_slice(&tag);
    match bytes.len() {
        ..=MAX_BYTES => Ok(bytes),
        _ => Err(Fault::TooLarge),
    }
}

/// Payload of a frame that came in at the wall time `now_ms`.
pub fn open<T: DeserializeOwned>(key: &Key, now_ms: u64, bytes: &[u8]) -> Result<T, Fault> {
    if bytes.len() > MAX_BYTES {
        return Err(Fault::TooLarge);
    }
    let length = bytes.len().checked_sub(TAG_BYTES).ok_or(Fault::Truncated)?;
    let (content, tag) = bytes.split_at(length);
    let (head, payload) = content
        .split_at_checked(HEAD_BYTES)
        .ok_or(Fault::Truncated)?;
    if head[0] != VERSION {
        return Err(Fault::Version);
    }
    if !key.verify(&[content], tag) {
        return Err(Fault::Forged);
    }
    let mut sent_ms = [0; 8];
    sent_ms.copy_from_slice(&head[1..]);
    if u64::from_le_bytes(sent_ms).abs_diff(now_ms) > MAX_AGE_MS {
        return Err(Fault::Stale);
    }
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(Fault::Malformed),
    }
}
