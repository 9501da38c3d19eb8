//! When and how often a request is made again.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Config;

/// Retries that an instance may still make, and the pauses before them.
pub(super) struct Retry {
    tokens: Cell<f64>,
    ratio: f64,
    burst: f64,
    pause: Duration,
    pause_max: Duration,
    rng: RefCell<StdRng>,
}

impl Retry {
    /// Full budget; `seed` picks the pauses.
    pub(super) fn new(config: &Config, seed: u64) -> Retry {
        Retry {
            tokens: Cell::new(config.retry_burst),
            ratio: config.retry_ratio,
            burst: config.retry_burst,
            pause: config.backoff,
            pause_max: config.backoff_max,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Takes in that a request is made for the first time.
    pub(super) fn earn(&self) {
        self.tokens
            .set((self.tokens.get() + self.ratio).min(self.burst));
    }

    /// Takes a retry out of the budget; false when there is none.
    pub(super) fn spend(&self) -> bool {
        let left = self.tokens.get() - 1.0;
        if left < 0.0 {
            return false;
        }
        self.tokens.set(left);
        true
    }

    /// Pause after one of `last`, with decorrelated jitter.
    pub(super) fn pause(&self, last: Duration) -> Duration {
        let low = self.pause.as_micros() as u64;
        let high = (last.as_micros() as u64 * 3).max(low + 1);
        let micros = self.rng.borrow_mut().random_range(low..high);
        Duration::from_micros(micros).min(self.pause_max)
    }
}
