/*!
Fencing tokens.

A token consists of the wall time in the high bits, the [`Identity`] of the
process, and a counter of increments in the low bits. No two processes share an
identity, and a process never uses a time twice for the same target, so tokens
are distinct whatever the clocks show. A later owner usually has the higher token
without any coordination. If it doesn't, because clocks disagree or because it
follows within one unit of time, it increases the time of its token in growing
steps until it exceeds the unknown token. It does so for that target only,
because a token far ahead of the clock forces the next owner to do the same.

An owner increments its own token to invalidate a start request that was not
answered. The result differs from the token of any other owner in the bits above
the counter as before, so it stays below every token that another owner has used
since, and an owner never takes a target back from its successor by accident.
*/

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use crate::identity::{Identity, LIFE_BITS, NUMBER_BITS};

/// Epoch of the wall time in tokens, in Unix milliseconds: 2025-01-01. Tokens
/// stay below 2^53, the range in which all JSON parsers are exact, for 17 years
/// from then.
const EPOCH_MS: u64 = 1_735_689_600_000;

/// Unit of the time in tokens, in milliseconds.
const TIME_UNIT_MS: u64 = 128;

/// Number of bits that count increments.
const INCREMENT_BITS: u32 = 4;

/// Number of bits below the wall time.
const NON_TIME_BITS: u32 = NUMBER_BITS + LIFE_BITS + INCREMENT_BITS;

/// Creates the fencing tokens of one process.
#[derive(Debug)]
pub struct TokenSource {
    identity: Identity,
    /// Last token of this process for each target.
    last_tokens: RefCell<BTreeMap<Rc<str>, u64>>,
}

impl TokenSource {
    /// Source of tokens for the process with this identity.
    pub fn new(identity: Identity) -> TokenSource {
        TokenSource {
            identity,
            last_tokens: RefCell::default(),
        }
    }

    /// Token for taking over `target` at the wall time `wall_ms`. Its time is later
    /// than that of the last one for this target by at least `step_ms`.
    pub fn next(&self, target: &Rc<str>, wall_ms: u64, step_ms: u64) -> u64 {
        let mut last_tokens = self.last_tokens.borrow_mut();
        let step = step_ms.div_ceil(TIME_UNIT_MS).max(1);
        let min_time = last_tokens
            .get(target)
            .map_or(0, |it| (it >> NON_TIME_BITS) + step);
        let time = (wall_ms.saturating_sub(EPOCH_MS) / TIME_UNIT_MS).max(min_time);
        let token = (time << NON_TIME_BITS) | (self.identity.bits() << INCREMENT_BITS);
        last_tokens.insert(target.clone(), token);
        token
    }

    /// Forgets the tokens for targets that `is_listed` does not contain.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        self.last_tokens.borrow_mut().retain(|it, _| is_listed(it));
    }
}

/// Next token, which invalidates requests sent with `token` and is below the
/// tokens of later owners. `None` if the counter is exhausted.
pub fn increment(token: u64) -> Option<u64> {
    let incremented = token + 1;
    (incremented >> INCREMENT_BITS == token >> INCREMENT_BITS).then_some(incremented)
}
