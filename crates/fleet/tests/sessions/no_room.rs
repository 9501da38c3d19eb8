//! Jobs for which a frontend has no room.

use bluebellpath_fleet::{JobId, frontend::Answer};
use bluebellpath_runtime::runtime;

use crate::system::{JobSpec, Layout, System, sleep_ms};

/// Time until all instances serve.
const WARM_UP_MS: u64 = 3_000;

const LAYOUT: Layout = Layout {
    domains: 1,
    instances: 2,
    targets: 4,
};

struct Case {
    name: &'static str,
    /// Instance that has the job from an earlier attempt.
    running_at: Option<usize>,
    /// Whether the answer says that the job never runs.
    is_refused: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "a job that nobody has",
        running_at: None,
        is_refused: true,
    },
    Case {
        name: "a job that runs here",
        running_at: Some(0),
        is_refused: false,
    },
    Case {
        name: "a job that runs at a peer",
        running_at: Some(1),
        is_refused: false,
    },
];

/// Guards against a refusal that says "never runs" of a job whose first attempt runs.
#[test]
fn a_job_without_room_is_refused_only_if_no_attempt_of_it_runs() {
    for case in CASES {
        runtime::paused(async move {
            let system = System::start(LAYOUT).await;
            sleep_ms(WARM_UP_MS).await;
            let spec = JobSpec {
                run_ms: 2_000,
                ..JobSpec::default()
            };
            if let Some(number) = case.running_at {
                system.submit(number, spec);
            }
            sleep_ms(300).await;
            let answer = system.instances[0].node.frontend().refuse(JobId(1)).await;
            let is_refused = matches!(answer, Answer::Refused(_));
            assert_eq!(is_refused, case.is_refused, "{}: {answer:?}", case.name);
            sleep_ms(8_000).await;
            let has_run = system.started_runs(1) > 0;
            assert_eq!(has_run, case.running_at.is_some(), "{}", case.name);
            system.assert_no_violations();
        });
    }
}
