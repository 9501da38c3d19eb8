//! Plays one case of the review: stand-ins for the platform, the workers and the
//! clients, around entry instances that run as processes of their own.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod http;
mod json;
mod node;
mod record;
mod scenario;
mod store;
mod worker;

pub use record::Record;

use std::env;
use std::process::ExitCode;
use std::time::Duration;

/// Time after which a play is given up, with all processes that it started.
const LIMIT: Duration = Duration::from_secs(114);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, root, record] = &arguments[..] else {
        eprintln!("usage: review-standin SCENARIO REPOSITORY RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    node::watch(LIMIT);
    record.line(&format!(
        "case {name}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let played = scenario::play(name, root, trouble, &record);
    let broken = record.broken();
    let status = match played {
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            2
        }
        Ok(()) if !broken.is_empty() => 1,
        Ok(()) => 0,
    };
    for line in &broken {
        println!("{line}");
    }
    let end = format!("{} breaches; exit status {status}", broken.len());
    record.line(&end);
    println!("{end}");
    ExitCode::from(status)
}
