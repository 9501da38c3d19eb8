/*!
Choice of the owner to which a task goes.

Load pattern: callers are spread unevenly over instances and failure domains
while targets are not, so some owners have room while others have a backlog. A
task goes where a hole is large enough for it, near ones first; without any hole
it goes where the backlog is done soonest. Loads are a tenth of a second old, so
each choice is noted in the load at once and one front does not fill the same
hole twice.
*/

use std::time::Duration;

use crate::messages::Load;

/// Distance to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// This instance.
    Local,
    /// Another instance of this failure domain.
    SameDomain,
    /// Another failure domain.
    OtherDomain,
}

/// Owner as far as is known.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Distance.
    pub distance: Distance,
    /// Load.
    pub load: Load,
    /// False while calls to it fail.
    pub reachable: bool,
}

/// Task to hand over.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Processor, in cores.
    pub cores: u16,
    /// Run time to expect.
    pub run_time: Duration,
    /// Priority, 0 first.
    pub priority: u8,
}

/// Owner for a task, with the wait to expect there; notes the task in the
/// owner's load.
pub fn choose(demand: Demand, owners: &mut [Owner]) -> Option<(usize, Duration)> {
    let open = |it: &Owner| it.reachable && it.load.total_cores > 0;
    let with_hole = owners.iter().enumerate().filter(|(_, it)| open(it));
    let with_hole = with_hole.filter_map(|(index, it)| {
        let fitting = it
            .load
            .free_cores
            .iter()
            .filter(|it| **it >= demand.cores)
            .count();
        let free = fitting > 0 && it.load.backlog_ahead_of(demand.priority) == 0;
        free.then_some((index, it.distance, fitting))
    });
    let best = with_hole.min_by_key(|it| (it.1, std::cmp::Reverse(it.2)));
    if let Some((index, ..)) = best {
        let holes = &mut owners[index].load.free_cores;
        let tightest = holes.iter_mut().filter(|it| **it >= demand.cores).min();
        if let Some(hole) = tightest {
            *hole -= demand.cores;
        }
        return Some((index, Duration::ZERO));
    }
    let backlog =
        |it: &Owner| it.load.backlog_ahead_of(demand.priority) / u64::from(it.load.total_cores);
    let open = owners.iter().enumerate().filter(|(_, it)| open(it));
    let (index, wait) = open
        .map(|(index, it)| (index, backlog(it)))
        .min_by_key(|(index, wait)| (*wait, owners[*index].distance))?;
    let work =
        u64::from(demand.cores) * u64::try_from(demand.run_time.as_millis()).unwrap_or(u64::MAX);
    owners[index].load.add_backlog(demand.priority, work);
    Some((index, Duration::from_millis(wait)))
}
