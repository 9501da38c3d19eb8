/*!
Circuit breaker of one service.

The breaker is closed while requests succeed. It opens after a number of
consecutive failures: requests then fail at once and report that they were never
sent. After a while it lets one probe through. If the probe succeeds, the breaker
closes; if it fails, the breaker stays open for longer.
*/

use std::{cell::RefCell, time::Duration};

use bluebellpath_runtime::Instant;

use super::Config;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Instant, open_time: Duration },
    HalfOpen { since: Instant, open_time: Duration },
}

/// Circuit breaker of one service.
pub(super) struct CircuitBreaker {
    state: RefCell<State>,
    max_failures: u32,
    open_time: Duration,
    max_open_time: Duration,
    probe_timeout: Duration,
}

impl CircuitBreaker {
    /// Closed circuit breaker.
    pub(super) fn new(config: &Config) -> CircuitBreaker {
        CircuitBreaker {
            state: RefCell::new(State::Closed { failures: 0 }),
            max_failures: config.breaker_failures,
            open_time: config.breaker_pause,
            max_open_time: config.breaker_pause_max,
            probe_timeout: config.attempt_timeout * 2,
        }
    }

    /// True if a request may be sent now; it may become the probe.
    pub(super) fn allows_request(&self, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        match *state {
            State::Closed { .. } => true,
            State::Open { until, open_time } if now >= until => {
                *state = State::HalfOpen {
                    since: now,
                    open_time,
                };
                true
            }
            // If the task of a probe is dropped, the probe never reports its result.
            State::HalfOpen { since, open_time }
                if now.saturating_since(since) > self.probe_timeout =>
            {
                *state = State::HalfOpen {
                    since: now,
                    open_time,
                };
                true
            }
            State::Open { .. } | State::HalfOpen { .. } => false,
        }
    }

    /// True unless the breaker is closed.
    pub(super) fn is_open(&self) -> bool {
        !matches!(*self.state.borrow(), State::Closed { .. })
    }

    /// Records a request that was answered.
    pub(super) fn record_success(&self) {
        *self.state.borrow_mut() = State::Closed { failures: 0 };
    }

    /// Records a failed request.
    pub(super) fn record_failure(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        *state = match *state {
            State::Closed { failures } if failures + 1 < self.max_failures => State::Closed {
                failures: failures + 1,
            },
            State::Closed { .. } => State::Open {
                until: now + self.open_time,
                open_time: self.open_time,
            },
            State::HalfOpen { open_time, .. } => {
                let open_time = (open_time * 2).min(self.max_open_time);
                let until = now + open_time;
                State::Open { until, open_time }
            }
            // The request was sent before the breaker opened.
            open @ State::Open { .. } => open,
        };
    }
}
