//! Stand-ins of the second review: the platform's store, workers, clients and the
//! platform's load balancer, in one process that starts the entry instances as
//! processes of their own. Only the standard library is used.
//!
//! `main SCENARIO RECORD` plays one scenario and exits with 1 if the rule was broken,
//! 0 if it held and 2 if the scenario could not be played. `TROUBLE=0` leaves the
//! disruption out.

mod entry;
mod http;
mod json;
mod scenario;
mod store;
mod worker;

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    since: Instant,
}

impl Record {
    fn new(path: &str) -> std::io::Result<Arc<Record>> {
        Ok(Arc::new(Record {
            file: Mutex::new(File::create(path)?),
            since: Instant::now(),
        }))
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now_ms() as f64 / 1e3);
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Wall time in Unix milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: SCENARIO RECORD");
        std::process::exit(2);
    };
    let record = match Record::new(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    record.note(&format!("scenario {name}, disruption {trouble}"));
    let code = match scenario::play(name, trouble, &record) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.note(&format!("could not be played: {error}"));
            2
        }
    };
    record.note(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "no result",
    });
    std::process::exit(code);
}
