//! Rate at which work arrives.

use bluebellpath_runtime::Instant;

/// Time constant of the exponential decay, in seconds.
const WINDOW: f64 = 8.0;

/// Exponentially decaying average of the rate at which work arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ArrivalRate {
    sum: f64,
    updated: Instant,
}

impl ArrivalRate {
    /// Adds work, in nominal seconds.
    pub(crate) fn add(&mut self, work: f64, now: Instant) {
        self.sum = self.sum * decay(self.updated, now) + work;
        self.updated = now;
    }

    /// Nominal seconds of work per second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.sum * decay(self.updated, now) / WINDOW
    }
}

fn decay(from: Instant, to: Instant) -> f64 {
    (-(to - from).as_secs_f64() / WINDOW).exp()
}
