/*!
Times in which the process stood still.

A process that was suspended finds requests of peers in its buffers that are as
old as its pause. The peer may have sent such a request another way since, and its
caller been told that nothing ran, so it is turned down: whoever still waits for
it sends it again.
*/

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, clock};

use super::state::State;

/// Time between two looks at the clock.
const PERIOD: Duration = Duration::from_millis(50);

/// Time between two looks from which the process stood still; a few periods,
/// and less than any caller waits before it sends a request again.
const PAUSE: Duration = Duration::from_millis(250);

/// Time after a pause in which requests still come out of buffers.
const SETTLE: Duration = Duration::from_millis(200);

/// Last pause of this process.
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

    /// True when a request that is read now may come from before a pause.
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

/// Looks at the clock until the process ends.
pub(super) async fn watch(state: Rc<State>) {
    loop {
        clock::sleep(PERIOD).await;
        state.stall.look();
    }
}
