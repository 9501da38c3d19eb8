/*!
Until when an owner may act for the one that waits for a run.

The frontend of a run gives it up some time after it has lost the owner, and then
runs the task again. A caller that is not answered submits the whole job again. The
owner may hear of neither: it was suspended, or its connection fell silent, or the
frontend itself stands still. So its permission to start the run and to renew its
lease ends by its own clocks, a fixed time after a moment at which the waiting side
certainly still waited.

The arrival of a message is no such moment, as the message may have waited in a
buffer or behind a cut for any time. A message of a frontend therefore names the
least that the owner's clocks can have shown when it was sent: a reading that the
frontend has received, and the time since then. For the callers of the instance
itself, the moment is the one up to which everything that had arrived has been read.
*/

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::messages::ClockReading;

/// Maximum relative error of the clock rate of a target.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Margin on the end of a lease for the transit time of a request.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Shortest lease with which a task is started: a poll and its transit.
pub const MIN_START_LEASE: Duration = Duration::from_millis(300);

/// Shortest time after which a caller without an answer submits its job again.
pub const RESUBMISSION_DELAY: Duration = Duration::from_millis(1_300);

/// Longest time after which an instance that is not suspended has read that a caller has
/// left.
const READ_TIME: Duration = Duration::from_millis(50);

/// Longest time from the request of a lease of `duration` to its end.
pub fn longest_lease(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT) + LEASE_MARGIN
}

/// Longest lease that has certainly ended `time_left` after its request.
pub fn lease_within(time_left: Duration) -> Duration {
    let duration = time_left.saturating_sub(LEASE_MARGIN);
    duration.div_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT)
}

/// Last time at which the other side certainly waited for its runs, by the clocks of
/// this instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Contact(Rc<Cell<ClockReading>>);

impl Contact {
    /// Contact to one that waits now.
    pub fn new() -> Contact {
        Contact(Rc::new(Cell::new(ClockReading::now())))
    }

    /// Records that the other side still waited when the clocks showed `reading`.
    /// Readings that are still to come do not count.
    pub fn confirm(&self, reading: ClockReading) {
        let (now, last) = (ClockReading::now(), self.0.get());
        let is_past = reading.monotonic_ms <= now.monotonic_ms;
        if is_past && reading.monotonic_ms > last.monotonic_ms {
            self.0.set(reading);
        }
    }

    /// Time since the last confirmation, on the clock on which more has passed.
    pub fn age(&self) -> Duration {
        self.0.get().age()
    }
}

/// Permission to start a run and to keep it alive.
#[derive(Clone, Debug)]
pub struct Permission {
    contact: Contact,
    term: Duration,
}

impl Permission {
    /// Permission for a run that is given up no earlier than `give_up_time` after a
    /// time at which the other side waited. Its job may be submitted again before.
    pub fn new(contact: Contact, give_up_time: Duration) -> Permission {
        let term = give_up_time.min(RESUBMISSION_DELAY - READ_TIME);
        Permission { contact, term }
    }

    /// Longest lease up to `lease` that the run may get now. It ends before the run may
    /// be given up or its job submitted again.
    pub fn longest_lease(&self, lease: Duration) -> Duration {
        let time_left = self.term.saturating_sub(self.contact.age());
        lease.min(lease_within(time_left))
    }

    /// Permission that never ends, for an injected fault.
    pub(crate) fn without_end() -> Permission {
        Permission {
            contact: Contact::default(),
            term: Duration::MAX,
        }
    }

    /// Time since the other side certainly waited.
    pub fn contact_age(&self) -> Duration {
        self.contact.age()
    }

    /// Whether the run may be started now.
    pub fn allows_start(&self) -> bool {
        self.longest_lease(MIN_START_LEASE) == MIN_START_LEASE
    }
}
