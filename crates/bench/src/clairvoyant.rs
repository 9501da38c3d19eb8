//! Scheduler that knows everything.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    deployment::{Domain, SLOTS},
    fault::Fault,
    scheduler::{End, Scheduler, Start, Verdict},
    trace::Job,
};

/// Tasks that one plan holds; more can't start now.
const PLANNED: usize = 1_000;

/// Slowness at which a job's longest task is taken to run.
const LONGEST: f64 = 1.5;
/// Part of the time needed at which a job becomes urgent.
const URGENT: f64 = 1.3;

struct Waiting {
    job: Rc<Job>,
    /// Tasks that wait, the longest first.
    tasks: Vec<usize>,
    begun: bool,
}

impl Waiting {
    fn work(&self) -> f64 {
        let tasks = self.tasks.iter();
        tasks.map(|it| self.job.tasks[*it].seconds).sum()
    }
}

/// Scheduler that knows run times, speeds, faults and all slots of a domain.
pub struct Clairvoyant<'a> {
    domain: &'a Domain,
    fault: Fault,
    jobs: BTreeMap<usize, Waiting>,
    /// Ends of what runs on each target, as the entry instances see them.
    ends: Vec<BTreeMap<Start, Instant>>,
    planned: VecDeque<Start>,
    stale: bool,
}

impl<'a> Clairvoyant<'a> {
    /// Scheduler of `domain` under `fault`.
    pub fn new(domain: &'a Domain, fault: Fault) -> Clairvoyant<'a> {
        Clairvoyant {
            domain,
            fault,
            jobs: BTreeMap::new(),
            ends: vec![BTreeMap::new(); domain.slowness.len()],
            planned: VecDeque::new(),
            stale: false,
        }
    }

    fn run_time(&self, seconds: f64, target: usize, at: Instant) -> Duration {
        let slowness = self.domain.slowness[target] * self.fault.slowness(target, at);
        Duration::from_secs_f64(seconds * slowness)
    }

    fn ends_at(&self, seconds: f64, target: usize, at: Instant) -> Instant {
        let begin = at + self.domain.one_way;
        let end = begin + self.run_time(seconds, target, begin);
        if self.fault.ruins(target, begin, end) {
            return Instant::from_nanos(u64::MAX);
        }
        end + self.domain.one_way
    }

    fn plan(&mut self, now: Instant) {
        self.stale = false;
        let mut slots: Vec<Vec<Instant>> = self.ends.iter().map(|it| slots(it, now)).collect();
        let busy = |it: &Instant| *it > now;
        let mut free: usize = slots.iter().flatten().filter(|it| !busy(it)).count();
        let mut order: Vec<(bool, f64, usize)> =
            self.jobs.iter().map(|it| self.rank(it, now)).collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut left = PLANNED;
        for (_, _, id) in order {
            let waiting = &self.jobs[&id];
            let mut starts = Vec::new();
            for task in &waiting.tasks {
                if left == 0 || free == 0 {
                    break;
                }
                left -= 1;
                let seconds = waiting.job.tasks[*task].seconds;
                let Some((target, slot)) = self.earliest(&slots, seconds) else {
                    continue;
                };
                let at = slots[target][slot];
                slots[target][slot] = self.ends_at(seconds, target, at);
                if at <= now {
                    free -= 1;
                    starts.push(Start {
                        job: id,
                        task: *task,
                        target,
                    });
                }
            }
            self.planned.extend(starts);
        }
    }

    /// Place of a job: those that need all slots from now on to meet their
    /// deadline, by deadline, then by least remaining work.
    fn rank(&self, (id, waiting): (&usize, &Waiting), now: Instant) -> (bool, f64, usize) {
        let left = (waiting.job.deadline - now).as_secs_f64();
        let work = waiting.work();
        let longest = waiting
            .tasks
            .first()
            .map_or(0.0, |it| waiting.job.tasks[*it].seconds);
        let needed = work / self.domain.capacity() + longest * LONGEST;
        if left < needed * URGENT {
            (false, left, *id)
        } else {
            (true, work, *id)
        }
    }

    fn earliest(&self, slots: &[Vec<Instant>], seconds: f64) -> Option<(usize, usize)> {
        let first = |(target, slots): (usize, &Vec<Instant>)| {
            let slot = (0..slots.len()).min_by_key(|it| slots[*it])?;
            Some((self.ends_at(seconds, target, slots[slot]), target, slot))
        };
        let ends = slots.iter().enumerate().filter_map(first);
        let (end, target, slot) = ends.min()?;
        (end < Instant::from_nanos(u64::MAX)).then_some((target, slot))
    }

    fn can_meet(&self, waiting: &Waiting, now: Instant) -> bool {
        let job = &waiting.job;
        let longest = waiting
            .tasks
            .first()
            .map_or(0.0, |it| job.tasks[*it].seconds);
        let fastest = self
            .domain
            .slowness
            .iter()
            .copied()
            .fold(f64::MAX, f64::min);
        now + Duration::from_secs_f64(longest * fastest) < job.deadline
    }
}

fn slots(ends: &BTreeMap<Start, Instant>, now: Instant) -> Vec<Instant> {
    let mut slots: Vec<Instant> = ends.values().map(|it| (*it).max(now)).collect();
    // A reply that is due now frees its slot by its own event.
    let soon = now + Duration::from_nanos(1);
    slots.iter_mut().for_each(|it| *it = (*it).max(soon));
    slots.resize(SLOTS as usize, now);
    slots
}

impl Scheduler for Clairvoyant<'_> {
    fn submit(&mut self, index: usize, job: &Rc<Job>, _now: Instant) -> bool {
        if job.is_impossible() {
            return false;
        }
        let mut tasks: Vec<usize> = (0..job.tasks.len()).collect();
        tasks.sort_by(|a, b| job.tasks[*b].seconds.total_cmp(&job.tasks[*a].seconds));
        let waiting = Waiting {
            job: job.clone(),
            tasks,
            begun: false,
        };
        self.jobs.insert(index, waiting);
        self.stale = true;
        true
    }

    fn next(&mut self, now: Instant) -> Option<Start> {
        if self.stale {
            self.plan(now);
        }
        let start = self.planned.pop_front()?;
        let waiting = self.jobs.get_mut(&start.job)?;
        waiting.begun = true;
        waiting.tasks.retain(|it| *it != start.task);
        let seconds = waiting.job.tasks[start.task].seconds;
        if waiting.tasks.is_empty() {
            self.jobs.remove(&start.job);
        }
        let end = self.ends_at(seconds, start.target, now);
        self.ends[start.target].insert(start, end);
        Some(start)
    }

    fn end(&mut self, start: Start, _end: End, _elapsed: Duration, _now: Instant) -> Verdict {
        self.ends[start.target].remove(&start);
        self.stale = true;
        Verdict::Over
    }

    fn cancel(&mut self, job: usize, _now: Instant) {
        self.jobs.remove(&job);
        self.stale = true;
    }

    fn tick(&mut self, now: Instant) -> Vec<usize> {
        let late = self
            .jobs
            .iter()
            .filter(|(_, it)| !it.begun && !self.can_meet(it, now));
        late.map(|(id, _)| *id).collect()
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let waiting = self.jobs.values().any(|it| !it.begun);
        waiting.then_some(now + LATE_CHECK)
    }
}

/// Time between two looks for jobs that are too late.
const LATE_CHECK: Duration = Duration::from_millis(50);
