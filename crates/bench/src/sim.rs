//! One domain: fake targets, a scheduler and a trace, event by event.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    deployment::{CLIENT, Domain, SLOTS},
    fault::{BEGINS, COUNTED, Fault, LASTS, TARGET, WARM_UP},
    figures::{Ended, Tally},
    random::Random,
    scheduler::{End, Scheduler, Start, Verdict},
    trace::Job,
};

/// Time between two waves of cancellations.
const WAVE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job reaches its entry instance.
    Arrive(usize),
    /// A start reaches its target.
    Begin(Start),
    /// A task ends at its target.
    Finish(Start, u64, bool),
    /// A reply reaches the entry instance.
    Reply(Start, u8),
    /// A job's deadline.
    Deadline(usize),
    /// The fault begins.
    Strike,
    /// Half of the jobs are cancelled.
    Cancel,
    /// The scheduler asked to be woken.
    Wake,
}

struct Live {
    left: usize,
    running: BTreeMap<usize, (Start, Instant)>,
    failed: bool,
    /// The end of the job has been counted.
    ended: bool,
}

/// Runs a trace.
pub struct Sim<'a> {
    domain: &'a Domain,
    fault: Fault,
    jobs: Vec<Rc<Job>>,
    scheduler: Box<dyn Scheduler + 'a>,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    live: BTreeMap<usize, Live>,
    used: Vec<u32>,
    /// Tasks on each target, by start, with the number of their run.
    at_target: BTreeMap<Start, u64>,
    /// Starts that a failing target answers with a failure.
    failed: BTreeSet<Start>,
    runs: u64,
    woken: Option<Instant>,
    random: Random,
    tally: Tally,
}

const ENDS: [End; 7] = [
    End::Complete,
    End::Failed,
    End::Unknown,
    End::Stopped,
    End::Full,
    End::Leaving,
    End::Unreachable,
];

