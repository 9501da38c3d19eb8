//! Rate limits, retries and circuit breakers under outages, slowness and lost
//! answers.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath::platform::{
    Commit, Conflict, Error, Expect, Fault, Row, Store, Table as _, Write,
    guard::{Config, EarlierAttempt, Guarded},
};
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Gate, Instances, Objects, Table};

struct Platform {
    table: Table,
    objects: Objects,
    cut: Rc<Cell<bool>>,
    guarded: Rc<Guarded>,
}

fn platform(config: Config, seed: u64) -> Platform {
    let (table, objects) = (Table::new(), Objects::new());
    let cut = Rc::new(Cell::new(false));
    let guarded = Guarded::new(
        Rc::new(Gate::new(table.clone(), cut.clone())),
        Rc::new(Gate::new(objects.clone(), cut.clone())),
        Rc::new(Gate::new(Instances::default(), cut.clone())),
        config,
        seed,
    );
    guarded.share(7);
    Platform {
        table,
        objects,
        cut,
        guarded: Rc::new(guarded),
    }
}

fn write(key: &str, expect: Expect, value: &str) -> Write {
    Write {
        key: key.to_owned(),
        expect,
        value: Some(value.as_bytes().to_vec()),
    }
}

#[test]
fn a_retry_detects_that_the_first_attempt_took_effect() {
    runtime::paused(async {
        let platform = platform(Config::default(), 1);
        platform.table.faults().lose_answers.set(1);
        let writes = [write("a", Expect::Absent, "mine")];
        let commit = platform.guarded.commit(&writes).await;
        assert_eq!(commit.expect("settled"), Commit::Done(vec![1]));

        platform.table.faults().lose_answers.set(2);
        let writes = [write("a", Expect::Version(1), "mine again")];
        let commit = platform.guarded.commit(&writes).await;
        assert_eq!(commit.expect("settled"), Commit::Done(vec![2]));
    });
}

#[test]
fn a_lost_answer_to_an_unconditional_write_stays_unknown() {
    runtime::paused(async {
        let platform = platform(Config::default(), 1);
        platform.table.faults().lose_answers.set(1);
        let writes = [write("a", Expect::Any, "mine")];
        let error = platform.guarded.commit(&writes).await;
        assert_eq!(error.expect_err("in doubt").fault, Fault::Unknown);
        assert_eq!(platform.guarded.counters().table.attempts, 1);
    });
}

#[test]
fn doubt_outlives_later_refusals() {
    runtime::paused(async {
        let platform = platform(Config::default(), 1);
        platform.table.faults().lose_answers.set(1);
        let guarded = platform.guarded.clone();
        let committing = spawn(async move {
            let writes = [write("a", Expect::Absent, "mine")];
            guarded.commit(&writes).await
        });
        clock::sleep(Duration::from_millis(4)).await;
        platform.table.faults().down.set(true);
        let error = committing.await.expect("alive").expect_err("down");
        assert_eq!(error.fault, Fault::Unknown);
        assert!(platform.guarded.counters().table.attempts > 1);
        assert_eq!(platform.table.len(), 1);
    });
}

