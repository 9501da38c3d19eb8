//! A dispatcher in a steady state, to measure one decision.

use std::{collections::VecDeque, time::Duration};

use bluebellpath_dispatch::{
    Assignment, Dispatcher, Ending, Job, JobId, KindId, Policy, Report, Target, TargetId, Task,
    Team, TeamId,
};
use bluebellpath_runtime::Instant;

use crate::{deployment::SLOTS, random::Random};

/// Jobs that wait at all times.
const WAITING: usize = 200;
/// Time between two steps.
const STEP: Duration = Duration::from_micros(500);

/// Dispatcher whose slots are all in use while jobs wait.
pub struct Steady {
    dispatcher: Dispatcher,
    running: VecDeque<Assignment>,
    random: Random,
    teams: u32,
    jobs: u64,
    now: Instant,
}

impl Steady {
    /// Dispatcher of so many targets and teams, warmed up.
    pub fn new(targets: u32, teams: u32) -> Steady {
        let mut dispatcher = Dispatcher::new(Policy::ORDINARY);
        let now = Instant::default();
        for id in 0..targets {
            let target = Target {
                id: TargetId(id),
                slots: SLOTS,
                credit: SLOTS,
                rack: id / 6,
                leaving: false,
            };
            dispatcher.set_target(target, now);
        }
        for id in 0..teams {
            let team = Team {
                weight: id % 4 + 1,
                sustained_per_s: 1000.0,
                burst: 1000.0,
            };
            dispatcher.set_team(TeamId(id), team);
        }
        let mut steady = Steady {
            dispatcher,
            running: VecDeque::new(),
            random: Random::new(3),
            teams,
            jobs: 0,
            now,
        };
        let slots = (targets * SLOTS) as usize;
        (0..slots + WAITING).for_each(|_| steady.submit());
        while let Some(assignment) = steady.decide() {
            steady.started(Some(assignment));
        }
        for _ in 0..20_000 {
            steady.step();
        }
        steady
    }

    /// One task ends, one job comes, one decision is made.
    pub fn step(&mut self) -> Option<Assignment> {
        self.advance();
        let assignment = self.decide();
        self.started(assignment);
        assignment
    }

    /// One task ends and one job comes.
    pub fn advance(&mut self) {
        self.now = self.now + STEP;
        self.finish();
        self.submit();
    }

    /// One decision, without taking note of it.
    pub fn decide(&mut self) -> Option<Assignment> {
        self.dispatcher.next(self.now)
    }

    /// Takes note of a decision.
    pub fn started(&mut self, assignment: Option<Assignment>) {
        self.running.extend(assignment);
    }

    /// Tasks that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> usize {
        self.dispatcher.waiting()
    }

    fn finish(&mut self) {
        if self.dispatcher.waiting() < WAITING && self.random.unit() < 0.5 {
            return;
        }
        let Some(assignment) = self.running.pop_front() else {
            return;
        };
        // Slowness of 1 to 4, so that all classes of speed are in use.
        let slowness = 1 + assignment.target.0 % 4;
        let report = Report {
            assignment,
            ending: Ending::Complete,
            elapsed: Duration::from_millis(100) * slowness,
        };
        self.dispatcher.finish(report, self.now);
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let task = Task {
            index: 0,
            kind: KindId(self.random.below(6) as u32),
            size: 1,
            declared_run_time: None,
            idempotent: true,
        };
        let job = Job {
            id: JobId(self.jobs),
            team: TeamId(self.random.below(self.teams as usize) as u32),
            deadline: self.now + Duration::from_secs(3600),
            input_bytes: 100,
            tasks: vec![task],
        };
        let _accepted = self.dispatcher.submit(job, self.now);
    }
}
