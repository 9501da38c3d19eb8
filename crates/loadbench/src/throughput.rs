//! Task starts a second.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath::{
    http::{Client, ClientConfig, Request},
    job::{Answer, Outcome},
};
use bluebellpath_runtime::{clock, runtime, spawn};
use http::Method;

use crate::{
    load,
    system::{System, Targets},
};

/// Time before the measurement, in which connections are made.
const WARM_UP: Duration = Duration::from_secs(1);

/// Wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// What to measure.
pub struct Config {
    /// Time of measurement in seconds.
    pub seconds: u64,
    /// Jobs in flight.
    pub jobs: usize,
    /// Tasks of each job.
    pub tasks: usize,
    /// Targets.
    pub targets: usize,
    /// Fewest starts a second to succeed.
    pub floor: u64,
}

#[derive(Default)]
struct Count {
    complete: Cell<u64>,
    other: Cell<u64>,
}

/// Measures and prints; true when the floor was met and every answer whole.
pub fn run(config: &Config) -> io::Result<bool> {
    let system = System::start(config.targets, Targets::Instant)?;
    runtime::block_on(measure(config, &system))
}

async fn measure(config: &Config, system: &System) -> io::Result<bool> {
    let count = Rc::new(Count::default());
    let client = Client::new(ClientConfig {
        connections: config.jobs,
        ..ClientConfig::default()
    });
    clock::sleep(WARM_UP / 2).await;
    for _ in 0..config.jobs {
        let body = load::body(config.tasks);
        drop(spawn(submit(
            client.clone(),
            system.entry,
            body,
            count.clone(),
        )));
    }
    clock::sleep(WARM_UP / 2).await;
    let (began, jobs, cpu) = (clock::now(), count.complete.get(), system.cpu.used()?);
    clock::sleep(Duration::from_secs(config.seconds)).await;
    let elapsed = clock::now() - began;
    let starts = (count.complete.get() - jobs) * config.tasks as u64;
    let cpu = system.cpu.used()? - cpu;
    let rate = starts as f64 / elapsed.as_secs_f64();
    let cost_us = cpu.as_secs_f64() * 1e6 / starts.max(1) as f64;
    println!("task starts             {starts}");
    println!("starts/s, wall clock    {rate:.0}");
    println!(
        "entry's core in use     {:.2}",
        cpu.as_secs_f64() / elapsed.as_secs_f64()
    );
    println!("core time/start, µs     {cost_us:.2}");
    println!("starts/s of core time   {:.0}", 1e6 / cost_us);
    println!("answers not complete    {}", count.other.get());
    Ok(rate >= config.floor as f64 && count.other.get() == 0)
}

async fn submit(client: Client, entry: SocketAddr, body: Vec<u8>, count: Rc<Count>) {
    loop {
        let request = Request::new(Method::POST, "/jobs").with_body(body.clone());
        let response = client.send(entry, request, ANSWER_TIMEOUT).await;
        let answer = response
            .ok()
            .and_then(|it| serde_json::from_slice::<Answer>(&it.body).ok());
        let complete = answer.is_some_and(|it| it.outcome == Outcome::Complete);
        let counter = if complete {
            &count.complete
        } else {
            &count.other
        };
        counter.set(counter.get() + 1);
    }
}
