//! Callers while targets lose a part of their answers.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_fleet::frontend::Answer;
use bluebellpath_runtime::{clock, runtime};
use bluebellpath_standin::Mishap;

use crate::system::{JobSpec, SMALL, System, sleep_ms};

/// Jobs in a session.
const JOBS: u64 = 100;

/// Guards against results that are hidden, and capacity that stays unused, until a
/// lost poll has timed out.
#[test]
fn lost_polls_do_not_delay_results() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        for id in system.targets.list().keys() {
            system.targets.set_mishap(id, Mishap::Lossy(8));
        }
        sleep_ms(1_000).await;
        let in_time = Rc::new(Cell::new(0));
        for job in 1..=JOBS {
            let spec = JobSpec {
                job,
                cores: 16,
                run_ms: 60,
                ..JobSpec::default()
            };
            let number = usize::try_from(job % 4).expect("small");
            let instance = &system.instances[number];
            let (node, in_time) = (instance.node.clone(), in_time.clone());
            drop(instance.scope.spawn(async move {
                let submission = spec.submission();
                let goal = submission.latency_goal;
                let submitted_at = clock::now();
                let answer = node.frontend().submit(submission).await;
                let took = clock::now() - submitted_at;
                if answer == Answer::Completed && took <= goal {
                    in_time.set(in_time.get() + 1);
                }
            }));
            clock::sleep(Duration::from_millis(60)).await;
        }
        sleep_ms(3_000).await;
        system.assert_no_violations();
        let served = in_time.get();
        assert!(served * 10 >= JOBS * 9, "{served} of {JOBS} jobs in time");
    });
}
