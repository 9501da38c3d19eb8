//! Jobs that the benches submit.

use bluebellpath::job::{Submission, TaskSpec};

/// Deadline of each job in milliseconds, longer than any bench runs.
const DEADLINE_MS: u64 = 600_000;

/// Body of a job of `tasks` tasks.
pub fn body(tasks: usize) -> Vec<u8> {
    let task = |index| TaskSpec {
        caller: format!("crew-{index}"),
        kind: "quote".to_owned(),
        payload: "{\"item\": 17, \"colour\": \"ochre\"}".to_owned(),
        run_time_ms: None,
        size: 1,
        idempotent: false,
    };
    let submission = Submission {
        team: "default".to_owned(),
        deadline_ms: DEADLINE_MS,
        tasks: (0..tasks).map(task).collect(),
    };
    serde_json::to_vec(&submission).expect("a submission holds only numbers, strings and lists")
}
