//! Small seeded generator for faults that strike at random.

use std::cell::Cell;

/// Next number below `sides` of the generator whose state is `seed`.
pub(crate) fn roll(seed: &Cell<u64>, sides: u64) -> u64 {
    // SplitMix64: any state is a good one, and a state is one word.
    seed.set(seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
    let mut mixed = seed.get();
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % sides.max(1)
}
