/*!
The demonstration: real jobs over HTTP on loopback, in one process.

One thread serves the stand-ins, one runs an entry instance, and this one
submits jobs and checks the answers.
*/

mod job;
mod system;
mod tally;

use std::{cell::RefCell, process::ExitCode, rc::Rc, time::Duration};

use bluebellpath::{
    http::{Client, ClientConfig, Request},
    job::{Answer, Submission},
};
use bluebellpath_runtime::{clock, runtime, spawn};
use http::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::{system::System, tally::Tally};

/// Size of the demonstration.
pub struct Config {
    /// Jobs to submit.
    pub jobs: u64,
    /// Seed of the jobs.
    pub seed: u64,
}

/// Longest pause between two submissions, in milliseconds.
const MAX_PAUSE_MS: u64 = 160;

/// Time between two questions whether the instance is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Wait for an answer, longer than any deadline in the demonstration.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demonstration; fails unless every answer was whole.
pub fn run(config: &Config) -> ExitCode {
    let system = match System::start() {
        Ok(system) => system,
        Err(error) => {
            eprintln!("bluebellpath: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!(
        "entry instance on http://{}, {} targets",
        system.entry,
        system.targets.len()
    );
    let tally = runtime::block_on(submit_all(config, &system));
    tally.print(system.messages());
    if tally.is_whole() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn submit_all(config: &Config, system: &System) -> Tally {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let tally = Rc::new(RefCell::new(Tally::default()));
    let client = Client::new(ClientConfig::default());
    while !is_ready(&client, system.entry).await {
        clock::sleep(READY_POLL).await;
    }
    let mut handles = Vec::new();
    for number in 0..config.jobs {
        let job = job::random(&mut rng);
        let (client, added, entry) = (client.clone(), tally.clone(), system.entry);
        handles.push(spawn(async move {
            let began = clock::now();
            let answer = submit(&client, entry, number, &job.submission).await;
            added
                .borrow_mut()
                .add(&job, answer.as_ref(), clock::now() - began);
        }));
        clock::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        if (number + 1).is_multiple_of(10) {
            let answered = tally.borrow().jobs;
            println!(
                "{} of {} jobs submitted, {answered} answered",
                number + 1,
                config.jobs
            );
        }
    }
    for handle in handles {
        handle.await;
    }
    tally.take()
}

async fn is_ready(client: &Client, entry: std::net::SocketAddr) -> bool {
    let request = Request::new(Method::GET, "/health/ready");
    let response = client.send(entry, request, ANSWER_TIMEOUT).await;
    response.is_ok_and(|it| it.status.is_success())
}

async fn submit(
    client: &Client,
    entry: std::net::SocketAddr,
    number: u64,
    submission: &Submission,
) -> Option<Answer> {
    let key = http::HeaderName::from_static("idempotency-key");
    let request = Request::new(Method::POST, "/jobs")
        .with_header(key, &format!("demo-{number}"))
        .with_body(serde_json::to_vec(submission).ok()?);
    let response = client.send(entry, request, ANSWER_TIMEOUT).await.ok()?;
    serde_json::from_slice(&response.body).ok()
}
