//! Goodput of a deployment from half to three times the load that it can serve.
//!
//! Guards against congestion collapse: work that is admitted although it can't end
//! within its goal takes the capacity of work that could.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bluebellpath_fleet::{
    JobId, Resources,
    frontend::{Answer, Step, Submission},
};
use bluebellpath_runtime::{Instant, clock, runtime};

use crate::{
    random::Rng,
    system::{Layout, System, sleep_ms},
};

const LAYOUT: Layout = Layout {
    domains: 3,
    instances: 3,
    targets: 10,
};

const INSTANCES: usize = LAYOUT.domains * LAYOUT.instances;

/// Cores of a target.
const CORES: u32 = 32;

/// Kind of job.
struct Kind {
    priority: u8,
    tasks: u16,
    run_ms: f64,
    /// Share of the jobs, in thousandths.
    share: u64,
}

/// Many urgent wide jobs, twice as many small ones, and a few long ones.
const KINDS: [Kind; 3] = [
    Kind {
        priority: 0,
        tasks: 8,
        run_ms: 51.0,
        share: 245,
    },
    Kind {
        priority: 1,
        tasks: 2,
        run_ms: 170.0,
        share: 710,
    },
    Kind {
        priority: 2,
        tasks: 4,
        run_ms: 760.0,
        share: 45,
    },
];

/// Mean cores of a task.
const TASK_CORES: f64 = 16.0;

/// Share of the tasks that take [`TAIL_FACTOR`] times as long, in thousandths.
const TAIL_PERMILLE: u64 = 30;

const TAIL_FACTOR: f64 = 7.0;

/// Duration of the load under test, in seconds.
const LOAD_SECONDS: u64 = 5;

/// Jobs by the second of their submission and their priority.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    unknown: u32,
    slowest_refusal_ms: u64,
}

type Counts = BTreeMap<(u64, u8), Count>;

fn uniform(rng: &mut Rng) -> f64 {
    rng.below(1_000_000) as f64 / 1_000_000.0
}

/// Factor with mean 1 and this relative spread.
fn spread(rng: &mut Rng, spread: f64) -> f64 {
    1.0 + spread * 1.73 * (2.0 * uniform(rng) - 1.0)
}

/// Core-milliseconds of the mean job.
fn mean_work() -> f64 {
    let tail = 1.0 + (TAIL_FACTOR - 1.0) * TAIL_PERMILLE as f64 / 1_000.0;
    let work = KINDS
        .iter()
        .map(|it| it.share as f64 / 1_000.0 * f64::from(it.tasks) * it.run_ms * TASK_CORES * tail);
    work.sum()
}

/// Plays `load` times the nominal capacity for [`LOAD_SECONDS`], between quiet
/// seconds.
fn play(load: f64, seed: u64) -> Counts {
    let counts = Rc::new(RefCell::new(Counts::new()));
    let result = counts.clone();
    runtime::paused(async move {
        let system = System::start(LAYOUT).await;
        for id in system.targets.list().keys() {
            system.targets.set_cpu(id, CORES * 1_000);
        }
        sleep_ms(1_200).await;
        let mut rng = Rng(seed);
        let started_at = clock::now();
        let mut job = 0;
        let capacity = (LAYOUT.domains * LAYOUT.targets) as f64 * f64::from(CORES);
        loop {
            let second = (clock::now() - started_at).as_secs();
            let factor = match second {
                0..2 => 0.4,
                2.. if second < 2 + LOAD_SECONDS => load,
                _ if second < 5 + LOAD_SECONDS => 0.4,
                _ => break,
            };
            let gap_ms = mean_work() / (capacity * factor);
            clock::sleep(Duration::from_secs_f64(
                gap_ms / 1_000.0 * -(1.0 - uniform(&mut rng)).ln(),
            ))
            .await;
            job += 1;
            submit(&system, &mut rng, job, started_at, &counts);
        }
        sleep_ms(3_000).await;
        system.assert_no_violations();
    });
    Rc::try_unwrap(result)
        .map(RefCell::into_inner)
        .unwrap_or_default()
}

