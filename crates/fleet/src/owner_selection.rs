/*!
Selection of the owner that places a task.

Callers are spread unevenly over instances and failure domains, but targets are
not, so some owners have free capacity while others have a backlog. A task goes
to an owner with a target that has enough free cores, the nearest owner first.
If there is none, it goes to the owner with the shortest backlog. Loads are up
to a tenth of a second old. Each selection is therefore added to the load at
once, so that one frontend does not use the same free cores twice.
*/

use std::{rc::Rc, time::Duration};

use crate::messages::Load;

const MILLICORES: u64 = 1_000;

/// Distance to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// This instance.
    Local,
    /// Another instance of the same failure domain.
    SameDomain,
    /// An instance of another failure domain.
    OtherDomain,
}

/// State of an owner as last known.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Distance from this instance.
    pub distance: Distance,
    /// Load.
    pub load: Rc<Load>,
    /// Age of the load.
    pub load_age: Duration,
    /// False while calls to it fail.
    pub reachable: bool,
}

/// Requirements of a task.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Processor, in millicores.
    pub cpu: u32,
    /// Expected run time.
    pub run_time: Duration,
    /// Priority, 0 is the highest.
    pub priority: u8,
}

/// Returns the index of the best owner for a task and the expected wait there,
/// and adds the task to the load of that owner.
pub fn choose(demand: Demand, owners: &mut [Owner]) -> Option<(usize, Duration)> {
    let usable = |it: &Owner| it.reachable && it.load.total_cores > 0;
    let with_free_cores = owners.iter().enumerate().filter(|(_, it)| usable(it));
    let with_free_cores = with_free_cores.filter_map(|(index, it)| {
        let room = &it.load.room;
        let matching_targets = room.fitting_now(demand.cpu).count();
        let is_free = matching_targets > 0 && it.load.backlog_ahead_of(demand.priority) == 0;
        is_free.then_some((index, it.distance, matching_targets))
    });
    let best = with_free_cores.min_by_key(|it| (it.1, std::cmp::Reverse(it.2)));
    if let Some((index, ..)) = best {
        let room = &mut Rc::make_mut(&mut owners[index].load).room;
        let tightest = room.fitting_now(demand.cpu).min_by_key(|it| it.1);
        if let Some((target, _)) = tightest {
            room.occupy(target, demand.cpu, demand.run_time);
        }
        return Some((index, Duration::ZERO));
    }
    let backlog =
        |it: &Owner| it.load.backlog_ahead_of(demand.priority) / u64::from(it.load.total_cores);
    let usable_owners = owners.iter().enumerate().filter(|(_, it)| usable(it));
    let (index, wait) = usable_owners
        .map(|(index, it)| (index, backlog(it)))
        .min_by_key(|(index, wait)| (*wait, owners[*index].distance))?;
    let run_ms = u64::try_from(demand.run_time.as_millis()).unwrap_or(u64::MAX);
    let work = u64::from(demand.cpu).saturating_mul(run_ms) / MILLICORES;
    Rc::make_mut(&mut owners[index].load).add_backlog(demand.priority, work);
    Some((index, Duration::from_millis(wait)))
}
