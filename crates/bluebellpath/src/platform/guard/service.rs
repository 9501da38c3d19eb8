//! Attempts of requests to one service of the platform.

use std::{cell::Cell, time::Duration};

use bluebellpath_runtime::{Instant, clock};

use super::{
    Config, Counters, breaker::CircuitBreaker, rate_limiter::RateLimiter, retry::RetryBudget,
};
use crate::platform::{Error, Fault, Step};

/// Rate limits, retry budget and circuit breaker of one service.
pub(super) struct Service {
    name: &'static str,
    config: Config,
    reads: RateLimiter,
    writes: RateLimiter,
    writes_per_s: f64,
    breaker: CircuitBreaker,
    retry: RetryBudget,
    counters: Cell<Counters>,
}

/// State of a request across its attempts.
pub(super) struct RequestState {
    started: Instant,
    backoff: Duration,
    /// True if a failed attempt may have taken effect.
    pub(super) may_have_applied: bool,
}

impl RequestState {
    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, error: &Error) {
        self.may_have_applied |= error.fault != Fault::Refused;
    }
}

impl Service {
    pub(super) fn new(
        name: &'static str,
        config: &Config,
        writes_per_s: f64,
        seed: u64,
    ) -> Service {
        let service = Service {
            name,
            config: *config,
            reads: RateLimiter::new(1.0, config.burst),
            writes: RateLimiter::new(1.0, config.burst),
            writes_per_s,
            breaker: CircuitBreaker::new(config),
            retry: RetryBudget::new(config, seed),
            counters: Cell::default(),
        };
        service.share(config.entries);
        service
    }

    /// Sets the rate limits to an equal share among `entries` entry instances.
    pub(super) fn share(&self, entries: usize) {
        let entries = entries.max(1) as f64;
        self.reads.set_rate(self.config.reads_per_s / entries);
        self.writes.set_rate(self.writes_per_s / entries);
    }

    pub(super) fn counters(&self) -> Counters {
        self.counters.get()
    }

    pub(super) fn is_open(&self) -> bool {
        self.breaker.is_open()
    }

    /// Counts a new request and returns its state.
    pub(super) fn begin(&self) -> RequestState {
        self.retry.deposit();
        self.count(|it| it.requests += 1);
        RequestState {
            started: clock::now(),
            backoff: self.config.backoff,
            may_have_applied: false,
        }
    }

    /// Makes one attempt once the rate limit allows it.
    pub(super) async fn attempt<T>(
        &self,
        step: Step,
        attempt: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let rate_limiter = match step {
            Step::Commit | Step::Put => &self.writes,
            Step::Read | Step::Scan | Step::Get | Step::List | Step::Instances => &self.reads,
        };
        let Some(wait) = rate_limiter.reserve(clock::now(), self.config.max_queue_time) else {
            self.count(|it| it.rate_limited += 1);
            return Err(self.refusal(step, "too many requests wait"));
        };
        if !wait.is_zero() {
            clock::sleep(wait).await;
        }
        if !self.breaker.allows_request(clock::now()) {
            self.count(|it| it.circuit_open += 1);
            return Err(self.refusal(step, "the circuit is open"));
        }
        self.count(|it| it.attempts += 1);
        let answer = clock::timeout(self.config.attempt_timeout, attempt).await;
        let answer = answer.unwrap_or_else(|| Err(self.timed_out(step)));
        match &answer {
            Ok(_) => self.breaker.record_success(),
            Err(_) => {
                self.breaker.record_failure(clock::now());
                self.count(|it| it.failures += 1);
            }
        }
        answer
    }

    /// Waits for the backoff before a retry; false if the request must not be
    /// retried.
    pub(super) async fn wait_for_retry(&self, state: &mut RequestState) -> bool {
        let expired = clock::now().saturating_since(state.started) >= self.config.retry_window;
        if expired || self.breaker.is_open() || !self.retry.withdraw() {
            return false;
        }
        state.backoff = self.retry.next_backoff(state.backoff);
        clock::sleep(state.backoff).await;
        self.count(|it| it.retries += 1);
        true
    }

    /// Error of the whole request: `Unknown` if any attempt may have taken effect.
    pub(super) fn fail(&self, state: &RequestState, error: Error) -> Error {
        if !state.may_have_applied {
            return error;
        }
        self.count(|it| it.unknown += 1);
        Error {
            fault: Fault::Unknown,
            ..error
        }
    }

    fn refusal(&self, step: Step, detail: &str) -> Error {
        self.error(step, Fault::Refused, detail)
    }

    fn timed_out(&self, step: Step) -> Error {
        self.error(step, Fault::Unknown, "timed out")
    }

    fn error(&self, step: Step, fault: Fault, detail: &str) -> Error {
        Error {
            step,
            peer: self.name.to_owned(),
            fault,
            detail: detail.to_owned(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }
}
