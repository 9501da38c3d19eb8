//! What submitters do in a session.

use std::time::Duration;

use bluebellpath::job::{Submission, TaskSpec};
use rand::{RngExt, rngs::StdRng};

use crate::{Case, Fault};

/// Time in which jobs are submitted first.
const SPAN: Duration = Duration::from_secs(8);

/// Slots of the largest target; a larger task can never run.
const LARGEST: u32 = 4;

/// How a job gets its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Ticket of the member at this index.
    Ticket(usize),
    /// Caller's own key.
    Key,
}

/// One request of a submitter.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Time since the start of the session.
    pub at: Duration,
    /// Index of the member that gets the request.
    pub member: usize,
    /// True when the content differs from the first submission's.
    pub altered: bool,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Number within the session.
    pub number: usize,
    /// How the job gets its id.
    pub way: Way,
    /// What is submitted.
    pub submission: Submission,
    /// Submissions, the first one included.
    pub tries: Vec<Try>,
    /// Cancellations.
    pub cancels: Vec<Try>,
    /// Later questions for the answer.
    pub fetches: Vec<Try>,
}

/// What submitters do in a session.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Jobs.
    pub jobs: Vec<Planned>,
}

impl Plan {
    /// Plan of `case` for a fleet with `members` entry instances.
    pub fn new(case: &Case, members: usize, rng: &mut StdRng) -> Plan {
        let jobs = rng.random_range(10..24);
        let jobs = (0..jobs).map(|it| planned(case, members, it, rng));
        Plan {
            jobs: jobs.collect(),
        }
    }
}

fn planned(case: &Case, members: usize, number: usize, rng: &mut StdRng) -> Planned {
    let first = pick(rng, Duration::ZERO, SPAN, members);
    let way = match rng.random_range(0..2) {
        0 => Way::Ticket(rng.random_range(0..members)),
        _ => Way::Key,
    };
    let mut tries = vec![first];
    if case.has(Fault::Everywhere) && rng.random_range(0..3) > 0 {
        let all = (0..members).filter(|it| *it != first.member);
        tries.extend(all.map(|member| Try { member, ..first }));
    }
    for _ in 0..[0, 0, 1, 1, 2][rng.random_range(0..5)] {
        let mut again = pick(rng, first.at, Duration::from_secs(6), members);
        again.altered = rng.random_range(0..8) == 0;
        tries.push(again);
    }
    let wave = if case.has(Fault::Cancellations) {
        2
    } else {
        12
    };
    let mut cancels = Vec::new();
    if rng.random_range(0..wave) == 0 {
        cancels.push(pick(rng, first.at, Duration::from_millis(800), members));
    }
    let mut fetches = Vec::new();
    if rng.random_range(0..3) == 0 {
        fetches.push(pick(rng, first.at, Duration::from_secs(8), members));
    }
    Planned {
        number,
        way,
        submission: submission(case, rng),
        tries,
        cancels,
        fetches,
    }
}

fn pick(rng: &mut StdRng, from: Duration, span: Duration, members: usize) -> Try {
    let span = span.as_micros() as u64;
    Try {
        at: from + Duration::from_micros(rng.random_range(0..span)),
        member: rng.random_range(0..members),
        altered: false,
    }
}

fn submission(case: &Case, rng: &mut StdRng) -> Submission {
    let tasks = rng.random_range(1..6);
    let hopeless = case.has(Fault::Hopeless) && rng.random_range(0..3) == 0;
    let mut tasks: Vec<TaskSpec> = (0..tasks).map(|_| task(rng)).collect();
    if hopeless {
        tasks[0].size = LARGEST + 1;
    }
    Submission {
        team: "default".to_owned(),
        deadline_ms: rng.random_range(300..4_000),
        tasks,
    }
}

fn task(rng: &mut StdRng) -> TaskSpec {
    TaskSpec {
        caller: format!("crew-{}", rng.random_range(0..6)),
        kind: "quote".to_owned(),
        payload: format!("{{\"run_ms\": {}}}", rng.random_range(20..600)),
        run_time_ms: None,
        size: rng.random_range(1..3),
        idempotent: false,
    }
}
