//! The usual ways to choose a target.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    deployment::{Domain, SLOTS},
    random::Random,
    scheduler::{End, Scheduler, Start, Verdict},
    trace::Job,
};

/// Way to choose a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// At random.
    Random,
    /// In turn.
    RoundRobin,
    /// Fewest tasks of this entry instance.
    LeastOutstanding,
    /// Better of two at random.
    TwoChoices,
}

/// Time for which a target is let be after it refused a task.
const FULL: Duration = Duration::from_millis(20);
/// Time for which a target is let be after a connection failed.
const UNREACHABLE: Duration = Duration::from_secs(1);

struct Instance {
    queue: VecDeque<(usize, usize)>,
    outstanding: Vec<u32>,
    until: Vec<Instant>,
    turn: usize,
}

/// Entry instances that choose by one of the usual ways, each for itself.
pub struct Baseline {
    choice: Choice,
    instances: Vec<Instance>,
    jobs: BTreeMap<usize, Rc<Job>>,
    random: Random,
}

impl Baseline {
    /// Entry instances of `domain` that choose by `choice`.
    pub fn new(domain: &Domain, choice: Choice) -> Baseline {
        let targets = domain.slowness.len();
        let instance = |_: &f64| Instance {
            queue: VecDeque::new(),
            outstanding: vec![0; targets],
            until: vec![Instant::default(); targets],
            turn: 0,
        };
        Baseline {
            choice,
            instances: domain.shares.iter().map(instance).collect(),
            jobs: BTreeMap::new(),
            random: Random::new(7),
        }
    }

    fn choose(&mut self, entry: usize, now: Instant) -> Option<usize> {
        let instance = &mut self.instances[entry];
        let open = |it: &usize| instance.outstanding[*it] < SLOTS && instance.until[*it] <= now;
        let open: Vec<usize> = (0..instance.outstanding.len()).filter(open).collect();
        if open.is_empty() {
            return None;
        }
        let outstanding = |it: &usize| instance.outstanding[*it];
        match self.choice {
            Choice::Random => Some(open[self.random.below(open.len())]),
            Choice::RoundRobin => {
                let next = open.iter().copied().find(|it| *it >= instance.turn);
                let target = next.unwrap_or(open[0]);
                instance.turn = target + 1;
                Some(target)
            }
            Choice::LeastOutstanding => open.iter().copied().min_by_key(outstanding),
            Choice::TwoChoices => {
                let a = open[self.random.below(open.len())];
                let b = open[self.random.below(open.len())];
                Some(if outstanding(&a) <= outstanding(&b) {
                    a
                } else {
                    b
                })
            }
        }
    }
}

impl Scheduler for Baseline {
    fn submit(&mut self, index: usize, job: &Rc<Job>, _now: Instant) -> bool {
        if job.is_impossible() {
            return false;
        }
        self.jobs.insert(index, job.clone());
        let tasks = (0..job.tasks.len()).map(|it| (index, it));
        self.instances[job.entry].queue.extend(tasks);
        true
    }

    fn next(&mut self, now: Instant) -> Option<Start> {
        for entry in 0..self.instances.len() {
            if self.instances[entry].queue.is_empty() {
                continue;
            }
            let Some(target) = self.choose(entry, now) else {
                continue;
            };
            let instance = &mut self.instances[entry];
            let (job, task) = instance.queue.pop_front()?;
            instance.outstanding[target] += 1;
            return Some(Start { job, task, target });
        }
        None
    }

    fn end(&mut self, start: Start, end: End, _elapsed: Duration, now: Instant) -> Verdict {
        let entry = self.jobs.get(&start.job).map_or(0, |it| it.entry);
        let instance = &mut self.instances[entry];
        instance.outstanding[start.target] -= 1;
        let pause = match end {
            End::Full => FULL,
            End::Unreachable | End::Leaving => UNREACHABLE,
            _ => return Verdict::Over,
        };
        instance.until[start.target] = now + pause;
        instance.queue.push_front((start.job, start.task));
        Verdict::Again
    }

    fn cancel(&mut self, job: usize, _now: Instant) {
        let entry = self.jobs.get(&job).map_or(0, |it| it.entry);
        self.instances[entry].queue.retain(|it| it.0 != job);
    }

    fn tick(&mut self, _now: Instant) -> Vec<usize> {
        Vec::new()
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let waiting = self.instances.iter().filter(|it| !it.queue.is_empty());
        let until = waiting.flat_map(|it| it.until.iter().copied());
        until.filter(|it| *it > now).min()
    }
}
