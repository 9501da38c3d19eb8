//! Jobs of one domain, from a seed.

use std::time::Duration;

use bluebellpath_runtime::Instant;

use crate::{
    deployment::{CLIENT, Domain, SLOTS},
    fault::{BEGINS, COUNTED, Fault, LASTS, WARM_UP},
    random::Random,
};

/// Medians of the kinds of task, in seconds.
const MEDIANS: [f64; 6] = [0.06, 0.1, 0.18, 0.3, 0.45, 0.7];
/// Teams.
pub const TEAMS: u32 = 30;
/// Part of the tasks that may run twice without harm.
const IDEMPOTENT: f64 = 0.6;

/// Task as it truly is.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Kind.
    pub kind: u32,
    /// Run time at nominal speed, in seconds.
    pub seconds: f64,
    /// Run time that the caller declares.
    pub declared: Option<Duration>,
    /// Slots.
    pub size: u32,
    /// May run twice without harm.
    pub idempotent: bool,
}

/// Job as it truly is.
#[derive(Clone, Debug)]
pub struct Job {
    /// When the caller sends it.
    pub sent: Instant,
    /// Entry instance that gets it.
    pub entry: usize,
    /// Team.
    pub team: u32,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Time that it takes alone on idle targets.
    pub alone: Duration,
    /// Tasks.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Nominal slot-seconds.
    pub fn work(&self) -> f64 {
        self.tasks.iter().map(|it| it.seconds).sum()
    }

    /// True when it arrives in the time that is counted.
    pub fn is_counted(&self) -> bool {
        self.sent.as_nanos() as f64 / 1e9 >= WARM_UP
    }

    /// True when no target could ever take it.
    pub fn is_impossible(&self) -> bool {
        self.tasks.iter().any(|it| it.size > SLOTS)
    }
}

/// What a trace is made from.
#[derive(Clone, Copy, Debug)]
pub struct Recipe {
    /// Offered work over capacity.
    pub load: f64,
    /// Fault.
    pub fault: Fault,
    /// Half of the teams ask for 80% of their quota and the others for all of
    /// the rest.
    pub greedy: bool,
    /// Seed.
    pub seed: u64,
}

/// Weight of a team.
pub fn weight(team: u32) -> u32 {
    team % 4 + 1
}

/// Part of the capacity that is a team's by weight.
pub fn share(team: u32) -> f64 {
    let all: u32 = (0..TEAMS).map(weight).sum();
    f64::from(weight(team)) / f64::from(all)
}

/// True for teams that stay within their quota in greedy traces.
pub fn is_modest(team: u32) -> bool {
    team % 8 < 4
}

/// Most tasks of a job of a modest team, so that its burst holds them.
const MODEST_TASKS: usize = 40;
/// Part of its quota that a modest team asks for.
const MODEST: f64 = 0.8;

/// Jobs of `domain` in the order in which they are sent.
pub fn generate(domain: &Domain, recipe: &Recipe) -> Vec<Job> {
    let mut random = Random::new(recipe.seed);
    let rate = recipe.load * domain.capacity() / mean_work();
    let mut jobs = Vec::new();
    let mut seconds = 0.0;
    while seconds < WARM_UP + COUNTED {
        let burst = recipe.fault == Fault::Burst && (BEGINS..BEGINS + 1.0).contains(&seconds);
        let rate = if burst { rate * 10.0 } else { rate };
        seconds += random.exponential(rate);
        jobs.push(job(domain, recipe, seconds, &mut random));
    }
    jobs
}

