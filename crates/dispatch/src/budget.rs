//! Retry budget.

/// Largest number of retries that can be saved up.
const CAPACITY: f64 = 50.0;

/// Budget of retries, which first attempts refill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget(f64);

impl Default for RetryBudget {
    /// Full budget.
    fn default() -> RetryBudget {
        RetryBudget(CAPACITY)
    }
}

impl RetryBudget {
    /// Records an assignment. `attempts` counts the task's assignments with this
    /// one; a first one adds `permille` thousandths of a retry.
    pub(crate) fn record_attempt(&mut self, attempts: u32, permille: u32) {
        if attempts == 1 {
            self.0 = (self.0 + f64::from(permille) / 1000.0).min(CAPACITY);
        } else {
            self.0 -= 1.0;
        }
    }

    /// Returns true if a retry is allowed.
    pub(crate) fn allows_retry(&self) -> bool {
        self.0 >= 1.0
    }
}
