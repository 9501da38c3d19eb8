//! Random jobs.

use std::time::Duration;

use bluebellpath::job::{Submission, TaskSpec};
use rand::{RngExt, rngs::StdRng};

/// Kinds of task with the callers who send them.
const KINDS: [(&str, &str); 3] = [
    ("swatch", "inspector"),
    ("recipe", "mixer"),
    ("dispatch", "crew"),
];

/// Callers of each kind. One caller's answers come in order, so few callers
/// would wait for each other's.
const CALLERS: u32 = 500;

/// Job with what is known of it beforehand.
pub struct Job {
    /// What is submitted.
    pub submission: Submission,
    /// Response of idle, nominal targets.
    pub ideal: Duration,
}

/// Draws a job of 1 to 12 tasks of 50 to 300 ms.
pub fn random(rng: &mut StdRng) -> Job {
    let tasks = rng.random_range(1..=12);
    let run_times: Vec<u64> = (0..tasks).map(|_| rng.random_range(50..=300)).collect();
    let longest = run_times.iter().copied().max().unwrap_or_default();
    let (kind, caller) = KINDS[rng.random_range(0..KINDS.len())];
    let person = rng.random_range(0..CALLERS);
    let task = |run_ms: &u64| TaskSpec {
        caller: format!("{caller}-{person}"),
        kind: kind.to_owned(),
        payload: serde_json::json!({ "run_ms": run_ms }).to_string(),
        run_time_ms: Some(*run_ms),
        size: 1,
        idempotent: kind == "swatch",
    };
    let submission = Submission {
        team: "default".to_owned(),
        deadline_ms: 20_000,
        tasks: run_times.iter().map(task).collect(),
    };
    Job {
        submission,
        ideal: Duration::from_millis(longest),
    }
}
