/*!
Circuit breaker of one service.

Closed while requests succeed. After some failures in a row it opens: nothing is
sent, and requests fail at once with the truth that they were never sent. Then
one probe goes out; its success closes the circuit, its failure opens it for
longer.
*/

use std::{cell::RefCell, time::Duration};

use bluebellpath_runtime::Instant;

use super::Config;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Instant, pause: Duration },
    Probing { since: Instant, pause: Duration },
}

/// Circuit breaker of one service.
pub(super) struct Breaker {
    state: RefCell<State>,
    failures: u32,
    pause: Duration,
    pause_max: Duration,
    probe: Duration,
}

impl Breaker {
    /// Closed circuit.
    pub(super) fn new(config: &Config) -> Breaker {
        Breaker {
            state: RefCell::new(State::Closed { failures: 0 }),
            failures: config.breaker_failures,
            pause: config.breaker_pause,
            pause_max: config.breaker_pause_max,
            probe: config.attempt * 2,
        }
    }

    /// True when a request may be sent now.
    pub(super) fn admits(&self, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        match *state {
            State::Closed { .. } => true,
            State::Open { until, pause } if now >= until => {
                *state = State::Probing { since: now, pause };
                true
            }
            // A probe whose task was dropped never reports.
            State::Probing { since, pause } if now.saturating_since(since) > self.probe => {
                *state = State::Probing { since: now, pause };
                true
            }
            State::Open { .. } | State::Probing { .. } => false,
        }
    }

    /// True unless the circuit is closed.
    pub(super) fn is_open(&self) -> bool {
        !matches!(*self.state.borrow(), State::Closed { .. })
    }

    /// Takes in that a request got its answer.
    pub(super) fn succeeded(&self) {
        *self.state.borrow_mut() = State::Closed { failures: 0 };
    }

    /// Takes in that a request failed.
    pub(super) fn failed(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        *state = match *state {
            State::Closed { failures } if failures + 1 < self.failures => State::Closed {
                failures: failures + 1,
            },
            State::Closed { .. } => State::Open {
                until: now + self.pause,
                pause: self.pause,
            },
            State::Probing { pause, .. } => {
                let pause = (pause * 2).min(self.pause_max);
                let until = now + pause;
                State::Open { until, pause }
            }
            // Sent before the circuit opened.
            open @ State::Open { .. } => open,
        };
    }
}
