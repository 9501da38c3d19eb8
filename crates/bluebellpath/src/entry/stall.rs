/*!
Requests that were received before a stall of the process.

After a process was suspended, its receive buffers may contain peer requests that
are as old as the stall. The sender may have forwarded such a request to another
instance since then, and the caller may have been told that no task ran. Such
requests are rejected; a sender that still waits for the answer sends the request
again.
*/

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::{clock, suspension::Detector};

use super::state::State;

/// Interval between checks of the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a stall in which requests may still come from buffers.
const STALE_REQUEST_WINDOW: Duration = Duration::from_millis(200);

/// True if a request that is read now may have been sent before the end of a stall.
pub(super) fn stalled_recently(suspensions: &Detector) -> bool {
    let last = suspensions.last();
    last.is_some_and(|it| clock::now() - it.resumed_at <= STALE_REQUEST_WINDOW)
}

/// Checks the clock at a fixed interval; never returns.
pub(super) async fn run(state: Rc<State>) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        state.suspensions.last();
    }
}
