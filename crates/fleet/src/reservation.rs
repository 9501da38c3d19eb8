/*!
Reservations of targets for tasks that fit nowhere yet.

About half of all pairs of tasks do not fit on one target together. A task that
needs more room than any target has left would be overtaken by each smaller task
behind it for as long as those arrive, whatever its priority. The first such
task therefore reserves the target that will have room for it first, the next
one another target. Tasks behind it may start there only if they are expected to
end before or if the reservation leaves room for them (backfilling).

Room that is kept free is only worth its cost while the task can still end
within its goal. A task that can only be late reserves nothing.
*/

use bluebellpath_runtime::Instant;

use crate::{
    Resources,
    forecast::{Occupancy, free_at, time_to_fit},
};

/// Target that a task may reserve.
#[derive(Clone, Debug)]
pub struct Room {
    /// Free resources.
    pub free: Resources,
    /// Runs on the target.
    pub runs: Vec<Occupancy>,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    /// Time from which the target has room for the task.
    from: Instant,
    /// Resources that are free at that time and not reserved.
    spare: Resources,
}

/// Reservations of targets by their index, made in the order of the backlog.
#[derive(Clone, Debug)]
pub struct Reservations {
    by_target: Vec<Option<Reservation>>,
    remaining: usize,
}

impl Reservations {
    /// No reservations of `targets` targets.
    pub fn new(targets: usize) -> Reservations {
        Reservations {
            by_target: vec![None; targets],
            remaining: targets,
        }
    }

    /// Whether all targets are reserved.
    pub fn is_full(&self) -> bool {
        self.remaining == 0
    }

    /// Whether a task that needs `required` and is expected to end at `end` may start
    /// on `target` now.
    pub fn allow(&self, target: usize, required: Resources, end: Instant) -> bool {
        self.by_target[target].is_none_or(|it| end <= it.from || required.fits_in(it.spare))
    }

    /// Reserves the one of `targets` that has room for `required` first, unless the
    /// task would have to start by `start_by` to be in time. Returns its index and the
    /// time of the start.
    pub fn reserve(
        &mut self,
        required: Resources,
        start_by: Instant,
        targets: impl Iterator<Item = (usize, Room)>,
        now: Instant,
    ) -> Option<(usize, Instant)> {
        let unreserved = targets.filter(|(index, _)| self.by_target[*index].is_none());
        let rooms = unreserved.filter_map(|(index, room)| {
            let from = time_to_fit(required, room.free, &room.runs, now)?;
            Some((from, index, room))
        });
        let (from, index, room) = rooms
            .filter(|it| it.0 <= start_by)
            .min_by_key(|it| (it.0, it.1))?;
        let spare = free_at(room.free, &room.runs, from, now).saturating_sub(required);
        self.by_target[index] = Some(Reservation { from, spare });
        self.remaining -= 1;
        Some((index, from))
    }
}
