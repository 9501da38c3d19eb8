//! A planned stop under steady load.

use std::time::Duration;

use bluebellpath::job::{Id, Outcome, Submission, TaskSpec};
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Fleet, Layout};

/// Time in which a fleet has taken its shards and its instances know each other.
const SETTLED: Duration = Duration::from_secs(8);

/// Time between two submissions.
const INTERVAL: Duration = Duration::from_millis(20);

/// Jobs of a session, 6 s of them.
const JOBS: usize = 300;

fn key(number: usize) -> Id {
    format!("order-{number}").parse().expect("a valid key")
}

fn submission() -> Submission {
    Submission {
        team: "default".to_owned(),
        deadline_ms: 5_000,
        tasks: vec![TaskSpec {
            caller: "crew".to_owned(),
            kind: "quote".to_owned(),
            payload: "{\"run_ms\": 200}".to_owned(),
            run_time_ms: None,
            size: 1,
            idempotent: false,
        }],
    }
}

#[test]
fn an_instance_that_handed_over_falls_idle_and_cuts_nothing_off() {
    let (busy, outcomes) = runtime::paused(async {
        let fleet = Fleet::start(Layout {
            domains: 1,
            entries: 2,
            ..Layout::default()
        });
        clock::sleep(SETTLED).await;
        let (stopping, other) = (fleet.members[0].entry(), fleet.members[1].entry());
        let load = spawn(async move {
            let mut answers = Vec::new();
            for number in 0..JOBS {
                let other = other.clone();
                answers.push(spawn(async move {
                    other.submit(key(number), submission()).await
                }));
                clock::sleep(INTERVAL).await;
            }
            let mut outcomes = Vec::new();
            for answer in answers {
                let answer = answer.await.expect("the instance lives");
                outcomes.push(answer.expect("a valid submission").outcome);
            }
            outcomes
        });
        clock::sleep(Duration::from_secs(1)).await;
        let before = stopping.pending_work().jobs;
        stopping.hand_over_shards().await;
        clock::sleep(Duration::from_secs(1)).await;
        let mut busy = vec![before];
        for _ in 0..50 {
            clock::sleep(INTERVAL).await;
            busy.push(stopping.pending_work().jobs);
        }
        (busy, load.await.expect("the load ends"))
    });
    assert!(busy[0] > 0, "the instance owned no key before");
    assert_eq!(busy[1..].iter().sum::<usize>(), 0, "{busy:?}");
    assert_eq!(outcomes, vec![Outcome::Complete; JOBS]);
}
