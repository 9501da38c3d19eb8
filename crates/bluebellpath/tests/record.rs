//! The record: what is found, what tampering shows, what an outage declares.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bluebellpath::{
    job::{Answer, Id, Incarnation, Outcome, TaskAnswer},
    platform::Store as _,
    record::{
        Batch, Config, Entry, Facts, Finding, Flaw, How, Item, Log, Promise, Reader, Report, Right,
        Times, Why,
    },
};
use bluebellpath_runtime::{clock, runtime, spawn};
use bluebellpath_standin::{Objects, Table};

const INSTANCE: &str = "entry-0";

fn incarnation() -> Incarnation {
    Incarnation::from_u64(0xabc)
}

struct Record {
    table: Table,
    objects: Objects,
    log: Rc<Log>,
}

impl Record {
    fn new(config: Config) -> Record {
        let (table, objects) = (Table::new(), Objects::new());
        let log = Log::new(
            INSTANCE,
            incarnation(),
            config,
            Rc::new(table.clone()),
            Rc::new(objects.clone()),
        );
        Record {
            table,
            objects,
            log: Rc::new(log),
        }
    }

    /// Record of `batches` batches with two entries each, closed.
    async fn filled(batches: usize) -> Record {
        let config = Config {
            batch: 2,
            ..Config::default()
        };
        let record = Record::new(config);
        for index in 0..batches * 2 {
            record.log.append(entry(&format!("job-{index}")));
        }
        record.log.flush().await.expect("up");
        record.log.close().await.expect("up");
        record
    }

    fn reader(&self) -> Reader {
        Reader::new(Rc::new(self.table.clone()), Rc::new(self.objects.clone()))
    }

    async fn verify(&self) -> Report {
        let reader = self.reader();
        let marks = reader.marks().await.expect("up");
        let (incarnation, mark) = &marks[0];
        reader.verify(*incarnation, mark).await.expect("up")
    }
}

fn answer(id: &str, outcome: Outcome) -> Answer {
    Answer {
        id: id.parse::<Id>().expect("valid"),
        outcome,
        detail: None,
        reason: None,
        retry_after_ms: None,
        parts: vec![TaskAnswer {
            caller: "crew-1".to_owned(),
            outcome,
            target: Some("target-1".to_owned()),
            result: None,
            elapsed_us: Some(90_000),
        }],
        preset: "ordinary".to_owned(),
        config_version: 7,
    }
}

fn entry(id: &str) -> Entry {
    let now = clock::wall();
    let times = Times {
        submitted_ms: now - 100,
        answered_ms: now,
        deadline_ms: 2_000,
    };
    let facts = Facts {
        right: Right::Claim,
        list_age_ms: 400,
        unconfirmed_since: None,
    };
    let answer = answer(id, Outcome::Complete);
    Entry::new(INSTANCE, incarnation(), "default", &answer, times, &facts)
}

#[test]
fn a_job_is_found_with_two_reads_however_many_there_are() {
    runtime::paused(async {
        for entries in [1_000, 100_000] {
            let record = Record::new(Config {
                buffer_bytes: 1 << 30,
                ..Config::default()
            });
            for index in 0..entries {
                record.log.append(entry(&format!("job-{index}")));
            }
            record.log.flush().await.expect("up");
            let first = record.objects.get(&Batch::name(incarnation(), 1)).await;
            let bytes = first.expect("up").expect("written").len();
            println!("{} bytes an entry", bytes / 1_000);
            let reads = || {
                let (table, objects) = (record.table.faults(), record.objects.faults());
                table.requests.get() + objects.requests.get()
            };
            for wanted in [0, entries / 2, entries - 1] {
                let before = reads();
                let id = format!("job-{wanted}").parse().expect("valid");
                let found = record.reader().find(&id).await.expect("up");
                assert_eq!(reads() - before, 2, "job {wanted} of {entries}");
                let entry = found[0].entry.as_ref().expect("in its batch");
                assert_eq!((entry.job.clone(), found.len()), (id, 1));
            }
        }
    });
}

#[test]
fn a_job_that_was_never_there_is_not_found() {
    runtime::paused(async {
        let record = Record::filled(3).await;
        // The beginning of another job's id is not that job.
        for id in ["job", "job-", "job-9", "other"] {
            let found = record.reader().find(&id.parse().expect("valid")).await;
            assert_eq!(found.expect("up"), [], "{id}");
        }
    });
}

