//! What operators see: metrics and the dump, under load too.

use std::{thread, time::Duration};

use bluebellpath::dump;

use crate::{
    caller::job,
    system::{System, settings},
};

/// Jobs that wait while the dump is taken.
const WAITING: usize = 300;

/// Slots of the only target.
const SLOTS: usize = 64;

/// Dumps taken at most until all jobs are in.
const MAX_LOOKS: usize = 1_000;

#[test]
fn metrics_count_what_happened() {
    let system = System::start(settings());
    let mut caller = system.caller();
    for _ in 0..3 {
        assert_eq!(caller.post("/jobs", &job(20)).status, 200);
    }
    let hopeless = job(1).replace("\"kind\"", "\"size\": 100, \"kind\"");
    let refused = caller.post("/jobs", &hopeless);
    assert_eq!(refused.status, 422, "{refused:?}");
    let metrics = caller.get("/metrics").body;
    for line in [
        "bluebellpath_response_seconds_count{outcome=\"complete\"} 3",
        "bluebellpath_response_seconds_count{outcome=\"not_run\"} 1",
        "bluebellpath_response_seconds_bucket{outcome=\"complete\",le=\"0.01\"} 0",
        "bluebellpath_response_seconds_bucket{outcome=\"complete\",le=\"+Inf\"} 3",
        "bluebellpath_response_ratio_count 3",
        "bluebellpath_starts_total{ending=\"complete\"} 3",
        "bluebellpath_tasks_waiting 0",
        "bluebellpath_targets 1",
        "# TYPE bluebellpath_response_seconds histogram",
    ] {
        let found = metrics.lines().any(|it| it == line);
        assert!(found, "{line} is not in:\n{metrics}");
    }
}

#[test]
fn a_dump_under_load_is_bounded() {
    let system = System::start(settings());
    let callers: Vec<_> = (0..WAITING)
        .map(|_| {
            let mut caller = system.caller();
            caller.request("POST", "/jobs", "", &job(12_000));
            caller
        })
        .collect();
    let mut operator = system.caller();
    let mut state = dump(&operator.get("/debug/state?limit=5").body);
    for _ in 0..MAX_LOOKS {
        if state.running + state.waiting == WAITING && state.running == SLOTS {
            break;
        }
        // Jobs are taken in one by one.
        thread::sleep(Duration::from_millis(5));
        state = dump(&operator.get("/debug/state?limit=5").body);
    }
    assert_eq!(state.jobs.total, WAITING, "{state:?}");
    assert_eq!(state.jobs.rows.len(), 5);
    assert_eq!(state.running, SLOTS, "{state:?}");
    assert_eq!(state.waiting, WAITING - SLOTS, "{state:?}");
    assert_eq!(state.targets.rows[0].name, "target");
    let refused = operator.get("/debug/state?limit=100000");
    assert_eq!(refused.status, 400);
    drop(callers);
}

fn dump(body: &str) -> dump::State {
    serde_json::from_str(body).expect("a dump")
}
