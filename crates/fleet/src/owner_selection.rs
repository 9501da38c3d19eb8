/*!
Selection of the owner that places a task.

Callers are spread unevenly over instances and failure domains, but targets are
not, so some owners have free capacity while others have a backlog. A task goes to
the tightest hole that fits: half of all pairs of tasks don't fit on one target
together, so a task in a hole that is larger than needed costs the place of another.
Without a hole, the task goes to the owner at which it should end first. Owners of
other failure domains come last, as each domain that is cut off loses the tasks of
callers elsewhere: when tasks went to all domains alike, a domain cut off for some
seconds cost its neighbours a fifth of their answers.

Loads are up to a tenth of a second old. Each selection is therefore added to the
load at once, so that one frontend does not use the same hole twice. Several
frontends avoid the same hole by comparing only [`SAMPLE`] of the holes, which depend
on the task. The choice is a function of the task and the loads alone.
*/

use std::{rc::Rc, time::Duration};

use crate::{messages::Load, room::Forecast};

const MILLICORES: u64 = 1_000;

/// Places that are compared for one task. With the best of all, 30 frontends sent their
/// tasks to the same places: 798 jobs/s in time at twice the load, 1,125 with 4.
const SAMPLE: usize = 4;

/// Difference in millicores below which holes are equally tight.
const LEFTOVER_STEP: u32 = 1_000;

/// Difference in milliseconds below which ends are equal: the unit of a summary.
const END_STEP_MS: u64 = 8;

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
    /// Time left until the latency goal.
    pub goal: Duration,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Number that differs between tasks, for the choice among equally good owners.
    pub spread: u64,
}

/// Returns the index of the best owner for a task and the expected wait there,
/// and adds the task to the load of that owner.
pub fn choose(demand: Demand, owners: &mut [Owner]) -> Option<(usize, Duration)> {
    if let Some((owner, target)) = choose_hole(demand, owners) {
        let room = &mut Rc::make_mut(&mut owners[owner].load).room;
        room.occupy(target, demand.cpu, demand.run_time);
        return Some((owner, Duration::ZERO));
    }
    let (owner, wait) = choose_wait(demand, owners)?;
    let run_ms = u64::try_from(demand.run_time.as_millis()).unwrap_or(u64::MAX);
    let work = u64::from(demand.cpu).saturating_mul(run_ms) / MILLICORES;
    Rc::make_mut(&mut owners[owner].load).add_backlog(demand.priority, work);
    Some((owner, wait))
}

/// Owner and target of the best hole in the sample.
///
/// What fits beside a task that waits at its owner may be about to be filled, so such
/// an owner counts as one without holes. Blocked targets are not in the room.
fn choose_hole(demand: Demand, owners: &[Owner]) -> Option<(usize, usize)> {
    let usable = owners
        .iter()
        .enumerate()
        .filter(|(_, it)| it.reachable && it.load.backlog_ahead_of(demand.priority) == 0);
    let holes: Vec<_> = usable
        .flat_map(|(owner, it)| {
            let room = &it.load.room;
            room.fitting_now(demand.cpu).map(move |(target, free)| {
                let run_time = demand.run_time.mul_f64(room.run_time_ratio(target));
                let lateness = run_time.saturating_sub(demand.goal);
                let leftover = (free - demand.cpu) / LEFTOVER_STEP;
                ((lateness, leftover, it.distance), owner, target)
            })
        })
        .collect();
    let is_nearby_in_time = |(lateness, _, distance): (Duration, u32, Distance)| {
        lateness.is_zero() && is_nearby(distance)
    };
    let nearby: Vec<_> = holes.iter().filter(|it| is_nearby_in_time(it.0)).collect();
    let distant: Vec<_> = holes.iter().collect();
    let candidates = if nearby.is_empty() { distant } else { nearby };
    let best = sample(&candidates, demand.spread).min_by_key(|it| it.0);
    best.map(|it| (it.1, it.2))
}

/// Owner in the sample at which the task should end first, with the wait there.
fn choose_wait(demand: Demand, owners: &[Owner]) -> Option<(usize, Duration)> {
    let usable = owners.iter().enumerate();
    let usable = usable.filter(|(_, it)| it.reachable && it.load.total_cores > 0);
    let backlog_ms =
        |it: &Owner| it.load.backlog_ahead_of(demand.priority) / u64::from(it.load.total_cores);
    let expected: Vec<_> = usable
        .clone()
        .filter_map(|(owner, it)| {
            let forecast = Forecast::new(&it.load, it.load_age, demand.priority, demand.cpu);
            let expected = forecast.earliest_end(demand.cpu, demand.run_time)?;
            let end = expected.end_ms / END_STEP_MS;
            let key = (end, backlog_ms(it), it.distance);
            Some((key, owner, expected.start_ms))
        })
        .collect();
    let goal_ms = u64::try_from(demand.goal.as_millis()).unwrap_or(u64::MAX) / END_STEP_MS;
    let nearby = expected.iter();
    let nearby: Vec<_> = nearby
        .filter(|it| is_nearby(it.0.2) && it.0.0 <= goal_ms)
        .collect();
    let all: Vec<_> = expected.iter().collect();
    let candidates = if nearby.is_empty() { all } else { nearby };
    let best = sample(&candidates, demand.spread).min_by_key(|it| it.0);
    if let Some((_, owner, start_ms)) = best {
        return Some((*owner, Duration::from_millis(*start_ms)));
    }
    // All targets are blocked. Owners may still use them.
    let waits = usable.map(|(owner, it)| (backlog_ms(it), it.distance, owner));
    let (wait_ms, _, owner) = waits.min()?;
    Some((owner, Duration::from_millis(wait_ms)))
}

fn is_nearby(distance: Distance) -> bool {
    distance != Distance::OtherDomain
}

/// [`SAMPLE`] of `items`, which depend on `spread`; all if there are no more.
fn sample<T>(items: &[T], spread: u64) -> impl Iterator<Item = &T> {
    let count = items.len();
    (0..count.min(SAMPLE)).filter_map(move |number| match count <= SAMPLE {
        true => items.get(number),
        false => {
            let drawn = mix(spread.wrapping_add((number as u64) << 32));
            items.get(usize::try_from(drawn % count as u64).unwrap_or_default())
        }
    })
}

/// Spreads numbers that are close together (the finalizer of SplitMix64).
pub fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
