//! Process incarnations.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of low bits that hold the random part.
const RANDOM_BITS: u32 = 20;

/// Identifier of one process lifetime of an entry instance; never reused.
///
/// The high bits hold the start time in Unix milliseconds, so that a later
/// incarnation of the same instance compares greater.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the incarnation that starts at `wall_ms`. `random` distinguishes
    /// instances that start in the same millisecond.
    pub fn new(wall_ms: u64, random: u32) -> Incarnation {
        let random_bits = u64::from(random) & ((1 << RANDOM_BITS) - 1);
        Incarnation((wall_ms << RANDOM_BITS) | random_bits)
    }

    /// Returns the incarnation as a number.
    pub fn to_u64(self) -> u64 {
        self.0
    }

    /// Returns the incarnation with the number `number`.
    pub fn from_u64(number: u64) -> Incarnation {
        Incarnation(number)
    }
}
