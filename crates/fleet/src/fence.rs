/*!
Fencing tokens.

A token holds wall time in its high bits and the instance in its low ones, so
that tokens of different instances never meet and a later owner's token is the
higher one without any agreement. Where clocks disagree, an owner that is
refused climbs past the unknown token in growing steps.
*/

/// Bits that tell instances apart.
const INSTANCE_BITS: u32 = 12;

/// First step past an unknown token, in milliseconds of wall time.
const FIRST_CLIMB_MS: u64 = 1_000;

/// Source of one instance's fencing tokens.
#[derive(Debug)]
pub struct Source {
    instance: u64,
    last: u64,
    climb_ms: u64,
}

impl Source {
    /// Source for the instance `name`.
    pub fn new(name: &str) -> Source {
        let hash = blake3::hash(name.as_bytes());
        let mut low = [0; 8];
        low.copy_from_slice(&hash.as_bytes()[..8]);
        Source {
            instance: u64::from_le_bytes(low) & ((1 << INSTANCE_BITS) - 1),
            last: 0,
            climb_ms: FIRST_CLIMB_MS,
        }
    }

    /// Token above all that this source gave, at the wall time `wall_ms`.
    pub fn next(&mut self, wall_ms: u64) -> u64 {
        let now = (wall_ms << INSTANCE_BITS) | self.instance;
        self.last = now.max(self.last + (1 << INSTANCE_BITS));
        self.last
    }

    /// Raises the next token after a fresh one was refused.
    pub fn climb(&mut self) {
        self.last += self.climb_ms << INSTANCE_BITS;
        self.climb_ms = self.climb_ms.saturating_mul(2);
    }

    /// Forgets earlier refusals once a token was taken.
    pub fn accepted(&mut self) {
        self.climb_ms = FIRST_CLIMB_MS;
    }
}
