/*!
How long another owner may keep the runs of a target alive unnoticed.

An owner that gets no answer from a target gives up the runs there when their lease
has ended. The next owner of the target renews that lease, until it has stopped what
nobody claims. There is no next owner as long as all instances are heard that would
take the target over, without a break since the target last confirmed its owner. What
is heard after a break, such as a suspension of the process, says nothing about the
time before.
*/

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, suspension::Detector};

/// Time in which a new owner stops a run after its claim deadline.
pub const STOP_ALLOWANCE: Duration = Duration::from_millis(150);

/// Time since which a condition has held at every check.
#[derive(Clone, Copy, Debug, Default)]
pub struct Streak {
    since: Option<Instant>,
}

impl Streak {
    /// Records a check, and returns the start of the streak. It starts over if the
    /// process was suspended, which runs since `running_since`.
    pub fn check(&mut self, holds: bool, now: Instant, running_since: Instant) -> Option<Instant> {
        if !holds || self.since.is_some_and(|it| it < running_since) {
            self.since = None;
        }
        if holds {
            self.since.get_or_insert(now);
        }
        self.since
    }
}

/// What an instance knows of those that may take its targets over.
#[derive(Clone, Debug)]
pub struct Hearing {
    /// Failure domain of the instance.
    pub domain: Rc<str>,
    /// Time since which all of them have been heard.
    pub heard_since: Option<Instant>,
    /// Suspensions of the process.
    pub suspensions: Rc<Detector>,
}

/// Timing of the owners.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after which a new owner stops a run that nobody claims.
    pub claim_timeout: Duration,
    /// Longest time from the renewal of a lease to its end.
    pub lease: Duration,
}

impl Limits {
    /// Longest time for which another owner may keep runs alive, from the end of the
    /// lease that the last owner has granted. That one was confirmed as the owner of a
    /// target in `domain` at `confirmed_at`.
    pub fn unnoticed_time(
        &self,
        hearing: Option<&Hearing>,
        domain: &str,
        confirmed_at: Instant,
    ) -> Duration {
        let running_since = hearing.map(|it| it.suspensions.running_since());
        let heard_since = hearing.filter(|it| *it.domain == *domain);
        let heard_since = heard_since.and_then(|it| it.heard_since);
        let was_suspended = heard_since < running_since;
        if !was_suspended && heard_since.is_some_and(|it| it <= confirmed_at) {
            return Duration::ZERO;
        }
        let stop_time = self.claim_timeout + STOP_ALLOWANCE;
        // The next owner may itself have lost the target before it stopped the runs. An
        // owner that is at work learns of its successor at its next poll, and so has
        // granted a lease about as long.
        match running_since.is_some_and(|it| it <= confirmed_at) {
            true => stop_time,
            false => stop_time + self.lease,
        }
    }
}
