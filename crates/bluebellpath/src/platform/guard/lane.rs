//! Way to one service of the platform.

use std::{cell::Cell, time::Duration};

use bluebellpath_runtime::{Instant, clock};

use super::{Config, Tally, breaker::Breaker, bucket::Bucket, retry::Retry};
use crate::platform::{Error, Fault, Step};

/// Way to one service: rates, retries, circuit breaker.
pub(super) struct Lane {
    name: &'static str,
    config: Config,
    reads: Bucket,
    writes: Bucket,
    writes_per_s: f64,
    breaker: Breaker,
    retry: Retry,
    tally: Cell<Tally>,
}

/// Attempts of one request so far.
pub(super) struct Course {
    began: Instant,
    pause: Duration,
    /// True once an attempt failed that may have taken effect.
    pub(super) in_doubt: bool,
}

impl Course {
    /// Takes in that an attempt failed.
    pub(super) fn failed(&mut self, error: &Error) {
        self.in_doubt |= error.fault != Fault::Refused;
    }
}

impl Lane {
    pub(super) fn new(name: &'static str, config: &Config, writes_per_s: f64, seed: u64) -> Lane {
        let lane = Lane {
            name,
            config: *config,
            reads: Bucket::new(1.0, config.burst),
            writes: Bucket::new(1.0, config.burst),
            writes_per_s,
            breaker: Breaker::new(config),
            retry: Retry::new(config, seed),
            tally: Cell::default(),
        };
        lane.share(config.entries);
        lane
    }

    /// Takes this instance's part of the rates, out of `entries` instances.
    pub(super) fn share(&self, entries: usize) {
        let entries = entries.max(1) as f64;
        self.reads.set_rate(self.config.reads_per_s / entries);
        self.writes.set_rate(self.writes_per_s / entries);
    }

    pub(super) fn tally(&self) -> Tally {
        self.tally.get()
    }

    pub(super) fn is_open(&self) -> bool {
        self.breaker.is_open()
    }

    /// Begins a request.
    pub(super) fn begin(&self) -> Course {
        self.retry.earn();
        self.count(|it| it.requests += 1);
        Course {
            began: clock::now(),
            pause: self.config.backoff,
            in_doubt: false,
        }
    }

    /// Makes one attempt when its turn comes.
    pub(super) async fn attempt<T>(
        &self,
        step: Step,
        attempt: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let bucket = match step {
            Step::Commit | Step::Put => &self.writes,
            Step::Read | Step::Scan | Step::Get | Step::List | Step::Instances => &self.reads,
        };
        let Some(wait) = bucket.take(clock::now(), self.config.queue) else {
            self.count(|it| it.crowded += 1);
            return Err(self.refusal(step, "too many requests wait"));
        };
        if !wait.is_zero() {
            clock::sleep(wait).await;
        }
        if !self.breaker.admits(clock::now()) {
            self.count(|it| it.broken += 1);
            return Err(self.refusal(step, "the circuit is open"));
        }
        self.count(|it| it.attempts += 1);
        let answer = clock::timeout(self.config.attempt, attempt).await;
        let answer = answer.unwrap_or_else(|| Err(self.timed_out(step)));
        match &answer {
            Ok(_) => self.breaker.succeeded(),
            Err(_) => {
                self.breaker.failed(clock::now());
                self.count(|it| it.failures += 1);
            }
        }
        answer
    }

    /// Waits before another attempt; false when there shall be none.
    pub(super) async fn again(&self, course: &mut Course) -> bool {
        let late = clock::now().saturating_since(course.began) >= self.config.retry_for;
        if late || self.breaker.is_open() || !self.retry.spend() {
            return false;
        }
        course.pause = self.retry.pause(course.pause);
        clock::sleep(course.pause).await;
        self.count(|it| it.retries += 1);
        true
    }

    /// Error at the end of `course`: in doubt once any attempt was.
    pub(super) fn end(&self, course: &Course, error: Error) -> Error {
        if !course.in_doubt {
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

    fn count(&self, change: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        change(&mut tally);
        self.tally.set(tally);
    }
}