struct Case {
    name: &'static str,
    expect: Expect,
    row: Option<(u64, &'static str)>,
    expected: EarlierAttempt,
}

const CASES: &[Case] = &[
    Case {
        name: "own row",
        expect: Expect::Absent,
        row: Some((1, "mine")),
        expected: EarlierAttempt::Applied(Vec::new()),
    },
    Case {
        name: "own row at its version",
        expect: Expect::Version(4),
        row: Some((5, "mine")),
        expected: EarlierAttempt::Applied(Vec::new()),
    },
    Case {
        name: "another's row at that version",
        expect: Expect::Version(4),
        row: Some((5, "theirs")),
        expected: EarlierAttempt::NotApplied,
    },
    Case {
        name: "moved on since",
        expect: Expect::Version(4),
        row: Some((6, "theirs")),
        expected: EarlierAttempt::Unknown,
    },
    Case {
        name: "own value at another version",
        expect: Expect::Version(4),
        row: Some((6, "mine")),
        expected: EarlierAttempt::Unknown,
    },
    Case {
        name: "another's new row",
        expect: Expect::Absent,
        row: Some((1, "theirs")),
        expected: EarlierAttempt::Unknown,
    },
    Case {
        name: "deleted since",
        expect: Expect::Version(4),
        row: None,
        expected: EarlierAttempt::Unknown,
    },
];

#[test]
fn a_conflict_reveals_the_outcome_of_the_first_attempt() {
    for case in CASES {
        let writes = [write("a", case.expect, "mine")];
        let row = case.row.map(|(version, value)| Row {
            version,
            value: value.as_bytes().to_vec(),
        });
        let found = EarlierAttempt::from_conflicts(&writes, &[Conflict { index: 0, row }]);
        let same = std::mem::discriminant(&found) == std::mem::discriminant(&case.expected);
        assert!(same, "{}: {found:?}", case.name);
    }
    // A condition that still holds beside one that does not.
    let writes = [
        write("a", Expect::Version(4), "mine"),
        write("b", Expect::Absent, "mine"),
    ];
    let row = Some(Row {
        version: 1,
        value: b"mine".to_vec(),
    });
    let found = EarlierAttempt::from_conflicts(&writes, &[Conflict { index: 1, row }]);
    assert_eq!(found, EarlierAttempt::NotApplied);
}

/// A write reported as `Done` is in the table; one reported as `Refused` or as
/// a conflict is not.
#[test]
fn reported_outcomes_are_correct_under_lost_answers_and_outages() {
    for seed in 0..200 {
        runtime::paused(async move {
            let platform = platform(Config::default(), seed);
            let faults = platform.table.faults();
            faults.seed.set(seed + 1);
            faults.lose_permille.set(300);
            let mut results = Vec::new();
            for index in 0..20 {
                faults.down.set(index % 7 == 5);
                let key = format!("key/{}", index % 10);
                let value = format!("{seed}/{index}");
                let writes = [write(&key, Expect::Absent, &value)];
                let commit = platform.guarded.commit(&writes).await;
                results.push((key, value, commit));
                clock::sleep(Duration::from_millis(200)).await;
            }
            faults.down.set(false);
            faults.lose_permille.set(0);
            for (key, value, commit) in results {
                let rows = platform.table.read(&[key]).await.expect("up");
                let there = rows[0]
                    .as_ref()
                    .is_some_and(|it| it.value == value.as_bytes());
                match commit {
                    Ok(Commit::Done(_)) => assert!(there, "seed {seed}: {value} is lost"),
                    Ok(Commit::Conflict(_)) => assert!(!there, "seed {seed}: {value} is there"),
                    Err(error) if error.fault == Fault::Refused => {
                        assert!(!there, "seed {seed}: {value} is there");
                    }
                    Err(_) => {}
                }
            }
        });
    }
}

#[test]
fn writes_of_seven_instances_stay_under_the_store_s_rate() {
    runtime::paused(async {
        let (table, objects) = (Table::new(), Objects::new());
        let guards: Vec<Rc<Guarded>> = (0..7)
            .map(|seed| {
                let (table, objects) = (Rc::new(table.clone()), Rc::new(objects.clone()));
                let list = Rc::new(Instances::default());
                let guarded = Guarded::new(table, objects, list, Config::default(), seed);
                guarded.share(7);
                Rc::new(guarded)
            })
            .collect();
        for (number, guarded) in guards.iter().enumerate() {
            for index in 0..2_000 {
                let guarded = guarded.clone();
                drop(spawn(async move {
                    clock::sleep(Duration::from_millis(5 * index)).await;
                    let key = format!("{number}/{index}");
                    let writes = [write(&key, Expect::Absent, &key)];
                    let _ = guarded.commit(&writes).await;
                    let _ = guarded.put(&key, Vec::new()).await;
                }));
            }
        }
        // The bursts are over after the first second.
        clock::sleep(Duration::from_secs(1)).await;
        let count = || table.faults().requests.get() + objects.faults().requests.get();
        let before = count();
        clock::sleep(Duration::from_secs(9)).await;
        let per_s = (count() - before) / 9;
        println!("seven instances that want 2,800 writes/s send {per_s}");
        assert!((200..=310).contains(&per_s), "{per_s} writes/s");
        let counters = guards[0].counters().table;
        assert!(
            counters.rate_limited > 0,
            "the rest was refused unsent: {counters:?}"
        );
        assert_eq!(counters.unknown, 0);
    });
}

/// Counts the requests to a store that is down for 30 minutes, from one instance
/// that makes one write a second, and the time until the first success after it.
#[test]
fn an_outage_causes_few_requests_and_a_quick_recovery() {
    runtime::paused(async {
        let platform = platform(Config::default(), 7);
        let faults = platform.table.faults();
        faults.down.set(true);
        let minutes_30 = Duration::from_secs(1_800);
        let began = clock::now();
        let mut index = 0;
        while clock::now() - began < minutes_30 {
            index += 1;
            let key = index.to_string();
            let writes = [write(&key, Expect::Absent, &key)];
            let error = platform.guarded.commit(&writes).await;
            // Never sent or refused, so certainly without effect.
            assert_eq!(error.expect_err("down").fault, Fault::Refused);
            clock::sleep(Duration::from_secs(1)).await;
        }
        let requests = faults.requests.get();
        assert!(requests <= 1_800 + 20, "{requests} requests");
        assert!(platform.guarded.is_table_down());
        faults.down.set(false);
        let recovered = clock::now();
        loop {
            index += 1;
            let key = index.to_string();
            let writes = [write(&key, Expect::Absent, &key)];
            if platform.guarded.commit(&writes).await.is_ok() {
                break;
            }
            clock::sleep(Duration::from_millis(50)).await;
        }
        let took = clock::now() - recovered;
        println!("{requests} requests in 30 min of outage; first success after {took:?}");
        assert!(took <= Duration::from_millis(1_500), "{took:?}");
    });
}

#[test]
fn a_slow_store_causes_no_retries() {
    runtime::paused(async {
        let platform = platform(Config::default(), 1);
        platform.table.faults().write.set(Duration::from_secs(2));
        for index in 0..10 {
            let key = index.to_string();
            let writes = [write(&key, Expect::Absent, &key)];
            let commit = platform.guarded.commit(&writes).await;
            assert_eq!(commit.expect("slow"), Commit::Done(vec![1]));
        }
        assert_eq!(platform.guarded.counters().table.attempts, 10);
    });
}

#[test]
fn a_lost_connection_opens_the_circuit_breaker() {
    runtime::paused(async {
        let platform = platform(Config::default(), 1);
        platform.cut.set(true);
        let mut unknown = 0;
        for index in 0..20 {
            let key = index.to_string();
            let writes = [write(&key, Expect::Absent, &key)];
            let error = platform.guarded.commit(&writes).await.expect_err("cut off");
            unknown += u32::from(error.fault == Fault::Unknown);
        }
        assert_eq!(unknown, 5);
        assert_eq!(platform.guarded.counters().table.circuit_open, 15);
    });
}

#[test]
fn retries_stay_within_the_budget() {
    runtime::paused(async {
        let platform = platform(Config::default(), 3);
        // Half of the answers are lost: rarely five failures in a row.
        platform.objects.faults().lose_permille.set(500);
        let mut failed: Vec<Error> = Vec::new();
        for index in 0..1_000 {
            if let Err(error) = platform.guarded.put(&index.to_string(), Vec::new()).await {
                failed.push(error);
            }
            clock::sleep(Duration::from_millis(200)).await;
        }
        let counters = platform.guarded.counters().objects;
        let limit = 10 + counters.requests / 10;
        println!(
            "{} retries for {} requests",
            counters.retries, counters.requests
        );
        assert!(counters.retries <= limit, "{} of {limit}", counters.retries);
        assert!(!failed.is_empty());
    });
}
