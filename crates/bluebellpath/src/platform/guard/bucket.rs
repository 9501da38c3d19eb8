//! Rate limit with a burst.

use std::{cell::Cell, time::Duration};

use bluebellpath_runtime::Instant;

/// Rate limit with a burst, as the time at which the next request is due.
///
/// A request takes the next free turn, so that waiting ones keep their order
/// without a queue of their own.
pub(super) struct Bucket {
    interval: Cell<Duration>,
    burst: f64,
    due: Cell<Instant>,
}

impl Bucket {
    /// Full bucket of `burst` requests that fills at `per_s` a second.
    pub(super) fn new(per_s: f64, burst: f64) -> Bucket {
        let bucket = Bucket {
            interval: Cell::default(),
            burst,
            due: Cell::default(),
        };
        bucket.set_rate(per_s);
        bucket
    }

    /// Changes the rate from now on.
    pub(super) fn set_rate(&self, per_s: f64) {
        self.interval.set(Duration::from_secs_f64(1.0 / per_s));
    }

    /// Time until the next turn, which is taken unless it is beyond `limit`.
    pub(super) fn take(&self, now: Instant, limit: Duration) -> Option<Duration> {
        let interval = self.interval.get();
        let slack = interval.mul_f64(self.burst - 1.0);
        let due = self.due.get().max(now);
        let wait = due.saturating_since(now).saturating_sub(slack);
        if wait > limit {
            return None;
        }
        self.due.set(due + interval);
        Some(wait)
    }
}
