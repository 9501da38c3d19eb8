/*!
Overdue runs: which of them to stop, so that their tasks can run elsewhere.

A target may accept tasks and never finish them. A few tasks also take several
times as long as declared, and stopping such a task on a target that works wastes
what it has run and starts it over elsewhere, with the same end. A run that is
overdue is therefore stopped only if nothing shows that the task itself is long:
a run that started on the target after it and has ended, or the same for an overdue
run of the same job on another target.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

/// Multiple of the estimated run time after which a run is overdue. Declared run
/// times are wrong by a factor of up to three.
const OVERDUE_FACTOR: u32 = 4;

/// Multiple of the estimated run time after which a task counts as stuck although
/// its target works. The longest tasks take seven times as long as usual, and half of
/// that again because of their declaration.
const STUCK_FACTOR: u32 = 12;

/// Time added to the limits for overdue runs: a few polls of the target.
const MARGIN: Duration = Duration::from_millis(300);

/// Run on a target.
#[derive(Clone, Copy, Debug)]
pub struct ActiveRun {
    /// Time at which it started.
    pub started_at: Instant,
    /// Estimated run time.
    pub expected: Duration,
    /// Latest start of a run that has succeeded on the target.
    pub last_done_start: Option<Instant>,
}

impl ActiveRun {
    /// Whether the run takes much longer than estimated although its target works.
    pub fn is_long(&self, now: Instant) -> bool {
        let target_works = self.last_done_start.is_some_and(|it| it > self.started_at);
        target_works && self.exceeds(OVERDUE_FACTOR, now)
    }

    /// Whether to stop the run. `job_is_long` tells whether another run of the same
    /// job is long.
    pub fn should_stop(&self, job_is_long: bool, now: Instant) -> bool {
        match job_is_long || self.is_long(now) {
            true => self.exceeds(STUCK_FACTOR, now),
            false => self.exceeds(OVERDUE_FACTOR, now),
        }
    }

    fn exceeds(&self, factor: u32, now: Instant) -> bool {
        now - self.started_at > self.expected * factor + MARGIN
    }
}
