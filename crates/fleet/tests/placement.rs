//! Replays of one owner that decides whether tasks wait or start, without a network.

use std::time::Duration;

use bluebellpath_fleet::{
    Resources,
    placement::{self, Candidate, Decision, Place, Room, Round, Task, Wait},
    run_time::Estimator,
};
use bluebellpath_runtime::Instant;
use quickcheck::quickcheck;

/// Cores of a task; two fit on a target.
const TASK_CORES: u32 = 16;

/// Percent of its run time that a task takes outside the rack of its data.
const FAR_PERCENT: u64 = 300;

fn at(ms: u64) -> Instant {
    Instant::from_nanos(ms * 1_000_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cores(cores: u32) -> Resources {
    Resources {
        cpu: cores * 1_000,
        ..Resources::default()
    }
}

/// Target with a rack, its run times in percent, and the time at which it drains.
#[derive(Clone, Copy)]
struct Machine(u8, u64, u64);

/// Equal tasks that arrive at the same time.
#[derive(Clone, Copy)]
struct Batch {
    count: usize,
    arrival: u64,
    /// 0 for none.
    rack: u8,
    declared: u64,
    actual: u64,
    /// Time from the arrival to the latency goal.
    goal: u64,
}

/// `count` tasks of `rack`, with their declared and actual run times.
const fn batch(
    count: usize,
    rack: u8,
    (declared, actual): (u64, u64),
    arrival: u64,
    goal: u64,
) -> Batch {
    Batch {
        count,
        arrival,
        rack,
        declared,
        actual,
        goal,
    }
}

#[derive(Clone, Copy, Debug)]
struct Start {
    machine: usize,
    at: u64,
    end: u64,
}

/// One owner with its tasks in the order of their rank.
struct Owner {
    machines: Vec<Machine>,
    tasks: Vec<Batch>,
    starts: Vec<Option<Start>>,
    waits: Vec<Option<Wait>>,
    may_wait: bool,
}

impl Owner {
    /// Plays all tasks. Returns the start of each.
    fn play(machines: &[Machine], batches: &[Batch], may_wait: bool) -> Vec<Start> {
        let tasks = batches.iter().flat_map(|it| vec![*it; it.count]);
        let tasks: Vec<_> = tasks.collect();
        let mut owner = Owner {
            machines: machines.to_vec(),
            starts: vec![None; tasks.len()],
            waits: vec![None; tasks.len()],
            tasks,
            may_wait,
        };
        for now in 0..3_000 {
            while let Some((number, machine)) = owner.next_start(now) {
                let task = &owner.tasks[number];
                owner.starts[number] = Some(Start {
                    machine,
                    at: now,
                    end: now + owner.run_time(task.actual, task, machine),
                });
            }
        }
        let starts = owner.starts.into_iter();
        starts.map(|it| it.expect("every task starts")).collect()
    }

    fn run_time(&self, nominal: u64, task: &Batch, machine: usize) -> u64 {
        let machine = &self.machines[machine];
        match task.rack == 0 || task.rack == machine.0 {
            true => nominal * machine.1 / 100,
            false => nominal * machine.1 * FAR_PERCENT / 10_000,
        }
    }

    fn next_start(&mut self, now: u64) -> Option<(usize, usize)> {
        let mut free = vec![cores(2 * TASK_CORES); self.machines.len()];
        let mut rooms = Vec::new();
        for (machine, free) in free.iter_mut().enumerate() {
            let runs = self.tasks.iter().zip(&self.starts);
            let runs = runs.filter_map(|(task, it)| Some((task, (*it)?)));
            let runs: Vec<_> = runs
                .filter(|(_, it)| it.machine == machine && it.end > now)
                .collect();
            for _ in &runs {
                *free = free.saturating_sub(cores(TASK_CORES));
            }
            let mut room = Room::new(*free);
            for (task, run) in runs {
                let expected = ms(self.run_time(task.declared, task, machine));
                room.add_run(cores(TASK_CORES), at(run.at), expected, at(now));
            }
            rooms.push(room);
        }
        let mut round = match self.may_wait {
            true => Round::new(at(now), rooms),
            false => Round::without_waits(at(now)),
        };
        for (number, batch) in self.tasks.iter().enumerate() {
            if self.starts[number].is_some() || batch.arrival > now {
                continue;
            }
            let present = (0..self.machines.len()).filter(|it| self.machines[*it].2 > now);
            let places: Vec<_> = present
                .map(|target| Place {
                    target,
                    candidate: Candidate {
                        free: free[target],
                        expected_run_time: ms(self.run_time(batch.declared, batch, target)),
                        healthy: true,
                    },
                    near: batch.rack == 0 || batch.rack == self.machines[target].0,
                    with_group: false,
                    long_term_ratio: Some(self.machines[target].1 as f64 / 100.0),
                })
                .collect();
            let goal_end = at(batch.arrival + batch.goal);
            let task = Task {
                required: cores(TASK_CORES),
                goal: goal_end - at(now),
                goal_end,
                expires_at: at(batch.arrival + 3 * batch.goal),
                names_rack: batch.rack != 0,
                wait: self.waits[number],
            };
            match round.decide(&task, &places) {
                Decision::Start(machine) => return Some((number, machine)),
                Decision::Wait { until, wait, .. } => {
                    let earlier = self.waits[number].map_or(goal_end, |it| it.bound);
                    assert!(at(now) < until && until <= wait.bound && wait.bound <= earlier);
                    self.waits[number] = Some(wait);
                }
                Decision::NoPlace => {}
            }
        }
        None
    }
}

/// Machine that never drains, with nominal speed.
const fn machine(rack: u8) -> Machine {
    Machine(rack, 100, u64::MAX)
}

/// Each case fails if no task waits, if tasks wait without bound, or if they take fast
/// targets that they don't need.
#[test]
fn tasks_wait_for_a_better_place_only_while_that_pays_off() {
    struct Case {
        name: &'static str,
        machines: &'static [Machine],
        batches: &'static [Batch],
        /// Least starts on the machines before this index.
        on_first: (usize, usize),
        /// Latest end of a task.
        last_end: u64,
    }
    const CASES: [Case; 8] = [
        Case {
            name: "hot rack: those behind wait for its first tasks",
            machines: &[machine(1), machine(1), machine(2), machine(2)],
            batches: &[batch(8, 1, (100, 100), 0, 220)],
            on_first: (8, 2),
            last_end: 200,
        },
        Case {
            name: "queue for a hot rack: tasks spill when it is as long as a far run",
            machines: &[machine(1), machine(1), machine(2), machine(2)],
            batches: &[batch(20, 1, (100, 100), 0, 220)],
            on_first: (16, 2),
            last_end: 400,
        },
        Case {
            name: "two hot racks: neither takes the capacity of the other",
            machines: &[machine(1), machine(1), machine(2), machine(2)],
            batches: &[
                batch(6, 1, (100, 100), 0, 220),
                batch(6, 2, (100, 100), 0, 220),
            ],
            on_first: (6, 2),
            last_end: 200,
        },
        Case {
            name: "half of a hot rack drains: those that lose their place spill",
            machines: &[
                machine(1),
                Machine(1, 100, 50),
                machine(2),
                machine(2),
                machine(2),
                machine(2),
            ],
            batches: &[batch(12, 1, (100, 100), 0, 220)],
            on_first: (6, 2),
            last_end: 350,
        },
        Case {
            name: "fast targets with short tasks",
            machines: &[Machine(0, 60, u64::MAX), Machine(0, 160, u64::MAX)],
            batches: &[
                batch(2, 0, (50, 50), 0, 220),
                batch(2, 0, (200, 200), 0, 380),
            ],
            on_first: (4, 1),
            last_end: 150,
        },
        Case {
            name: "fast targets are left to others by tasks that meet their goal",
            machines: &[Machine(0, 60, u64::MAX), Machine(0, 160, u64::MAX)],
            batches: &[
                batch(2, 0, (50, 50), 0, 220),
                batch(2, 0, (100, 100), 0, 230),
                batch(2, 0, (200, 200), 20, 380),
            ],
            on_first: (4, 1),
            last_end: 160,
        },
        Case {
            name: "a wait that cannot pay off",
            machines: &[machine(1), machine(2)],
            batches: &[
                batch(2, 1, (350, 350), 0, 220),
                batch(1, 1, (100, 100), 0, 220),
            ],
            on_first: (2, 1),
            last_end: 350,
        },
        Case {
            name: "the awaited run takes seven times as long",
            machines: &[machine(1), machine(2)],
            batches: &[
                batch(2, 1, (50, 350), 0, 220),
                batch(1, 1, (100, 100), 0, 220),
            ],
            on_first: (2, 1),
            last_end: 370,
        },
    ];
    for case in CASES {
        let starts = Owner::play(case.machines, case.batches, true);
        let (least, machines) = case.on_first;
        let on_first = starts.iter().filter(|it| it.machine < machines).count();
        let last_end = starts.iter().map(|it| it.end).max();
        assert!(on_first >= least, "{}: {starts:?}", case.name);
        assert!(last_end <= Some(case.last_end), "{}: {starts:?}", case.name);
    }
}

/// Declared run times are off by 40 %, and 3 % of the jobs take seven times as long.
/// Fails if waits apply to equal targets because of that, or never to different ones.
#[test]
fn only_different_speeds_differ_clearly() {
    struct Case {
        speeds: [f64; 3],
        differ: bool,
    }
    const CASES: [Case; 3] = [
        Case {
            speeds: [1.0, 1.0, 1.0],
            differ: false,
        },
        Case {
            speeds: [0.6, 1.0, 1.6],
            differ: true,
        },
        Case {
            speeds: [0.6, 0.6, 1.6],
            differ: true,
        },
    ];
    for case in CASES {
        let mut random = 1_u64;
        let mut uniform = || {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (random >> 40) as f64 / (1 << 24) as f64
        };
        let mut targets = [Estimator::default(); 9];
        for job in 0..2_000 {
            let tail = if uniform() < 0.03 { 7.0 } else { 1.0 };
            let target = job % targets.len();
            // All tasks of a job that run on the target.
            for _ in 0..2 {
                let actual = ms(200).mul_f64(tail / case.speeds[target % 3]);
                let declared = ms(200).mul_f64(0.6 + 0.8 * uniform());
                targets[target].record(declared, actual);
            }
            let ratios = targets.iter().filter_map(Estimator::long_term_ratio);
            let differ = placement::speeds_differ(ratios);
            let learned = job > 30 * targets.len();
            assert!(
                !learned && !differ || differ == case.differ,
                "{:?} {job}",
                case.speeds
            );
        }
    }
}

quickcheck! {
    /// The run that is awaited ends at each time within the spread of run times. The
    /// bounds of the wait are checked by [`Owner::next_start`].
    fn no_task_is_expected_to_end_later_than_by_starting_at_once(
        declared: u8,
        elapsed: u8,
        run: u8,
        goal: u16,
        has_rack: bool
    ) -> bool {
        const SAMPLES: u64 = 41;
        let (declared, elapsed, run) = (10 + u64::from(declared), u64::from(elapsed), 10 + u64::from(run));
        let first_end = elapsed.max(declared * 6 / 10);
        let last_end = declared * 14 / 10;
        if first_end >= last_end {
            return true;
        }
        let (rack, slow) = if has_rack { (1, 100) } else { (0, FAR_PERCENT) };
        let machines = [machine(1), Machine(2, slow, u64::MAX)];
        let end_of = |may_wait, awaited_end| {
            let awaited = batch(2, 0, (declared, awaited_end), 0, 220);
            let task = batch(1, rack, (run, run), elapsed, 1 + u64::from(goal % 1_000));
            Owner::play(&machines, &[awaited, task], may_wait)[2].end
        };
        let spread = last_end - first_end;
        let ends = (0..SAMPLES).map(|it| end_of(true, first_end + spread * it / (SAMPLES - 1)));
        // Times are in whole milliseconds.
        ends.sum::<u64>() <= SAMPLES * (1 + end_of(false, last_end))
    }

    fn on_equal_targets_tasks_are_placed_as_without_waits(
        targets: Vec<(u8, u8, bool)>,
        goal: u16,
        near_equal: bool
    ) -> bool {
        let now = at(1_000);
        let places = targets.iter().enumerate().map(|(target, it)| Place {
            target,
            candidate: Candidate {
                free: cores(u32::from(it.0 % 40)),
                // Learned speeds of equal targets differ somewhat.
                expected_run_time: ms(100 + if near_equal { u64::from(it.1 % 49) } else { 0 }),
                healthy: it.2,
            },
            near: true,
            with_group: false,
            long_term_ratio: Some(1.0 + f64::from(it.1 % 49) / 100.0),
        });
        let places: Vec<_> = places.collect();
        let rooms = places.iter().zip(&targets).map(|(place, it)| {
            let mut room = Room::new(place.candidate.free);
            room.add_run(cores(TASK_CORES), at(1_000 - u64::from(it.1)), ms(100), now);
            room
        });
        let mut round = Round::new(now, rooms.collect());
        let goal = ms(goal.into());
        let candidates = places.iter().map(|it| (it.target, it.candidate));
        let before = placement::choose(cores(TASK_CORES), goal, candidates);
        let task = Task {
            required: cores(TASK_CORES),
            goal,
            goal_end: now + goal,
            expires_at: now + 3 * goal,
            names_rack: false,
            wait: None,
        };
        (0..3).all(|_| round.decide(&task, &places) == before.map_or(Decision::NoPlace, Decision::Start))
    }
}
