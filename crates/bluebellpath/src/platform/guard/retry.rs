//! RetryBudget budget and backoff.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Config;

/// RetryBudget budget of an instance, and the backoff before each retry.
pub(super) struct RetryBudget {
    tokens: Cell<f64>,
    ratio: f64,
    burst: f64,
    backoff: Duration,
    max_backoff: Duration,
    rng: RefCell<StdRng>,
}

impl RetryBudget {
    /// Full budget; `seed` seeds the jitter.
    pub(super) fn new(config: &Config, seed: u64) -> RetryBudget {
        RetryBudget {
            tokens: Cell::new(config.retry_burst),
            ratio: config.retry_ratio,
            burst: config.retry_burst,
            backoff: config.backoff,
            max_backoff: config.backoff_max,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Adds the share of a retry that each new request earns.
    pub(super) fn deposit(&self) {
        self.tokens
            .set((self.tokens.get() + self.ratio).min(self.burst));
    }

    /// Takes a retry out of the budget; false if none is left.
    pub(super) fn withdraw(&self) -> bool {
        let left = self.tokens.get() - 1.0;
        if left < 0.0 {
            return false;
        }
        self.tokens.set(left);
        true
    }

    /// Backoff that follows one of `last`, with decorrelated jitter.
    pub(super) fn next_backoff(&self, last: Duration) -> Duration {
        let low = self.backoff.as_micros() as u64;
        let high = (last.as_micros() as u64 * 3).max(low + 1);
        let micros = self.rng.borrow_mut().random_range(low..high);
        Duration::from_micros(micros).min(self.max_backoff)
    }
}
