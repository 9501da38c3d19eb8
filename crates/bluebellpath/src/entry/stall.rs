/*!
Detection of process stalls.

After a process was suspended, its receive buffers may contain peer requests that
are as old as the stall. The sender may have forwarded such a request to another
instance since then, and the caller may have been told that no task ran. Such
requests are rejected; a sender that still waits for the answer sends the request
again.
*/

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};

use super::state::State;

/// Interval between checks of the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks above which the process counts as stalled: a few check
/// intervals, and less than any caller waits before it repeats a request.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Time after a stall in which requests may still come from buffers.
const STALE_REQUEST_WINDOW: Duration = Duration::from_millis(200);

/// Detector of process stalls.
pub(super) struct StallDetector {
    last_check: Cell<Instant>,
    last_stall_end: Cell<Option<Instant>>,
}

impl StallDetector {
    pub(super) fn new() -> StallDetector {
        StallDetector {
            last_check: Cell::new(clock::now()),
            last_stall_end: Cell::new(None),
        }
    }

    /// True if a request that is read now may have been sent before the end of a
    /// stall.
    pub(super) fn stalled_recently(&self) -> bool {
        self.check();
        let last_stall_end = self.last_stall_end.get();
        last_stall_end.is_some_and(|it| clock::now() - it <= STALE_REQUEST_WINDOW)
    }

    fn check(&self) {
        let now = clock::now();
        if now - self.last_check.replace(now) > STALL_THRESHOLD {
            self.last_stall_end.set(Some(now));
        }
    }
}

/// Checks the clock at a fixed interval; never returns.
pub(super) async fn run(state: Rc<State>) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        state.stall_detector.check();
    }
}