fn submit(
    system: &System,
    rng: &mut Rng,
    job: u64,
    started_at: Instant,
    counts: &Rc<RefCell<Counts>>,
) {
    let mut drawn = rng.below(1_000);
    let kind = KINDS
        .iter()
        .find(|it| match drawn.checked_sub(it.share) {
            Some(rest) => {
                drawn = rest;
                false
            }
            None => true,
        })
        .unwrap_or(&KINDS[1]);
    let run_ms = kind.run_ms * spread(rng, 0.3);
    let declared_ms = run_ms * spread(rng, 0.4);
    let cores = TASK_CORES * spread(rng, 0.2);
    let millicores = (cores * 1_000.0) as u32;
    // The tail is a property of the job's input here, so that it shows in the chain.
    let tail = match rng.below(1_000) < TAIL_PERMILLE {
        true => TAIL_FACTOR,
        false => 1.0,
    };
    let actual_ms = (run_ms * tail).max(1.0);
    let goal = Duration::from_secs_f64((declared_ms * 1.6 + 60.0) / 1_000.0);
    let goal_of_actual = goal.max(Duration::from_secs_f64((actual_ms * 1.6 + 60.0) / 1_000.0));
    let submission = Submission {
        job: JobId(job),
        spec: format!("{millicores} {}", actual_ms as u64).into(),
        steps: vec![Step {
            task_count: kind.tasks,
            resources: Resources {
                cpu: millicores,
                memory_mb: 64,
                gpu: 0,
            },
            estimate: Duration::from_secs_f64(declared_ms / 1_000.0),
            dependencies: Vec::new(),
            required_label: None,
            preferred_rack: None,
            max_per_target: 0,
        }],
        queue: "matches".into(),
        service: "match".into(),
        priority: kind.priority,
        max_attempts: 2,
        latency_goal: goal,
        deadline: Duration::from_millis(1_500),
    };
    let number = rng.index(INSTANCES);
    let instance = &system.instances[number];
    let (node, counts) = (instance.node.clone(), counts.clone());
    let key = ((clock::now() - started_at).as_secs(), kind.priority);
    counts.borrow_mut().entry(key).or_default().asked += 1;
    drop(instance.scope.spawn(async move {
        let submitted_at = clock::now();
        let answer = node.frontend().submit(submission).await;
        let took = clock::now() - submitted_at;
        let mut counts = counts.borrow_mut();
        let count = counts.entry(key).or_default();
        match answer {
            Answer::Completed if took <= goal_of_actual => count.in_time += 1,
            Answer::Completed => count.late += 1,
            Answer::Refused(_) => {
                count.refused += 1;
                count.slowest_refusal_ms = count.slowest_refusal_ms.max(took.as_millis() as u64);
            }
            Answer::Failed | Answer::Unknown => count.unknown += 1,
        }
    }));
}

/// Jobs in time per second while the load lasts, without its first second.
fn goodput(counts: &Counts) -> f64 {
    let under_load = counts
        .iter()
        .filter(|(key, _)| (3..2 + LOAD_SECONDS).contains(&key.0));
    let in_time: u32 = under_load.map(|(_, it)| it.in_time).sum();
    f64::from(in_time) / (LOAD_SECONDS - 1) as f64
}

fn print(load: f64, counts: &Counts) {
    println!("load {load}: goodput {:.0}/s", goodput(counts));
    for ((second, priority), it) in counts {
        println!("  second {second:>2} priority {priority}: {it:?}");
    }
}

#[test]
fn goodput_does_not_fall_under_overload() {
    let loads = [0.5, 0.6, 0.7, 0.8, 0.9, 1.2, 1.6, 2.0, 3.0];
    let goodputs = loads.map(|load| {
        let counts = play(load, 7);
        print(load, &counts);
        (load, goodput(&counts))
    });
    let mut best = 0.0_f64;
    for (load, goodput) in goodputs {
        assert!(
            goodput >= 0.9 * best,
            "load {load}: {goodput} jobs/s in time after {best} at a lower load"
        );
        best = best.max(goodput);
    }
}

/// Guards against an order of the waiting work that only holds for one sequence of
/// jobs.
#[test]
fn mean_goodput_does_not_fall_under_overload() {
    let seeds = 1..=6;
    let mut best = 0.0_f64;
    for load in [0.7, 0.9, 1.2, 1.6, 2.0, 3.0] {
        let plays = seeds.clone().map(|seed| goodput(&play(load, seed)));
        let goodput = plays.sum::<f64>() / seeds.clone().count() as f64;
        println!("load {load}: mean goodput {goodput:.1}/s");
        assert!(
            goodput >= 0.9 * best,
            "load {load}: {goodput} jobs/s in time after {best} at a lower load"
        );
        best = best.max(goodput);
    }
}
