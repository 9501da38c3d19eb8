/*!
Fencing tokens.

A token holds wall time in its high bits and the instance in its low ones, so
that tokens of different instances never meet and a later owner's token is the
higher one without any agreement. Where clocks disagree, an owner that is
refused climbs past the unknown token in growing steps, for that target alone:
a token far ahead of the clock makes the next owner climb too.
*/

/// Bits that tell instances apart.
const INSTANCE_BITS: u32 = 12;

/// Source of one instance's fencing tokens.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    instance: u64,
}

impl Source {
    /// Source for the life `incarnation` of the instance `name`; an earlier life
    /// may have climbed ahead of the clock.
    pub fn new(name: &str, incarnation: u64) -> Source {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.to_le_bytes());
        let hash = hasher.update(name.as_bytes()).finalize();
        let mut low = [0; 8];
        low.copy_from_slice(&hash.as_bytes()[..8]);
        Source {
            instance: u64::from_le_bytes(low) & ((1 << INSTANCE_BITS) - 1),
        }
    }

    /// Token at the wall time `wall_ms`, above the token `above`.
    pub fn next(self, wall_ms: u64, above: u64) -> u64 {
        let least_ms = (above >> INSTANCE_BITS) + 1;
        (wall_ms.max(least_ms) << INSTANCE_BITS) | self.instance
    }

    /// Token at least `ahead_ms` of wall time above the token `above`.
    pub fn climb(self, wall_ms: u64, above: u64, ahead_ms: u64) -> u64 {
        self.next(wall_ms, above.saturating_add(ahead_ms << INSTANCE_BITS))
    }
}