#[test]
fn a_sound_record_verifies() {
    runtime::paused(async {
        let report = Record::filled(5).await.verify().await;
        assert!(report.is_sound(), "{report:?}");
        assert_eq!((report.batches, report.entries), (6, 10));
        assert!(report.closed);
    });
}

struct Case {
    name: &'static str,
    tamper: fn(&Record),
    flaws: &'static [Flaw],
}

fn name(number: u64) -> String {
    Batch::name(incarnation(), number)
}

/// Swaps the preset in the first entry of a batch for another.
fn rewrite(body: Option<Vec<u8>>) -> Option<Vec<u8>> {
    let mut batch = Batch::decode(&body?)?;
    if let Some(Item::Entry(entry)) = batch.items.first_mut() {
        entry.preset = "peak".to_owned();
    }
    postcard::to_stdvec(&batch).ok()
}

/// Drops the first entry of a batch.
fn thin(body: Option<Vec<u8>>) -> Option<Vec<u8>> {
    let mut batch = Batch::decode(&body?)?;
    batch.items.remove(0);
    postcard::to_stdvec(&batch).ok()
}

/// Swaps two entries of a batch.
fn swap(body: Option<Vec<u8>>) -> Option<Vec<u8>> {
    let mut batch = Batch::decode(&body?)?;
    batch.items.swap(0, 1);
    postcard::to_stdvec(&batch).ok()
}

const CASES: &[Case] = &[
    Case {
        name: "entry changed",
        tamper: |it| it.objects.tamper(&name(2), rewrite),
        flaws: &[Flaw::Broken { number: 3 }],
    },
    Case {
        name: "entry removed",
        tamper: |it| it.objects.tamper(&name(2), thin),
        flaws: &[Flaw::Broken { number: 3 }],
    },
    Case {
        name: "entries swapped",
        tamper: |it| it.objects.tamper(&name(2), swap),
        flaws: &[Flaw::Broken { number: 3 }],
    },
    Case {
        name: "batch removed",
        tamper: |it| it.objects.tamper(&name(2), |_| None),
        flaws: &[Flaw::Missing { number: 2 }, Flaw::Broken { number: 3 }],
    },
    Case {
        name: "last batch removed",
        tamper: |it| it.objects.tamper(&name(4), |_| None),
        flaws: &[Flaw::Missing { number: 4 }, Flaw::Head { number: 4 }],
    },
    Case {
        name: "last batch changed",
        tamper: |it| {
            it.objects.tamper(&name(4), |body| {
                let mut batch = Batch::decode(&body?)?;
                batch.items = vec![Item::Close { at_ms: 1 }];
                postcard::to_stdvec(&batch).ok()
            });
        },
        flaws: &[Flaw::Head { number: 4 }],
    },
    Case {
        name: "batches swapped",
        tamper: |it| {
            let kept = RefCell::new(None);
            it.objects.tamper(&name(2), |body| {
                *kept.borrow_mut() = body;
                None
            });
            it.objects.tamper(&name(3), |body| kept.replace(body));
            it.objects.tamper(&name(2), |_| kept.take());
        },
        flaws: &[
            Flaw::Misplaced { number: 2 },
            Flaw::Broken { number: 2 },
            Flaw::Misplaced { number: 3 },
            Flaw::Broken { number: 3 },
            Flaw::Broken { number: 4 },
        ],
    },
    Case {
        name: "batch cut short",
        tamper: |it| {
            it.objects.tamper(&name(2), |body| {
                let mut body = body?;
                body.truncate(body.len() / 2);
                Some(body)
            });
        },
        flaws: &[Flaw::Malformed { number: 2 }, Flaw::Broken { number: 3 }],
    },
    Case {
        name: "batches added behind the end",
        tamper: |it| it.objects.tamper(&name(9), |_| Some(vec![1])),
        flaws: &[Flaw::Beyond],
    },
];

#[test]
fn tampering_shows() {
    for case in CASES {
        runtime::paused(async {
            // Three batches of entries and the one that closes the chain.
            let record = Record::filled(3).await;
            (case.tamper)(&record);
            let report = record.verify().await;
            assert_eq!(report.flaws, case.flaws, "{}", case.name);
        });
    }
}

