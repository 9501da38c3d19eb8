//! End of the permission to act for one that waits, as arithmetic.

use std::time::Duration;

use bluebellpath_fleet::{
    messages::ClockReading,
    permission::{
        Contact, MIN_START_LEASE, Permission, RESUBMISSION_DELAY, lease_within, longest_lease,
    },
};
use bluebellpath_runtime::{clock, runtime};

const LEASE: Duration = ms(900);

/// Time after which a frontend gives up the runs of a lost owner.
const GIVE_UP_TIME: Duration = ms(2_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whatever the time since the other side was heard, what is started or renewed ends
/// before that side may run the task again.
#[test]
fn a_run_ends_before_it_may_be_given_up() {
    let give_up_times = [GIVE_UP_TIME, RESUBMISSION_DELAY, ms(500), ms(100)];
    for give_up_time in give_up_times {
        for age_ms in 0..6_000 {
            runtime::paused(async move {
                let permission = Permission::new(Contact::new(), give_up_time);
                clock::sleep(ms(age_ms)).await;
                // Leases have whole milliseconds on the wire.
                let whole = |it: Duration| ms(u64::try_from(it.as_millis()).expect("short"));
                let lease = whole(permission.longest_lease(LEASE));
                let end = ms(age_ms) + longest_lease(lease);
                let repeated_at = give_up_time.min(RESUBMISSION_DELAY);
                assert!(lease.is_zero() || end <= repeated_at, "{age_ms} ms");
                assert!(lease <= LEASE);
                let is_long = lease >= MIN_START_LEASE;
                assert_eq!(permission.allows_start(), is_long, "{age_ms} ms");
            });
        }
    }
}

#[test]
fn the_longest_lease_within_a_time_ends_in_it() {
    for time_left_ms in 0..5_000 {
        let lease = lease_within(ms(time_left_ms));
        assert!(lease.is_zero() || longest_lease(lease) <= ms(time_left_ms) + ms(1));
        assert!(longest_lease(lease + ms(2)) > ms(time_left_ms));
    }
}

/// Reading of the clocks in a message of the other side.
struct Case {
    name: &'static str,
    /// Clocks of this instance, in milliseconds ahead of those at the start.
    reading_ms: (i64, i64),
    /// Time since the last confirmation afterwards.
    age_ms: u64,
}

const CASES: [Case; 5] = [
    Case {
        name: "recent",
        reading_ms: (900, 900),
        age_ms: 100,
    },
    Case {
        name: "older than the last one",
        reading_ms: (-500, -500),
        age_ms: 1_000,
    },
    Case {
        name: "to come: an estimate that ignores a suspension of the machine",
        reading_ms: (1_200, 1_200),
        age_ms: 1_000,
    },
    Case {
        name: "from before a suspension of the machine, in which only wall time advances",
        reading_ms: (900, -4_000),
        age_ms: 5_000,
    },
    Case {
        name: "with a wall clock that was set back since",
        reading_ms: (900, 60_000),
        age_ms: 100,
    },
];

#[test]
fn only_readings_of_the_past_confirm_that_the_other_side_waits() {
    for case in CASES {
        runtime::paused(async move {
            clock::sleep(ms(1_000)).await;
            let (start, contact) = (ClockReading::now(), Contact::new());
            clock::sleep(ms(1_000)).await;
            let (monotonic_ms, wall_ms) = case.reading_ms;
            contact.confirm(ClockReading {
                monotonic_ms: start.monotonic_ms.saturating_add_signed(monotonic_ms),
                wall_ms: start.wall_ms.saturating_add_signed(wall_ms),
            });
            assert_eq!(contact.age(), ms(case.age_ms), "{}", case.name);
        });
    }
}
