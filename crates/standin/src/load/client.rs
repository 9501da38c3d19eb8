//! Submits jobs at a steady rate.

use std::{
    cell::RefCell,
    fs::File,
    io::{self, BufWriter, Write},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use bluebellpath::{
    http::{Client, ClientConfig, Request, Response},
    job::{Answer, Id, Outcome, Submission, TaskSpec},
};
use bluebellpath_runtime::{clock, spawn};
use http::{HeaderName, Method};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Deserialize;

use super::Line;
use crate::targets::Work;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Attempts for one job, each at the next entry instance.
const MAX_ATTEMPTS: usize = 4;

/// Pause before the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Load to be made.
#[derive(Clone, Debug)]
pub struct Config {
    /// Entry instances.
    pub entries: Vec<SocketAddr>,
    /// Jobs submitted each second.
    pub jobs_per_s: u32,
    /// Seconds of load.
    pub seconds: u32,
    /// Largest number of tasks in a job.
    pub max_tasks: u32,
    /// Seed of the jobs.
    pub seed: u64,
    /// File that takes the lines.
    pub answers: PathBuf,
}

struct Shared {
    config: Config,
    client: Client,
    output: RefCell<BufWriter<File>>,
}

#[derive(Deserialize)]
struct Tickets {
    tickets: Vec<Id>,
}

#[derive(Deserialize)]
struct Outcomes {
    outcome: Outcome,
}

/// Makes the load and waits for the last answer.
pub async fn run(config: Config) -> io::Result<()> {
    let output = BufWriter::new(File::create(&config.answers)?);
    let mut rng = StdRng::seed_from_u64(config.seed);
    let jobs = config.jobs_per_s * config.seconds;
    let interval = Duration::from_secs(1) / config.jobs_per_s.max(1);
    let client = Client::new(ClientConfig {
        connections: 10_000,
        ..ClientConfig::default()
    });
    let shared = Rc::new(Shared {
        config,
        client,
        output: RefCell::new(output),
    });
    let began = clock::now();
    let mut handles = Vec::new();
    for number in 0..jobs {
        let submission = random(&mut rng, shared.config.max_tasks);
        handles.push(spawn(submit(shared.clone(), number, submission)));
        clock::sleep_until(began + interval * (number + 1)).await;
    }
    for handle in handles {
        handle.await;
    }
    shared.output.borrow_mut().flush()
}

async fn submit(shared: Rc<Shared>, number: u32, submission: Submission) {
    let (submitted_ms, began) = (clock::wall(), clock::now());
    let id = shared.id(number).await;
    let mut line = Line {
        job: id,
        tasks: submission.tasks.len() as u32,
        answers: Vec::new(),
        cut: 0,
        submitted_ms,
        elapsed_ms: 0,
    };
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            clock::sleep(RETRY_PAUSE).await;
        }
        match shared
            .attempt(number as usize + attempt, &line.job, &submission)
            .await
        {
            Attempt::Answered(outcome) => {
                line.answers.push(outcome);
                if outcome != Outcome::NotRun {
                    break;
                }
            }
            Attempt::Cut => line.cut += 1,
            Attempt::Unsent => {}
        }
    }
    line.elapsed_ms = (clock::now() - began).as_millis() as u64;
    shared.write(&line);
}

enum Attempt {
    Answered(Outcome),
    Cut,
    Unsent,
}

impl Shared {
    fn entry(&self, turn: usize) -> SocketAddr {
        self.config.entries[turn % self.config.entries.len()]
    }

    /// A ticket for every other job, a key of our own for the rest.
    async fn id(&self, number: u32) -> Id {
        if number.is_multiple_of(2)
            && let Some(ticket) = self.ticket(number as usize).await
        {
            return ticket;
        }
        let text = format!("load-{}-{number}", self.config.seed);
        text.parse()
            .expect("the text holds only letters, digits and dashes")
    }

    async fn ticket(&self, turn: usize) -> Option<Id> {
        let request = Request::new(Method::POST, "/tickets");
        let response = self
            .client
            .send(self.entry(turn), request, ANSWER_TIMEOUT)
            .await
            .ok()?;
        let tickets: Tickets = serde_json::from_slice(&response.body).ok()?;
        tickets.tickets.into_iter().next()
    }

    async fn attempt(&self, turn: usize, id: &Id, submission: &Submission) -> Attempt {
        let key = HeaderName::from_static("idempotency-key");
        let body = serde_json::to_vec(submission).unwrap_or_default();
        let request = Request::new(Method::POST, "/jobs")
            .with_header(key, &id.to_string())
            .with_body(body);
        match self
            .client
            .send(self.entry(turn), request, ANSWER_TIMEOUT)
            .await
        {
            Ok(response) => outcome(&response).map_or(Attempt::Cut, Attempt::Answered),
            Err(error) if error.sent => Attempt::Cut,
            Err(_) => Attempt::Unsent,
        }
    }

    fn write(&self, line: &Line) {
        let mut output = self.output.borrow_mut();
        let written = serde_json::to_writer(&mut *output, line).is_ok();
        if !written || output.write_all(b"\n").is_err() {
            eprintln!("bluebellpath-standin: a line could not be written");
        }
    }
}

fn outcome(response: &Response) -> Option<Outcome> {
    if let Ok(answer) = serde_json::from_slice::<Answer>(&response.body) {
        return Some(answer.outcome);
    }
    serde_json::from_slice::<Outcomes>(&response.body)
        .ok()
        .map(|it| it.outcome)
}

fn random(rng: &mut StdRng, max_tasks: u32) -> Submission {
    let tasks = rng.random_range(1..=max_tasks.max(1));
    let task = |index: u32, run_ms: u64| TaskSpec {
        caller: format!("crew-{}", index % 5),
        kind: "quote".to_owned(),
        payload: serde_json::to_string(&Work { run_ms }).unwrap_or_default(),
        run_time_ms: None,
        size: 1,
        idempotent: false,
    };
    Submission {
        team: "default".to_owned(),
        deadline_ms: 10_000,
        tasks: (0..tasks)
            .map(|it| task(it, rng.random_range(50..=300)))
            .collect(),
    }
}
