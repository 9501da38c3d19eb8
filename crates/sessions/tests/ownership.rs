//! Hand-over, take-over, resubmission and cancellation, one at a time.

use std::{rc::Rc, time::Duration};

use bluebellpath::{
    entry::Refusal,
    job::{Answer, Id, Outcome, Submission, TaskSpec},
    platform::Table,
};
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Fleet, Layout};

/// Time in which a fleet has taken its shards and its instances know each other.
const SETTLED: Duration = Duration::from_secs(8);

/// Longest time after a crash until its keys are served again.
const RECOVERY: Duration = Duration::from_secs(5);

/// Crashes whose recovery is measured.
const CRASHES: u64 = 100;

fn submission(run_ms: u64, deadline_ms: u64, tasks: usize) -> Submission {
    let task = TaskSpec {
        caller: "crew".to_owned(),
        kind: "quote".to_owned(),
        payload: format!("{{\"run_ms\": {run_ms}}}"),
        run_time_ms: None,
        size: 1,
        idempotent: false,
    };
    Submission {
        team: "default".to_owned(),
        deadline_ms,
        tasks: vec![task; tasks],
    }
}

fn key(number: usize) -> Id {
    format!("order-{number}@0").parse().expect("a valid key")
}

async fn settled() -> Rc<Fleet> {
    let fleet = Rc::new(Fleet::start(Layout::default()));
    clock::sleep(SETTLED).await;
    fleet
}

async fn submit(fleet: &Fleet, member: usize, id: Id, job: Submission) -> Rc<Answer> {
    let entry = fleet.members[member].entry();
    entry.submit(id, job).await.expect("the same content")
}

/// Time from a crash of member 0 until each of `keys` keys was served at its
/// peer.
async fn recovery(offset: Duration, keys: usize) -> Duration {
    let fleet = settled().await;
    clock::sleep(offset).await;
    fleet.kill(0);
    let crashed = clock::now();
    let jobs = (0..keys).map(|number| {
        let fleet = fleet.clone();
        spawn(async move {
            let answer = submit(&fleet, 1, key(number), submission(1, 20_000, 1)).await;
            assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        })
    });
    for job in jobs.collect::<Vec<_>>() {
        job.await;
    }
    clock::now() - crashed
}

#[test]
fn keys_are_served_again_soon_after_a_crash() {
    let mut times: Vec<Duration> = (0..CRASHES)
        .map(|it| Duration::from_millis(it * 37))
        .map(|offset| runtime::paused(recovery(offset, 20)))
        .collect();
    times.sort();
    let p99 = times[times.len() * 99 / 100 - 1];
    println!("recovery: median {:?}, p99 {p99:?}", times[times.len() / 2]);
    assert!(p99 <= RECOVERY, "{p99:?}");
}

#[test]
fn a_planned_stop_hands_its_keys_over() {
    let slowest = runtime::paused(async {
        let fleet = settled().await;
        fleet.members[0].entry().release_shards().await;
        fleet.kill(0);
        let began = clock::now();
        for number in 0..20 {
            let answer = submit(&fleet, 1, key(number), submission(1, 2_000, 1)).await;
            assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        }
        clock::now() - began
    });
    println!("20 keys after a hand-over: {slowest:?}");
    assert!(slowest < Duration::from_secs(2), "{slowest:?}");
}

#[test]
fn a_claim_outlives_its_owner() {
    runtime::paused(async {
        let fleet = settled().await;
        for number in 0..20 {
            submit(&fleet, 0, key(number), submission(1, 20_000, 1)).await;
        }
        // Ends are recorded with the next claims.
        clock::sleep(Duration::from_secs(2)).await;
        let before = fleet.targets.runs().len();
        fleet.kill(0);
        fleet.kill(1);
        fleet.restart(0);
        for number in 0..20 {
            let same = submission(1, 20_000, 1);
            let answer = submit(&fleet, 0, key(number), same).await;
            assert_eq!(answer.outcome, Outcome::Unknown);
            let detail = answer.detail.as_deref().unwrap_or_default();
            assert!(detail.contains("recorded as complete"), "{detail}");
            let entry = fleet.members[0].entry();
            let other = entry.submit(key(number), submission(2, 20_000, 1)).await;
            let id = key(number);
            assert_eq!(other.err(), Some(Refusal::Mismatch { id }));
        }
        assert_eq!(fleet.targets.runs().len(), before);
    });
}

#[test]
fn a_hopeless_job_holds_no_claim_and_may_be_mended() {
    runtime::paused(async {
        let fleet = settled().await;
        let rows = fleet.table.len();
        let mut hopeless = submission(1, 2_000, 1);
        hopeless.tasks[0].size = fleet.layout().slots + 1;
        let answer = submit(&fleet, 0, key(1), hopeless).await;
        assert_eq!(answer.outcome, Outcome::NotRun);
        assert_eq!(fleet.table.len(), rows);
        let answer = submit(&fleet, 1, key(1), submission(1, 2_000, 1)).await;
        assert_eq!(answer.outcome, Outcome::Complete);
    });
}

#[test]
fn ten_thousand_cancellations_at_once_are_each_told_the_truth() {
    const JOBS: usize = 10_000;
    let (answers, runs) = runtime::paused(async {
        let fleet = settled().await;
        let entry = fleet.members[0].entry();
        let tickets: Vec<Id> = (0..JOBS).map(|_| Id::Ticket(entry.ticket())).collect();
        for id in tickets.clone() {
            let entry = entry.clone();
            drop(spawn(async move {
                entry.submit(id, submission(10_000, 30_000, 1)).await
            }));
        }
        clock::sleep(Duration::from_millis(100)).await;
        let cancels = tickets.into_iter().map(|id| {
            let entry = entry.clone();
            spawn(async move { entry.cancel(&id).await })
        });
        let mut answers = Vec::new();
        for cancel in cancels.collect::<Vec<_>>() {
            answers.extend(cancel.await.flatten());
        }
        clock::sleep(Duration::from_secs(20)).await;
        (answers, fleet.targets.runs().len())
    });
    let not_run = answers.iter().filter(|it| it.outcome == Outcome::NotRun);
    assert_eq!(answers.len(), JOBS);
    assert_eq!(not_run.count(), JOBS - runs);
    assert!(runs > 0);
}

/// Claims in the table.
async fn claims(fleet: &Fleet) -> usize {
    let claims = fleet.table.scan("claim/", None, 1_000).await;
    claims.expect("the store is up").len()
}

#[test]
fn claims_go_after_their_retention() {
    let (kept, later) = runtime::paused(async {
        let fleet = Fleet::start_with(Layout::default(), |config| {
            config.owner.retention = Duration::from_secs(30);
            config.owner.sweep = Duration::from_secs(5);
        });
        clock::sleep(SETTLED).await;
        for number in 0..50 {
            submit(&fleet, 0, key(number), submission(1, 2_000, 1)).await;
        }
        let kept = claims(&fleet).await;
        clock::sleep(Duration::from_secs(60)).await;
        (kept, claims(&fleet).await)
    });
    assert_eq!((kept, later), (50, 0));
}
