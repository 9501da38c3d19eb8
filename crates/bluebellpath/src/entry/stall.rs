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
const PERIOD: Duration = Duration::from_millis(50);

/// Time between two checks above which the process counts as stalled: a few check
/// intervals, and less than any caller waits before it repeats a request.
const PAUSE: Duration = Duration::from_millis(250);

/// Time after a stall in which requests may still come from buffers.
const SETTLE: Duration = Duration::from_millis(200);

/// Detector of process stalls.
pub(super) struct Stall {
    looked: Cell<Instant>,
    ended: Cell<Option<Instant>>,
}

impl Stall {
    pub(super) fn new() -> Stall {
        Stall {
            looked: Cell::new(clock::now()),
            ended: Cell::new(None),
        }
    }

    /// True if a request that is read now may have been sent before the end of a
    /// stall.
    pub(super) fn is_recent(&self) -> bool {
        self.look();
        let ended = self.ended.get();
        ended.is_some_and(|it| clock::now() - it <= SETTLE)
    }

    fn look(&self) {
        let now = clock::now();
        if now - self.looked.replace(now) > PAUSE {
            self.ended.set(Some(now));
        }
    }
}

/// Checks the clock at a fixed interval; never returns.
pub(super) async fn watch(state: Rc<State>) {
    loop {
        clock::sleep(PERIOD).await;
        state.stall.look();
    }
}
