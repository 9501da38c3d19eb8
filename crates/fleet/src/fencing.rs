/*!
Fencing tokens.

A token consists of the wall time in the high bits, a hash of the instance, and a
counter of increments in the low bits. Tokens of different instances are thus
distinct, and a later owner has the higher token without any coordination. If
clocks disagree, an owner whose token is rejected increases it in growing steps
until it exceeds the unknown token. It does so for that target only, because a
token far ahead of the clock forces the next owner to do the same.

An owner increments its own token to invalidate a start request that was not
answered. The result stays below every token that another owner may have used
since, so an owner never takes a target back from its successor by accident.
*/

/// Epoch of the wall time in tokens, in Unix milliseconds: 2025-01-01. Tokens
/// stay below 2^53, the range in which all JSON parsers are exact, for 17 years
/// from then.
const EPOCH_MS: u64 = 1_735_689_600_000;

/// Number of bits that identify the instance.
const INSTANCE_BITS: u32 = 10;

/// Number of bits that count increments.
const INCREMENT_BITS: u32 = 4;

/// Number of bits below the wall time.
const NON_TIME_BITS: u32 = INSTANCE_BITS + INCREMENT_BITS;

/// Creates the fencing tokens of one instance.
#[derive(Clone, Copy, Debug)]
pub struct TokenSource {
    instance: u64,
}

impl TokenSource {
    /// Source of tokens for one incarnation of the instance `name`. Incarnations
    /// have different tokens because an earlier one may have used tokens ahead
    /// of the clock.
    pub fn new(name: &str, incarnation: u64) -> TokenSource {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.to_le_bytes());
        let hash = hasher.update(name.as_bytes()).finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        TokenSource {
            instance: u64::from_le_bytes(prefix) & ((1 << INSTANCE_BITS) - 1),
        }
    }

    /// Token for taking over a target at the wall time `wall_ms`. Its time is at
    /// least `step_ms` milliseconds later than that of the token `previous`.
    pub fn next(self, wall_ms: u64, previous: u64, step_ms: u64) -> u64 {
        let min_ms = (previous >> NON_TIME_BITS) + step_ms;
        let time_ms = wall_ms.saturating_sub(EPOCH_MS).max(min_ms);
        (time_ms << NON_TIME_BITS) | (self.instance << INCREMENT_BITS)
    }
}

/// Next token, which invalidates requests sent with `token` and is below the
/// tokens of later owners. `None` if the counter is exhausted.
pub fn increment(token: u64) -> Option<u64> {
    let incremented = token + 1;
    (incremented >> INCREMENT_BITS == token >> INCREMENT_BITS).then_some(incremented)
}