impl<'a> Sim<'a> {
    /// Simulation of `jobs` in `domain`.
    pub fn new(
        domain: &'a Domain,
        fault: Fault,
        jobs: &[Rc<Job>],
        scheduler: Box<dyn Scheduler + 'a>,
    ) -> Sim<'a> {
        Sim {
            domain,
            fault,
            jobs: jobs.to_vec(),
            scheduler,
            events: BTreeMap::new(),
            sequence: 0,
            live: BTreeMap::new(),
            used: vec![0; domain.slowness.len()],
            at_target: BTreeMap::new(),
            failed: BTreeSet::new(),
            runs: 0,
            woken: None,
            random: Random::new(1),
            tally: Tally::new(domain),
        }
    }

    /// Runs to the end of the trace and of all its jobs.
    pub fn run(mut self) -> Tally {
        for index in 0..self.jobs.len() {
            self.at(self.jobs[index].sent + CLIENT, Event::Arrive(index));
        }
        self.at(Instant::from_nanos((BEGINS * 1e9) as u64), Event::Strike);
        if self.fault == Fault::Cancelled {
            let waves = (LASTS / WAVE.as_secs_f64()) as u32;
            for wave in 0..waves {
                let at = Instant::from_nanos((BEGINS * 1e9) as u64) + WAVE * wave;
                self.at(at, Event::Cancel);
            }
        }
        self.at(Instant::default(), Event::Wake);
        let end = Instant::from_nanos(((WARM_UP + COUNTED) * 1e9) as u64);
        while let Some(((now, _), event)) = self.events.pop_first() {
            self.handle(event, now);
            self.start_all(now);
            if now > end && self.live.is_empty() {
                break;
            }
        }
        self.tally.extra = self.scheduler.extra_messages();
        self.tally
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Arrive(job) => self.arrive(job, now),
            Event::Begin(start) => self.begin(start, now),
            Event::Finish(start, run, silent) => self.finish(start, run, silent, now),
            Event::Reply(start, end) => self.reply(start, ENDS[usize::from(end)], now),
            Event::Deadline(job) => self.deadline(job, now),
            Event::Strike => self.strike(now),
            Event::Cancel => self.cancel_half(now),
            Event::Wake => {
                self.woken = None;
                for job in self.scheduler.tick(now) {
                    self.fail(job, now);
                }
            }
        }
    }

    fn start_all(&mut self, now: Instant) {
        while let Some(start) = self.scheduler.next(now) {
            if let Some(live) = self.live.get_mut(&start.job) {
                live.running.insert(start.task, (start, now));
            }
            self.tally.starts += u64::from(self.jobs[start.job].is_counted());
            self.at(now + self.domain.one_way, Event::Begin(start));
        }
        let wake = self.scheduler.wake(now).map(|it| it.max(now));
        if let Some(wake) = wake
            && self.woken.is_none_or(|it| wake < it)
        {
            self.woken = Some(wake);
            self.at(wake, Event::Wake);
        }
    }

    fn arrive(&mut self, index: usize, now: Instant) {
        let job = self.jobs[index].clone();
        if !self.scheduler.submit(index, &job, now) {
            self.tally.ended(&job, Ended::Refused);
            return;
        }
        let live = Live {
            left: job.tasks.len(),
            running: BTreeMap::new(),
            failed: false,
            ended: false,
        };
        self.live.insert(index, live);
        self.at(job.deadline, Event::Deadline(index));
    }

    fn begin(&mut self, start: Start, now: Instant) {
        let job = &self.jobs[start.job];
        let task = job.tasks[start.task];
        let struck = self.fault.strikes(start.target, now);
        let refusal = match self.fault {
            Fault::Dead if struck => Some(End::Unreachable),
            Fault::Leaving if struck => Some(End::Leaving),
            _ if self.used[start.target] + task.size > SLOTS => Some(End::Full),
            _ => None,
        };
        if let Some(end) = refusal {
            let counted = job.is_counted();
            let unreachable = end == End::Unreachable;
            self.tally.refused += u64::from(counted && !unreachable);
            self.tally.unreachable += u64::from(counted && unreachable);
            self.answer(start, end, now);
            return;
        }
        self.used[start.target] += task.size;
        self.runs += 1;
        self.at_target.insert(start, self.runs);
        if self.fault == Fault::Failing && struck {
            self.failed.insert(start);
            self.at(now, Event::Finish(start, self.runs, false));
            return;
        }
        let own = self.domain.slowness[start.target];
        let slowness = own * self.fault.slowness(start.target, now);
        let run_time = Duration::from_secs_f64(task.seconds * slowness);
        let silent = self.fault == Fault::Hanging && struck;
        self.at(now + run_time, Event::Finish(start, self.runs, silent));
    }

    fn finish(&mut self, start: Start, run: u64, silent: bool, now: Instant) {
        if self.at_target.get(&start) != Some(&run) {
            return;
        }
        self.at_target.remove(&start);
        self.used[start.target] -= self.jobs[start.job].tasks[start.task].size;
        let failing = self.fault == Fault::Failing && self.failed.remove(&start);
        let end = if failing { End::Failed } else { End::Complete };
        if !silent {
            self.answer(start, end, now);
        }
    }

    fn answer(&mut self, start: Start, end: End, now: Instant) {
        let number = ENDS.iter().position(|it| *it == end).unwrap_or(0) as u8;
        let at = now + self.domain.one_way;
        self.at(at, Event::Reply(start, number));
    }

    fn reply(&mut self, start: Start, end: End, now: Instant) {
        let Some(live) = self.live.get_mut(&start.job) else {
            return;
        };
        let Some((_, began)) = live.running.remove(&start.task) else {
            return;
        };
        let verdict = self.scheduler.end(start, end, now - began, now);
        if verdict == Verdict::Again {
            return;
        }
        if let Some(live) = self.live.get_mut(&start.job) {
            if live.failed {
                let over = live.running.is_empty();
                over.then(|| self.live.remove(&start.job));
                return;
            }
            live.left -= 1;
            live.failed |= end != End::Complete;
            if live.failed {
                self.fail(start.job, now);
            } else if live.left == 0 {
                self.live.remove(&start.job);
                let job = &self.jobs[start.job];
                let answered = now + CLIENT;
                self.tally.ended(job, Ended::Whole(answered));
            }
        }
    }

    /// A job can't be answered whole any more: what runs of it runs on.
    fn fail(&mut self, index: usize, now: Instant) {
        let Some(live) = self.live.get_mut(&index) else {
            return;
        };
        if !live.ended {
            live.failed = true;
            live.ended = true;
            self.scheduler.cancel(index, now);
            self.tally.ended(&self.jobs[index], Ended::Failed);
        }
        if live.running.is_empty() {
            self.live.remove(&index);
        }
    }

    /// Entry instances wait no longer than to the deadline.
    fn deadline(&mut self, index: usize, now: Instant) {
        let Some(live) = self.live.get_mut(&index) else {
            return;
        };
        let running = std::mem::take(&mut live.running);
        for (start, began) in running.into_values() {
            self.tally.unanswered += u64::from(self.jobs[index].is_counted());
            self.scheduler.end(start, End::Unknown, now - began, now);
        }
        self.fail(index, now);
    }

    fn strike(&mut self, now: Instant) {
        if self.fault != Fault::Dead {
            return;
        }
        let lost: Vec<Start> = self.at_target.keys().copied().collect();
        for start in lost.into_iter().filter(|it| it.target == TARGET) {
            self.at_target.remove(&start);
            self.used[TARGET] -= self.jobs[start.job].tasks[start.task].size;
            self.tally.unanswered += u64::from(self.jobs[start.job].is_counted());
            self.answer(start, End::Unknown, now);
        }
    }

    fn cancel_half(&mut self, now: Instant) {
        let live: BTreeSet<usize> = self.live.keys().copied().collect();
        for index in live {
            if self.random.unit() < 0.5 {
                continue;
            }
            self.cancel(index, now);
        }
    }

    /// Cancels a job; what is not worth a stop runs on for nothing.
    fn cancel(&mut self, index: usize, now: Instant) {
        let Some(live) = self.live.get_mut(&index).filter(|it| !it.ended) else {
            return;
        };
        (live.failed, live.ended) = (true, true);
        self.scheduler.cancel(index, now);
        self.tally.ended(&self.jobs[index], Ended::Cancelled);
        let running: Vec<(Start, Instant)> = live.running.values().copied().collect();
        for (start, began) in running {
            if self.scheduler.should_stop(start, now) {
                self.stop(start, began, now);
            }
        }
        if self
            .live
            .get(&index)
            .is_some_and(|it| it.running.is_empty())
        {
            self.live.remove(&index);
        }
    }

    fn stop(&mut self, start: Start, began: Instant, now: Instant) {
        let job = &self.jobs[start.job];
        self.tally.stops += u64::from(job.is_counted());
        if self.at_target.remove(&start).is_some() {
            self.used[start.target] -= job.tasks[start.task].size;
        }
        if let Some(live) = self.live.get_mut(&start.job) {
            live.running.remove(&start.task);
        }
        self.scheduler.end(start, End::Stopped, now - began, now);
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
