/*!
Encoding of datagrams.

A frame is a version byte, the wall time of sending, a postcard payload and an
authentication tag over all of it under the shared [`Key`]. The tag is verified
before the payload is parsed. A frame older than [`MAX_AGE_MS`] is refused. This
limits replay attacks on an instance that has just started and knows no sequence
numbers yet; clocks must agree within that limit.

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

/// Protocol version of the frames of this build.
pub const VERSION: u8 = 5;

/// Maximum frame size in bytes, below the smallest usual path MTU.
pub const MAX_BYTES: usize = 1_200;

/// Maximum difference between the sending time and the receiver's clock, in
/// milliseconds.
pub const MAX_AGE_MS: u64 = 60_000;

/// Size of the header in bytes: version and wall time.
const HEADER_BYTES: usize = 9;

/// Size of the header and the tag in bytes.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + TAG_BYTES;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Shorter than its fixed parts.
    #[display("truncated")]
    Truncated,
    /// Longer than [`MAX_BYTES`].
    #[display("too large")]
    TooLarge,
    /// Version that this build does not support.
    #[display("unknown version")]
    Version,
    /// Tag that does not match the content.
    #[display("forged or corrupt")]
    Forged,
    /// Sent too long ago, or by a clock too far off.
    #[display("stale")]
    Stale,
    /// Payload that can't be decoded.
    #[display("malformed")]
    Malformed,
}

/// Encodes `payload` as a frame sent at the wall time `sent_ms`.
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

/// Verifies and decodes a frame received at the wall time `now_ms`.
pub fn open<T: DeserializeOwned>(key: &Key, now_ms: u64, bytes: &[u8]) -> Result<T, Fault> {
    if bytes.len() > MAX_BYTES {
        return Err(Fault::TooLarge);
    }
    let length = bytes.len().checked_sub(TAG_BYTES).ok_or(Fault::Truncated)?;
    let (content, tag) = bytes.split_at(length);
    let (header, payload) = content
        .split_at_checked(HEADER_BYTES)
        .ok_or(Fault::Truncated)?;
    if header[0] != VERSION {
        return Err(Fault::Version);
    }
    if !key.verify(&[content], tag) {
        return Err(Fault::Forged);
    }
    let mut sent_ms = [0; 8];
    sent_ms.copy_from_slice(&header[1..]);
    if u64::from_le_bytes(sent_ms).abs_diff(now_ms) > MAX_AGE_MS {
        return Err(Fault::Stale);
    }
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(Fault::Malformed),
    }
}