#[test]
fn an_outage_is_declared_and_nothing_else_is_lost() {
    runtime::paused(async {
        let record = Record::new(Config {
            buffer_bytes: 5_000,
            ..Config::default()
        });
        drop(spawn(record.log.clone().run()));
        clock::sleep(Duration::from_secs(1)).await;
        let mut answered = Vec::new();
        for index in 0..300 {
            let down = (100..200).contains(&index);
            record.objects.faults().down.set(down);
            let entry = entry(&format!("job-{index}"));
            answered.push((entry.job.clone(), entry.times.answered_ms));
            record.log.append(entry);
            clock::sleep(Duration::from_secs(1)).await;
        }
        record.log.close().await.expect("up");
        let report = record.verify().await;
        assert!(report.is_sound(), "{report:?}");
        assert_eq!(report.gaps.len(), 1);
        let gap = report.gaps[0];
        assert!(gap.entries > 10 && report.entries > 200);
        assert_eq!(report.entries + gap.entries, 300);
        let mut missing = 0;
        for (job, at_ms) in answered {
            if record.reader().find(&job).await.expect("up").is_empty() {
                missing += 1;
                assert!((gap.from_ms..=gap.to_ms).contains(&at_ms), "{job}");
            }
        }
        assert_eq!(missing, gap.entries);
    });
}

/// Every answer may get lost after the write took effect.
#[test]
fn lost_answers_write_nothing_twice() {
    for seed in 0..50 {
        runtime::paused(async move {
            let record = Record::new(Config {
                batch: 3,
                ..Config::default()
            });
            for faults in [record.table.faults(), record.objects.faults()] {
                faults.seed.set(seed + 1);
                faults.lose_permille.set(400);
            }
            drop(spawn(record.log.clone().run()));
            for index in 0..30 {
                record.log.append(entry(&format!("job-{index}")));
                clock::sleep(Duration::from_millis(700)).await;
            }
            while record.log.close().await.is_err() {}
            for faults in [record.table.faults(), record.objects.faults()] {
                faults.lose_permille.set(0);
            }
            let report = record.verify().await;
            assert!(
                report.is_sound() && report.closed,
                "seed {seed}: {report:?}"
            );
            assert_eq!(report.entries, 30, "seed {seed}");
        });
    }
}

#[test]
fn a_crash_leaves_a_chain_that_is_not_closed() {
    runtime::paused(async {
        let record = Record::new(Config::default());
        let running = spawn(record.log.clone().run());
        clock::sleep(Duration::from_secs(1)).await;
        record.log.append(entry("job-1"));
        clock::sleep(Duration::from_secs(5)).await;
        record.log.append(entry("job-2"));
        // It ends here, before the next batch.
        drop(running);
        let report = record.verify().await;
        assert!(report.is_sound() && !report.closed);
        assert_eq!((report.batches, report.entries), (1, 1));
    });
}

#[test]
fn an_incarnation_without_entries_is_known_to_have_been() {
    runtime::paused(async {
        let record = Record::new(Config::default());
        drop(spawn(record.log.clone().run()));
        clock::sleep(Duration::from_secs(1)).await;
        let report = record.verify().await;
        assert_eq!((report.batches, report.closed), (0, false));
    });
}

#[test]
fn batches_without_a_mark_are_listed() {
    runtime::paused(async {
        let record = Record::filled(1).await;
        let stray = Incarnation::from_u64(0xdef);
        let put = record.objects.put(&Batch::name(stray, 1), vec![1]).await;
        put.expect("up");
        let unmarked = record.reader().unmarked(&[incarnation()]).await;
        assert_eq!(unmarked.expect("up"), [stray.to_string()]);
    });
}

/// Writes that one instance makes in a minute.
#[test]
fn writes_keep_to_the_interval_and_the_batch() {
    for (per_s, most) in [(1, 70), (50, 70), (2_000, 310)] {
        runtime::paused(async move {
            let record = Record::new(Config::default());
            drop(spawn(record.log.clone().run()));
            for index in 0..60 * per_s {
                record.log.append(entry(&format!("job-{index}")));
                clock::sleep(Duration::from_secs(1) / per_s).await;
            }
            let writes =
                record.table.faults().requests.get() + record.objects.faults().requests.get();
            println!("{writes} writes in a minute at {per_s} jobs/s");
            assert!(writes <= most, "{writes} writes at {per_s} jobs/s");
        });
    }
}

struct Shown {
    name: &'static str,
    outcome: Outcome,
    right: Right,
    list_age_ms: u64,
    unconfirmed_since: Option<u64>,
    promise: Promise,
    finding: Finding,
}

