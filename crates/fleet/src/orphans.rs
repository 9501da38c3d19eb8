/*!
Runs that no frontend waits for.

A frontend that dies leaves runs behind, and so does an owner until the frontends
have found its runs again. Such a run goes on until its owner stops it, and each
owner that takes the target over gives it new time. The caller meanwhile submits the
job again, to any instance.

An owner therefore reports such runs to all instances as soon as it knows of them.
A frontend claims the reported runs of a task before it starts the task, and an owner
starts no run with a number that is not above a reported one. An end that nobody has
asked for is reported like a run: the claim returns it.
*/

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use serde::{Deserialize, Serialize};

use crate::{JobId, TaskId};

/// Most runs that are remembered. An instance at its limit of targets has fewer.
const MAX_RUNS: usize = 4_096;

/// Run that no frontend waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Orphan {
    /// Task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Short id of the target.
    pub target: u32,
}

/// Runs that one owner has found without a frontend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Address of the owner.
    pub owner: SocketAddr,
    /// Runs on its targets.
    pub orphans: Vec<Orphan>,
}

/// Reported run, and where to claim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// Run.
    pub orphan: Orphan,
    /// Address of the owner that reported it last.
    pub owner: SocketAddr,
    /// Time after which the run is certainly over unless it was reported again.
    pub expires_at: Instant,
}

/// Reported runs.
#[derive(Debug, Default)]
pub struct Registry {
    /// By task, run number and short id of the target: submissions of one job that don't
    /// know of each other use the same numbers.
    runs: RefCell<BTreeMap<(TaskId, u32, u32), Sighting>>,
}

impl Registry {
    /// Remembers the runs of a report for `retention`.
    pub fn record(&self, report: &Report, retention: Duration) {
        let expires_at = clock::now() + retention;
        let mut runs = self.runs.borrow_mut();
        for orphan in &report.orphans {
            let key = (orphan.task, orphan.run, orphan.target);
            if !runs.contains_key(&key) && runs.len() >= MAX_RUNS {
                let oldest = runs.iter().min_by_key(|it| it.1.expires_at);
                if let Some(oldest) = oldest.map(|it| *it.0) {
                    runs.remove(&oldest);
                }
            }
            let sighting = Sighting {
                orphan: *orphan,
                owner: report.owner,
                expires_at,
            };
            runs.insert(key, sighting);
        }
    }

    /// Returns the reported runs of `task` with the lowest number from `run` on, which
    /// are on different targets.
    pub fn next_runs(&self, task: TaskId, run: u32) -> Vec<Sighting> {
        let runs = self.runs.borrow();
        let later = runs.range((task, run, 0)..=(task, u32::MAX, u32::MAX));
        let mut later = later.map(|it| *it.1).peekable();
        let number = later.peek().map(|it| it.orphan.run);
        later
            .take_while(|it| Some(it.orphan.run) == number)
            .collect()
    }

    /// Returns what an instance has to know that has just been heard, by owner: the
    /// runs whose owners satisfy `is_reporter`.
    pub fn reports(&self, is_reporter: impl Fn(SocketAddr) -> bool) -> Vec<Report> {
        let mut reports: BTreeMap<SocketAddr, Vec<Orphan>> = BTreeMap::new();
        for sighting in self.runs.borrow().values() {
            if is_reporter(sighting.owner) {
                let orphans = reports.entry(sighting.owner).or_default();
                orphans.push(sighting.orphan);
            }
        }
        let reports = reports.into_iter();
        reports
            .map(|(owner, orphans)| Report { owner, orphans })
            .collect()
    }

    /// Forgets expired runs; must be called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.runs.borrow_mut().retain(|_, it| now < it.expires_at);
    }
}

impl Report {
    /// Returns the jobs of the runs.
    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.orphans.iter().map(|it| it.task.job)
    }
}
