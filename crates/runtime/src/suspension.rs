/*!
Suspensions of the process.

A process that was stopped, or got no processor for long, goes on with its timers.
What arrived meanwhile is read after the first of them have expired. Until then,
silence since the suspension began says nothing about the others.
*/

use std::{cell::Cell, time::Duration};

use crate::clock::{self, Instant};

/// Time between two checks after which the process must have been suspended or
/// starved.
const THRESHOLD: Duration = Duration::from_millis(200);

/// Time for which the process was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspension {
    /// When the process had been resumed.
    pub resumed_at: Instant,
    /// Time since the check before.
    pub duration: Duration,
}

/// Detects that the process was suspended, by either clock.
#[derive(Debug)]
pub struct Detector {
    checked_at: Cell<(Instant, u64)>,
    last: Cell<Option<Suspension>>,
}

impl Default for Detector {
    fn default() -> Detector {
        Detector::new()
    }
}

impl Detector {
    /// Creates a detector. It has to be asked several times a second.
    pub fn new() -> Detector {
        Detector {
            checked_at: Cell::new((clock::now(), clock::wall())),
            last: Cell::default(),
        }
    }

    /// Returns the last suspension.
    pub fn last(&self) -> Option<Suspension> {
        let (now, wall_ms) = (clock::now(), clock::wall());
        let (checked_at, checked_wall_ms) = self.checked_at.replace((now, wall_ms));
        let wall_duration = Duration::from_millis(wall_ms.saturating_sub(checked_wall_ms));
        let duration = (now - checked_at).max(wall_duration);
        if duration > THRESHOLD {
            self.last.set(Some(Suspension {
                resumed_at: now,
                duration,
            }));
        }
        self.last.get()
    }

    /// Time since which the process has not been suspended.
    pub fn running_since(&self) -> Instant {
        self.last()
            .map_or_else(Instant::default, |it| it.resumed_at)
    }
}
