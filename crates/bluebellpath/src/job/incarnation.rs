//! One run of one process.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of an incarnation below its start time.
const RANDOM_BITS: u32 = 20;

/// One run of an entry instance, never reused.
///
/// The high bits hold the wall time of the start in milliseconds, so that a
/// later run of the same instance compares greater.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Incarnation that starts at `wall_ms`, told apart by `random`.
    pub fn new(wall_ms: u64, random: u32) -> Incarnation {
        let low = u64::from(random) & ((1 << RANDOM_BITS) - 1);
        Incarnation((wall_ms << RANDOM_BITS) | low)
    }

    /// Number as it travels.
    pub fn to_u64(self) -> u64 {
        self.0
    }

    /// Incarnation with the number `raw`.
    pub fn from_u64(raw: u64) -> Incarnation {
        Incarnation(raw)
    }
}
