//! Resident bytes of jobs that wait.

use std::{
    io::{self, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crate::{
    load,
    system::{System, Targets},
    usage,
};

/// Jobs submitted before the first reading, so that lazy set-up is over.
const WARM_UP_JOBS: usize = 100;

/// Time after which the entry instance has taken in what was sent.
const SETTLE: Duration = Duration::from_secs(2);

/// What to measure.
pub struct Config {
    /// Jobs that wait.
    pub jobs: usize,
    /// Tasks of each job.
    pub tasks: usize,
}

/// Measures and prints.
///
/// A caller closes its end once the job is sent, which saves descriptors; the
/// entry instance keeps the connection with its buffers until the answer.
pub fn run(config: &Config) -> io::Result<bool> {
    let system = System::start(1, Targets::Silent)?;
    thread::sleep(SETTLE);
    let body = load::body(config.tasks);
    for _ in 0..WARM_UP_JOBS {
        submit(&system, &body)?;
    }
    thread::sleep(SETTLE);
    let before = usage::resident()?;
    for _ in 0..config.jobs {
        submit(&system, &body)?;
    }
    thread::sleep(SETTLE);
    let grown = usage::resident()?.saturating_sub(before);
    println!("jobs waiting            {}", config.jobs);
    println!("tasks of each           {}", config.tasks);
    println!("resident bytes grown    {grown}");
    println!(
        "bytes/job               {}",
        grown / config.jobs.max(1) as u64
    );
    Ok(true)
}

fn submit(system: &System, body: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect(system.entry)?;
    let head = format!(
        "POST /jobs HTTP/1.1\r\nhost: bench\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}
