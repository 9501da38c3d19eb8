/*!
Circuit breaker of a target.

A target that fails every task immediately always has the most free capacity and
would attract all tasks. Consecutive failures therefore open the circuit breaker
for a time that doubles with each further failure. One successful run closes it.
Once the time has passed the breaker is half-open: the target gets a single task
first.

A target may also accept tasks and never finish them. A run that is stopped because
it is overdue ([`overdue`](crate::overdue)) counts as a failure.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

/// Consecutive failures that leave the breaker closed. A single failure may be
/// caused by the task itself.
const TOLERATED_FAILURES: u32 = 1;

/// Shortest time for which the breaker is open: a few run times of a short task.
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);

/// Longest time for which the breaker is open. Bounds how long a target that has
/// recovered stays unused.
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);

/// Circuit breaker of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Records a successful run, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a failure at `now`, which may open the breaker.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        let Some(excess) = self.failures.checked_sub(TOLERATED_FAILURES + 1) else {
            return;
        };
        let open_time = MIN_OPEN_TIME * 2_u32.saturating_pow(excess.min(8));
        self.open_until = Some(now + open_time.min(MAX_OPEN_TIME));
    }

    /// Whether the breaker is open, so that nothing may be started on the target.
    pub fn is_open(&self, now: Instant) -> bool {
        self.open_until.is_some_and(|it| now < it)
    }

    /// Whether the breaker is closed. It is half-open when neither closed nor open.
    pub fn is_closed(&self) -> bool {
        self.failures <= TOLERATED_FAILURES
    }
}
