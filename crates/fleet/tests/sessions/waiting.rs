//! Tasks that wait for capacity at their owner.

use std::time::Duration;

use bluebellpath_fleet::frontend::{Answer, Submission};
use bluebellpath_runtime::{clock, runtime, spawn};

use futures_util::future::join;

use crate::system::{JobSpec, Layout, SMALL, System, sleep_ms};

/// Job that occupies all targets of [`SMALL`] for `run_ms` milliseconds.
fn occupant(run_ms: u64) -> JobSpec {
    JobSpec {
        job: 1,
        tasks: 8,
        cores: 60,
        run_ms,
        ..JobSpec::default()
    }
}

/// Guards against answers that leave open whether a task has run, and against jobs
/// that wait until their deadline although their answer has no value any more.
#[test]
fn a_job_that_expires_before_any_start_is_refused() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        system.submit(0, occupant(1_000));
        sleep_ms(100).await;
        let submission = Submission {
            priority: 0,
            ..JobSpec {
                job: 2,
                tasks: 6,
                run_ms: 50,
                ..JobSpec::default()
            }
            .submission()
        };
        // The latency goal is 140 ms, and an answer after three times that is useless.
        let expiry = Duration::from_millis(3 * 140 - 50);
        let submitted_at = clock::now();
        let answer = system.instances[3].node.frontend().submit(submission).await;
        let took = clock::now() - submitted_at;
        assert!(matches!(answer, Answer::Refused(_)), "{answer:?}");
        assert_eq!(system.started_runs(2), 0);
        assert!(
            expiry <= took && took <= expiry + Duration::from_millis(60),
            "{took:?}"
        );
        sleep_ms(1_500).await;
        assert_eq!(system.answer(1), Some(Answer::Completed));
        system.assert_no_violations();
    });
}

/// Guards against a wide urgent task that smaller tasks of lower priority overtake for
/// as long as they arrive.
#[test]
fn a_wide_task_is_not_overtaken_by_smaller_ones() {
    runtime::paused(async {
        let layout = Layout {
            domains: 1,
            instances: 1,
            targets: 1,
        };
        let system = System::start(layout).await;
        let node = &system.instances[0].node;
        let submit_small = async {
            for job in 100..150 {
                // One ends before the next arrives, so at least one is always running.
                // The goal is long enough for admission behind the wide task.
                let small = Submission {
                    latency_goal: Duration::from_secs(1),
                    ..JobSpec {
                        job,
                        tasks: 1,
                        cores: 24,
                        run_ms: 90,
                        ..JobSpec::default()
                    }
                    .submission()
                };
                let frontend = node.frontend().clone();
                drop(spawn(async move { frontend.submit(small).await }));
                sleep_ms(50).await;
            }
        };
        let submit_wide = async {
            sleep_ms(300).await;
            let submission = Submission {
                priority: 0,
                ..JobSpec {
                    tasks: 1,
                    cores: 48,
                    run_ms: 400,
                    ..JobSpec::default()
                }
                .submission()
            };
            let goal = submission.latency_goal;
            let submitted_at = clock::now();
            let answer = node.frontend().submit(submission).await;
            let took = clock::now() - submitted_at;
            assert_eq!(answer, Answer::Completed);
            assert!(took <= goal, "{took:?} with a goal of {goal:?}");
        };
        join(submit_small, submit_wide).await;
        system.assert_no_violations();
    });
}

/// Guards against a task that is started over because it takes longer than declared,
/// while other tasks show that its targets work.
#[test]
fn a_long_task_is_not_stopped_on_a_target_that_works() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        let node = &system.instances[0].node;
        let long = JobSpec {
            tasks: 2,
            cores: 20,
            ..JobSpec::default()
        };
        // Seven times as long as declared.
        let long = Submission {
            spec: "20000 1400".into(),
            ..long.submission()
        };
        let submit_short = async {
            for job in 100..150 {
                let short = JobSpec {
                    job,
                    tasks: 8,
                    cores: 20,
                    run_ms: 30,
                    ..JobSpec::default()
                };
                system.submit((job % 4) as usize, short);
                sleep_ms(30).await;
            }
        };
        let submit_long = async {
            sleep_ms(100).await;
            node.frontend().submit(long).await
        };
        let (_, answer) = join(submit_short, submit_long).await;
        assert_eq!(answer, Answer::Completed);
        assert_eq!(system.started_runs(1), 2);
        system.assert_no_violations();
    });
}
