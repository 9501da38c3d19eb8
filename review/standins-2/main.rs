//! Stand-ins of the second review: the platform's store, workers, clients and the
//! platform's load balancer, in one process that starts the entry instances as
//! processes of their own. Only the standard library is used.
//!
//! `main SCENARIO on|off RECORD` plays one scenario, with the disruption or without it. It
//! exits with 1 if the rule was broken, 0 if it held and 2 if the scenario could not be
//! played.

mod entry;
mod http;
mod json;
mod scenario;
mod store;
mod worker;

use std::{
    fs::File,
    io::Write,
    os::unix::process::parent_id,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
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

/// Longest time for one scenario.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ends all processes of this one, and this one with code 2, when the script that started
/// it is gone or the time is over.
fn watch() {
    let parent = parent_id();
    let since = Instant::now();
    thread::spawn(move || {
        while parent_id() == parent && since.elapsed() < TIME_LIMIT {
            thread::sleep(Duration::from_millis(100));
        }
        entry::kill_all();
        std::process::exit(2);
    });
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, trouble, path) = match &arguments[..] {
        [_, name, trouble, path] if ["on", "off"].contains(&trouble.as_str()) => {
            (name, trouble == "on", path)
        }
        _ => {
            eprintln!("usage: SCENARIO on|off RECORD");
            std::process::exit(2);
        }
    };
    let record = match Record::new(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    watch();
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
