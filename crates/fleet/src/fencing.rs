/*!
Fencing tokens.

A token holds wall time in its high bits, then the instance, then a count of
raises, so that tokens of different instances never meet and a later owner's
token is the higher one without any agreement. Where clocks disagree, an owner
that is refused climbs past the unknown token in growing steps, for that target
alone: a token far ahead of the clock makes the next owner climb too.

An owner raises its own token to void a start that got no answer. A raise stays
below every token that another owner may have used since, so it never takes a
target back from one unawares.
*/

/// Wall time at which tokens begin, in milliseconds: 2025-01-01. Tokens stay
/// below 2^53, which every reader of JSON keeps exact, for 17 years from then.
const EPOCH_MS: u64 = 1_735_689_600_000;

/// Bits that tell instances apart.
const INSTANCE_BITS: u32 = 10;

/// Bits that count raises.
const RAISE_BITS: u32 = 4;

/// Bits below the wall time.
const LOW_BITS: u32 = INSTANCE_BITS + RAISE_BITS;

/// Source of one instance's fencing tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenSource {
    instance: u64,
}

impl TokenSource {
    /// Source for the life `incarnation` of the instance `name`; an earlier life
    /// may have climbed ahead of the clock.
    pub fn new(name: &str, incarnation: u64) -> TokenSource {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.to_le_bytes());
        let hash = hasher.update(name.as_bytes()).finalize();
        let mut low = [0; 8];
        low.copy_from_slice(&hash.as_bytes()[..8]);
        TokenSource {
            instance: u64::from_le_bytes(low) & ((1 << INSTANCE_BITS) - 1),
        }
    }

    /// Token for a new hold at the wall time `wall_ms`, at least `ahead_ms`
    /// above the token `above`.
    pub fn next(self, wall_ms: u64, above: u64, ahead_ms: u64) -> u64 {
        let least_ms = (above >> LOW_BITS) + ahead_ms;
        let time = wall_ms.saturating_sub(EPOCH_MS).max(least_ms);
        (time << LOW_BITS) | (self.instance << RAISE_BITS)
    }
}

/// Token that voids orders under `token` and is below those of later owners;
/// `None` once it can't be raised any more.
pub fn increment(token: u64) -> Option<u64> {
    let raised = token + 1;
    (raised >> RAISE_BITS == token >> RAISE_BITS).then_some(raised)
}
