//! What is counted, and the figures made of it.

use bluebellpath_runtime::Instant;

use crate::{
    deployment::Domain,
    fault::{BEGINS, COUNTED, LASTS},
    trace::{Job, TEAMS, is_modest, share},
};

/// Time after a fault in which figures may still suffer, in seconds.
const RECOVERY: f64 = 5.0;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a whole answer that reached the caller then.
    Whole(Instant),
    /// Refused before anything of it ran.
    Refused,
    /// Failed, or out of time.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

/// Counts of one run of one domain.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Starts handed over.
    pub starts: u64,
    /// Starts that targets refused.
    pub refused: u64,
    /// Connections that failed.
    pub unreachable: u64,
    /// Starts without a reply.
    pub unanswered: u64,
    /// Tasks told to stop.
    pub stops: u64,
    /// Heartbeats out of their interval.
    pub extra: u64,
    capacity: f64,
    ratios: Vec<f64>,
    /// Ratios of jobs sent when the effects of a fault should be over.
    later: Vec<f64>,
    jobs: u64,
    in_deadline: u64,
    work: f64,
    asked: Vec<f64>,
    got: Vec<f64>,
    asked_jobs: Vec<f64>,
    got_jobs: Vec<f64>,
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(domain: &Domain) -> Tally {
        let teams = || vec![0.0; TEAMS as usize];
        Tally {
            starts: 0,
            refused: 0,
            unreachable: 0,
            unanswered: 0,
            stops: 0,
            extra: 0,
            capacity: domain.capacity(),
            ratios: Vec::new(),
            later: Vec::new(),
            jobs: 0,
            in_deadline: 0,
            work: 0.0,
            asked: teams(),
            got: teams(),
            asked_jobs: teams(),
            got_jobs: teams(),
        }
    }

    /// Takes in the end of a job.
    pub fn ended(&mut self, job: &Job, ended: Ended) {
        if !job.is_counted() || job.is_impossible() || ended == Ended::Cancelled {
            return;
        }
        let team = job.team as usize;
        self.jobs += 1;
        self.asked[team] += job.work();
        self.asked_jobs[team] += 1.0;
        let Ended::Whole(at) = ended else { return };
        let ratio = (at - job.sent).as_secs_f64() / job.alone.as_secs_f64();
        self.ratios.push(ratio);
        let sent = job.sent.as_nanos() as f64 / 1e9;
        if sent >= BEGINS + LASTS + RECOVERY {
            self.later.push(ratio);
        }
        if at <= job.deadline {
            self.in_deadline += 1;
            self.work += job.work();
            self.got[team] += job.work();
            self.got_jobs[team] += 1.0;
        }
    }

    /// Adds the counts of another domain.
    pub fn add(&mut self, other: &Tally) {
        self.starts += other.starts;
        self.refused += other.refused;
        self.unreachable += other.unreachable;
        self.unanswered += other.unanswered;
        self.stops += other.stops;
        self.extra += other.extra;
        self.capacity += other.capacity;
        self.ratios.extend(&other.ratios);
        self.later.extend(&other.later);
        self.jobs += other.jobs;
        self.in_deadline += other.in_deadline;
        self.work += other.work;
        add(&mut self.asked, &other.asked);
        add(&mut self.got, &other.got);
        add(&mut self.asked_jobs, &other.asked_jobs);
        add(&mut self.got_jobs, &other.got_jobs);
    }

    /// Figures of all that was counted.
    pub fn figures(&self) -> Figures {
        let mut ratios = self.ratios.clone();
        ratios.sort_by(f64::total_cmp);
        let messages = 2 * (self.refused + self.stops) + self.unreachable + self.unanswered;
        Figures {
            mean: mean(&ratios),
            p50: rank(&ratios, 0.5),
            p99: rank(&ratios, 0.99),
            p999: rank(&ratios, 0.999),
            later_mean: mean(&self.later),
            wasted: 1000.0 * (messages + self.extra) as f64 / self.starts.max(1) as f64,
            goodput: self.work / (self.capacity * COUNTED),
            in_deadline: self.in_deadline as f64 / self.jobs.max(1) as f64,
            fairness: self.fairness(),
            modest_loss: self.modest_loss(),
        }
    }

    fn fairness(&self) -> f64 {
        let asking = |it: &usize| self.asked[*it] > 0.0;
        let part = |it: usize| {
            let entitled = share(it as u32) * self.capacity * COUNTED;
            (self.got[it] / entitled.min(self.asked[it])).min(1.0)
        };
        let parts: Vec<f64> = (0..TEAMS as usize).filter(asking).map(part).collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|it| it * it).sum();
        sum * sum / (parts.len() as f64 * squares).max(1e-9)
    }

    /// Largest part of its jobs that a team within its quota lost.
    fn modest_loss(&self) -> f64 {
        let modest = (0..TEAMS).filter(|it| is_modest(*it));
        let loss = |it: u32| {
            let team = it as usize;
            1.0 - self.got_jobs[team] / self.asked_jobs[team].max(1.0)
        };
        modest.map(loss).fold(0.0, f64::max)
    }
}

/// Figures of one row of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Mean response ratio.
    pub mean: f64,
    /// Median response ratio.
    pub p50: f64,
    /// 99th percentile of the response ratio.
    pub p99: f64,
    /// 99.9th percentile of the response ratio.
    pub p999: f64,
    /// Mean response ratio of jobs sent 5 s after a fault's end or later.
    pub later_mean: f64,
    /// Wasted messages per 1,000 starts.
    pub wasted: f64,
    /// Work answered in its deadline over capacity.
    pub goodput: f64,
    /// Jobs answered in their deadline.
    pub in_deadline: f64,
    /// Jain's index over teams.
    pub fairness: f64,
    /// Largest part of its jobs that a team within its quota lost.
    pub modest_loss: f64,
}

fn add(a: &mut [f64], b: &[f64]) {
    a.iter_mut().zip(b).for_each(|(a, b)| *a += b);
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn rank(sorted: &[f64], q: f64) -> f64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}
