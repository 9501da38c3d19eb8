//! Faults of the platform's services.

use std::{cell::Cell, time::Duration};

use bluebellpath::platform::{Error, Fault, Step};
use bluebellpath_runtime::clock;

use crate::dice;

/// Faults of one service, switched by a test.
pub struct Faults {
    /// Refuses every request.
    pub down: Cell<bool>,
    /// Answers that get lost after the request took effect.
    pub lose_answers: Cell<u32>,
    /// Answers that are turned into refusals after the request took effect,
    /// which no platform may do: for tests that prove a checker.
    pub deny_answers: Cell<u32>,
    /// Answers out of a thousand that get lost, picked by [`Faults::seed`].
    pub lose_permille: Cell<u32>,
    /// State of the generator that picks lost answers.
    pub seed: Cell<u64>,
    /// Requests that were refused or whose answers got lost.
    pub struck: Cell<u64>,
    /// Time that a read takes.
    pub read: Cell<Duration>,
    /// Time that a write takes.
    pub write: Cell<Duration>,
    /// Requests so far.
    pub requests: Cell<u64>,
}

impl Default for Faults {
    /// No faults; reads take 1 ms, synced writes 5 ms.
    fn default() -> Faults {
        Faults {
            down: Cell::new(false),
            lose_answers: Cell::new(0),
            deny_answers: Cell::new(0),
            lose_permille: Cell::new(0),
            seed: Cell::new(1),
            struck: Cell::new(0),
            read: Cell::new(Duration::from_millis(1)),
            write: Cell::new(Duration::from_millis(5)),
            requests: Cell::new(0),
        }
    }
}

impl Faults {
    /// Lets a request in after half of its time, unless the service is down.
    pub(crate) async fn enter(&self, step: Step) -> Result<(), Error> {
        self.requests.set(self.requests.get() + 1);
        clock::sleep(self.time(step) / 2).await;
        if self.down.get() {
            self.struck.set(self.struck.get() + 1);
            return Err(error(step, Fault::Refused, "service is down"));
        }
        Ok(())
    }

    /// Lets an answer out after the other half, unless it gets lost.
    pub(crate) async fn leave<T>(&self, step: Step, answer: T) -> Result<T, Error> {
        clock::sleep(self.time(step) / 2).await;
        if self.loses() {
            self.struck.set(self.struck.get() + 1);
            return Err(error(step, Fault::Unknown, "answer lost"));
        }
        let deny = self.deny_answers.get();
        if deny > 0 && step == Step::Commit {
            self.deny_answers.set(deny - 1);
            return Err(error(step, Fault::Refused, "answer denied"));
        }
        Ok(answer)
    }

    fn loses(&self) -> bool {
        let lose = self.lose_answers.get();
        self.lose_answers.set(lose.saturating_sub(1));
        lose > 0 || dice::roll(&self.seed, 1000) < u64::from(self.lose_permille.get())
    }

    fn time(&self, step: Step) -> Duration {
        match step {
            Step::Commit | Step::Put => self.write.get(),
            Step::Read | Step::Scan | Step::Get | Step::List | Step::Instances => self.read.get(),
        }
    }
}

fn error(step: Step, fault: Fault, detail: &str) -> Error {
    Error {
        step,
        peer: "stand-in".to_owned(),
        fault,
        detail: detail.to_owned(),
    }
}
