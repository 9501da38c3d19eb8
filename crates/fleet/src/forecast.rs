/*!
Forecast of the room on a target.

While every target is busy, the moment at which a task can start depends on when
the runs that are there will end. Run times are only estimated, so a run that is
past its expected end counts as ending soon, not as already gone.
*/

use std::time::Duration;

use bluebellpath_runtime::Instant;

use crate::Resources;

/// Time after which a run that is past its expected end is expected to end.
const OVERRUN_ALLOWANCE: Duration = Duration::from_millis(20);

/// Run on a target, with the room that it will leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Resources that become free.
    pub resources: Resources,
    /// Expected end.
    pub expected_end: Instant,
}

impl Occupancy {
    /// Expected end as seen at `now`.
    fn end(&self, now: Instant) -> Instant {
        match self.expected_end > now {
            true => self.expected_end,
            false => now + OVERRUN_ALLOWANCE,
        }
    }
}

/// Returns the earliest time at which `required` fits, if nothing else starts before.
/// `None` if it exceeds the capacity.
pub fn time_to_fit(
    required: Resources,
    free: Resources,
    runs: &[Occupancy],
    now: Instant,
) -> Option<Instant> {
    let mut free = free;
    if required.fits_in(free) {
        return Some(now);
    }
    let mut runs = runs.to_vec();
    runs.sort_by_key(|it| it.expected_end);
    runs.iter().find_map(|it| {
        free = free.saturating_add(it.resources);
        required.fits_in(free).then_some(it.end(now))
    })
}

/// Returns the resources that are free at `at`, if nothing else starts before.
pub fn free_at(free: Resources, runs: &[Occupancy], at: Instant, now: Instant) -> Resources {
    let ended = runs.iter().filter(|it| it.end(now) <= at);
    ended.fold(free, |free, it| free.saturating_add(it.resources))
}
