//! Rate limiter that allows bursts.

use std::{cell::Cell, time::Duration};

use bluebellpath_runtime::Instant;

/// Rate limiter that stores only the time of the next free send slot.
///
/// Each request reserves the next slot, so waiting requests keep their order
/// without an explicit queue.
pub(super) struct RateLimiter {
    interval: Cell<Duration>,
    burst: f64,
    next_slot: Cell<Instant>,
}

impl RateLimiter {
    /// Limiter of `per_s` requests a second with a full burst of `burst` requests.
    pub(super) fn new(per_s: f64, burst: f64) -> RateLimiter {
        let limiter = RateLimiter {
            interval: Cell::default(),
            burst,
            next_slot: Cell::default(),
        };
        limiter.set_rate(per_s);
        limiter
    }

    /// Changes the rate, in requests a second, for later reservations.
    pub(super) fn set_rate(&self, per_s: f64) {
        self.interval.set(Duration::from_secs_f64(1.0 / per_s));
    }

    /// Reserves the next slot and returns the wait until it; `None` if the wait
    /// would exceed `limit`.
    pub(super) fn reserve(&self, now: Instant, limit: Duration) -> Option<Duration> {
        let interval = self.interval.get();
        let burst_tolerance = interval.mul_f64(self.burst - 1.0);
        let next_slot = self.next_slot.get().max(now);
        let wait = next_slot
            .saturating_since(now)
            .saturating_sub(burst_tolerance);
        if wait > limit {
            return None;
        }
        self.next_slot.set(next_slot + interval);
        Some(wait)
    }
}