const SHOWN: &[Shown] = &[
    Shown {
        name: "claimed key",
        outcome: Outcome::Complete,
        right: Right::Claim,
        list_age_ms: 0,
        unconfirmed_since: None,
        promise: Promise::P1,
        finding: Finding::Kept(How::Claim),
    },
    Shown {
        name: "answer about another instance's job",
        outcome: Outcome::Unknown,
        right: Right::None,
        list_age_ms: 0,
        unconfirmed_since: None,
        promise: Promise::P1,
        finding: Finding::NotShown(Why::OwnerGone),
    },
    Shown {
        name: "refused at the door",
        outcome: Outcome::NotRun,
        right: Right::None,
        list_age_ms: 0,
        unconfirmed_since: None,
        promise: Promise::P5,
        finding: Finding::Kept(How::NothingStarted),
    },
    Shown {
        name: "not run",
        outcome: Outcome::NotRun,
        right: Right::Ticket,
        list_age_ms: 0,
        unconfirmed_since: None,
        promise: Promise::P4,
        finding: Finding::Kept(How::NeverSent),
    },
    Shown {
        name: "old list",
        outcome: Outcome::Complete,
        right: Right::Ticket,
        list_age_ms: 3_001,
        unconfirmed_since: None,
        promise: Promise::P6,
        finding: Finding::NotShown(Why::OldList { age_ms: 3_001 }),
    },
    Shown {
        name: "cut off from the platform",
        outcome: Outcome::Complete,
        right: Right::Ticket,
        list_age_ms: 0,
        unconfirmed_since: Some(5),
        promise: Promise::P8,
        finding: Finding::NotShown(Why::Unconfirmed { since_ms: 5 }),
    },
    Shown {
        name: "confirmed",
        outcome: Outcome::Failed,
        right: Right::Ticket,
        list_age_ms: 0,
        unconfirmed_since: None,
        promise: Promise::P8,
        finding: Finding::Kept(How::Confirmed { version: 7 }),
    },
];

#[test]
fn proofs_say_how_or_why_not() {
    for case in SHOWN {
        let facts = Facts {
            right: case.right,
            list_age_ms: case.list_age_ms,
            unconfirmed_since: case.unconfirmed_since,
        };
        let proofs = bluebellpath::record::Proof::all(&answer("job", case.outcome), &facts);
        assert_eq!(proofs.len(), 9);
        let found = proofs.iter().find(|it| it.promise == case.promise);
        let found = found.map(|it| it.finding);
        assert_eq!(found, Some(case.finding), "{}", case.name);
    }
}

/// Whole instances: what a session leaves in the record.
#[test]
fn an_old_list_shows_in_the_record() {
    use bluebellpath::job::{Submission, TaskSpec};
    use bluebellpath_standin::{Fleet, Layout};

    runtime::paused(async {
        let fleet = Fleet::start(Layout {
            domains: 1,
            entries: 1,
            ..Layout::default()
        });
        clock::sleep(Duration::from_secs(2)).await;
        let submission = Submission {
            team: "default".to_owned(),
            deadline_ms: 2_000,
            tasks: vec![TaskSpec {
                caller: "crew-1".to_owned(),
                kind: "quote".to_owned(),
                payload: "{\"run_ms\": 1500}".to_owned(),
                run_time_ms: None,
                size: 1,
                idempotent: false,
            }],
        };
        let entry = fleet.members[0].entry();
        let mut ids: Vec<Id> = Vec::new();
        for down in [false, true] {
            fleet.instances.faults().down.set(down);
            clock::sleep(Duration::from_secs(5)).await;
            let id = Id::Ticket(entry.ticket());
            let running = spawn({
                let (entry, id, submission) = (entry.clone(), id.clone(), submission.clone());
                async move { entry.submit(id, submission).await }
            });
            clock::sleep(Duration::from_millis(100)).await;
            // A list that comes back before the answer changes nothing.
            fleet.instances.faults().down.set(false);
            running.await.expect("alive").expect("admitted");
            ids.push(id);
        }
        clock::sleep(Duration::from_secs(3)).await;
        let reader = Reader::new(Rc::new(fleet.table.clone()), Rc::new(fleet.objects.clone()));
        for (id, kept) in ids.iter().zip([true, false]) {
            let found = reader.find(id).await.expect("up");
            let entry = found[0].entry.as_ref().expect("recorded");
            let finding = entry.proofs.iter().find(|it| it.promise == Promise::P6);
            let finding = finding.expect("all promises").finding;
            assert_eq!(matches!(finding, Finding::Kept(_)), kept, "{finding}");
        }
    });
}