fn job(domain: &Domain, recipe: &Recipe, seconds: f64, random: &mut Random) -> Job {
    let team = team(recipe, random);
    let count = count(random);
    let modest = recipe.greedy && is_modest(team);
    let count = if modest {
        count.min(MODEST_TASKS)
    } else {
        count
    };
    let on = (BEGINS..BEGINS + LASTS).contains(&seconds);
    let large = on && recipe.fault == Fault::Impossible && random.unit() < 0.1;
    let size = if large { SLOTS * 8 } else { 1 };
    let kind = random.below(MEDIANS.len()) as u32;
    let tasks = (0..count).map(|_| task(kind, size, recipe, random));
    let tasks: Vec<Task> = tasks.collect();
    let sent = Instant::from_nanos((seconds * 1e9) as u64);
    let alone = alone(domain, &tasks);
    let entry = usize::from(random.unit() >= domain.shares[0]).min(domain.shares.len() - 1);
    Job {
        sent,
        entry,
        team,
        deadline: sent + Duration::from_secs(3) + alone * 5,
        alone,
        tasks,
    }
}

fn task(kind: u32, size: u32, recipe: &Recipe, random: &mut Random) -> Task {
    let median = MEDIANS[kind as usize];
    let seconds = (median * random.lognormal(0.3)).clamp(0.05, 1.0);
    let tail = random.unit() < 0.01;
    let seconds = if tail {
        2.0 + 4.0 * random.unit()
    } else {
        seconds
    };
    let factor = random.log_uniform(0.1, 10.0);
    let extreme = if factor < 1.0 { 0.1 } else { 10.0 };
    let wrong = recipe.fault == Fault::Declared;
    let factor = if wrong { extreme } else { factor };
    let declared = Duration::from_secs_f64(median * factor);
    Task {
        kind,
        seconds,
        declared: (random.unit() >= 0.3).then_some(declared),
        size,
        idempotent: random.unit() < IDEMPOTENT,
    }
}

fn count(random: &mut Random) -> usize {
    let kind = random.unit();
    let count = match kind {
        it if it < 0.7 => 1.0,
        it if it < 0.95 => 2.0 + random.unit() * 19.0,
        _ => random.log_uniform(20.0, 190.0),
    };
    (count as usize).clamp(1, 190)
}

fn team(recipe: &Recipe, random: &mut Random) -> u32 {
    let modest: f64 = (0..TEAMS).filter(|it| is_modest(*it)).map(share).sum();
    let asked = if recipe.greedy {
        modest * MODEST / recipe.load
    } else {
        modest
    };
    let of_modest = random.unit() < asked;
    let teams = || (0..TEAMS).filter(|it| is_modest(*it) == of_modest);
    let all: f64 = teams().map(share).sum();
    let mut left = random.unit() * all;
    let found = teams().find(|it| {
        left -= share(*it);
        left < 0.0
    });
    found.unwrap_or(0)
}

/// Mean work of a job, in nominal slot-seconds, from a large sample.
fn mean_work() -> f64 {
    const SAMPLE: usize = 20_000;
    let recipe = Recipe {
        load: 1.0,
        fault: Fault::None,
        greedy: false,
        seed: 0,
    };
    let mut random = Random::new(0);
    let work = (0..SAMPLE).map(|_| {
        let count = count(&mut random);
        let kind = random.below(MEDIANS.len()) as u32;
        count as f64 * task(kind, 1, &recipe, &mut random).seconds
    });
    work.sum::<f64>() / SAMPLE as f64
}

/// Time of a job alone: the longest task first, each where it ends first.
fn alone(domain: &Domain, tasks: &[Task]) -> Duration {
    let mut seconds: Vec<f64> = tasks.iter().map(|it| it.seconds).collect();
    seconds.sort_by(|a, b| b.total_cmp(a));
    let slot = |it: &f64| (0.0, *it);
    let mut slots: Vec<(f64, f64)> = domain.slowness.iter().map(slot).collect();
    slots = slots.repeat(SLOTS as usize);
    let mut end = 0.0;
    for seconds in seconds {
        let finish = |it: &(f64, f64)| it.0 + seconds * it.1;
        let earliest = |a: &&mut (f64, f64), b: &&mut (f64, f64)| finish(a).total_cmp(&finish(b));
        if let Some(slot) = slots.iter_mut().min_by(earliest) {
            slot.0 = finish(slot);
            end = slot.0.max(end);
        }
    }
    Duration::from_secs_f64(end) + 2 * CLIENT + 2 * domain.one_way
}
