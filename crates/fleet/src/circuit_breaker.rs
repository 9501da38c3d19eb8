/*!
Trust in a target after trouble.

Load pattern: a target that fails everything at once has the most room of all
and would draw every task. Faults in a row shut a target out for a time that
doubles; one good run ends that. A target that comes back from a pause gets a
single task first.

A target may also take tasks and never end them. A run that takes far longer
than is expected there counts as a fault and is stopped, so that its task can
run elsewhere before its deadline.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

/// Faults in a row before a target is avoided; one may be the task's own.
const TOLERATED: u32 = 1;

/// First pause of a target, a few run times of a short task.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause; a target that recovers is back within it.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Times the expected run time after which a run is overdue; declared times are
/// off by up to three.
const OVERDUE: u32 = 4;

/// Shortest excess of a run that is overdue, a few looks.
const OVERDUE_SLACK: Duration = Duration::from_millis(300);

/// True when a run of which `expected` was expected will probably never end.
pub fn is_overdue(expected: Duration, elapsed: Duration) -> bool {
    elapsed > expected * OVERDUE + OVERDUE_SLACK
}

/// Trust in one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    faults: u32,
    paused_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Notes a run that did its work.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Notes a fault at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        self.faults += 1;
        let Some(beyond) = self.faults.checked_sub(TOLERATED + 1) else {
            return;
        };
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(beyond.min(8));
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// True while nothing is to be started there.
    pub fn is_open(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }

    /// True when its last runs did their work.
    pub fn is_closed(&self) -> bool {
        self.faults <= TOLERATED
    }
}
