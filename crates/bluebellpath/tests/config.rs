//! Tests of the configuration: validation, changes, restarts and drains.

use std::{rc::Rc, time::Duration};

use bluebellpath::{
    config::{
        Change, Document, Drain, Key, Kind, Limit, Operation, Proposer, Refusal, Role, Store, Team,
    },
    entry::Entry,
    job::{Id, Outcome, Submission, TaskSpec},
    settings::Domain,
};
use bluebellpath_runtime::{clock, runtime};
use bluebellpath_standin::{Fleet, Layout};

/// Time in which entry instances first read the table and the instance list.
const SETTLE: Duration = Duration::from_millis(20);

/// Maximum time from the acceptance of a change to its effect.
const MAX_ACTIVATION: Duration = Duration::from_secs(4);

/// Maximum reads of the head per second and domain: a tenth of the 2,000 that the
/// store can serve, divided among 14 domains.
const READS_PER_S: u64 = 2_000 / 10 / 14;

/// Maximum time until a drained target receives no new tasks.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

fn team(name: &str, weight: u32) -> Team {
    Team {
        name: name.to_owned(),
        weight,
        sustained_per_s: 100,
        burst: 100,
    }
}

struct ValidationCase {
    name: &'static str,
    changes: Vec<Change>,
    faults: &'static [&'static str],
}

fn validation_cases() -> Vec<ValidationCase> {
    let malformed = Key {
        name: "amira".to_owned(),
        role: Role::Operator,
        salt: "12".to_owned(),
        hash: String::new(),
    };
    vec![
        ValidationCase {
            name: "nothing wrong",
            changes: vec![Change::SetTeam(team("kiln-crew", 2))],
            faults: &[],
        },
        ValidationCase {
            name: "unknown preset",
            changes: vec![Change::SwitchPreset("paek".to_owned())],
            faults: &["preset: found \"paek\", allowed one of 3 known names (nearest: peak)"],
        },
        ValidationCase {
            name: "preset in force removed",
            changes: vec![Change::RemovePreset("ordinary".to_owned())],
            faults: &["preset: found \"ordinary\", allowed one of 2 known names"],
        },
        ValidationCase {
            name: "several faults at once",
            changes: vec![
                Change::SetTeam(team("a b", 0)),
                Change::RemoveTeam("default".to_owned()),
                Change::SetLimit(Limit {
                    domain: Domain::new(1),
                    slots: 0,
                    connections: 1,
                }),
            ],
            faults: &[
                "teams[a b].name: found \"a b\", allowed 1 to 64 letters, digits, '-', '_' and '.'",
                "teams[a b].weight: found 0, allowed 1 to 1000",
                "limits[domain 1].slots: found 0, allowed 1 to 100000",
            ],
        },
        ValidationCase {
            name: "malformed key and no administrator",
            changes: vec![Change::SetKey(malformed)],
            faults: &[
                "keys[amira]: found a malformed salt or hash, allowed 32 bytes in hexadecimal each",
                "keys: found no administrator, allowed at least one administrator",
            ],
        },
    ]
}

#[test]
fn validation_reports_all_faults_at_once() {
    for case in validation_cases() {
        let mut document = Document::default();
        case.changes.iter().for_each(|it| it.apply(&mut document));
        let faults: Vec<String> = document.check().iter().map(|it| it.to_string()).collect();
        assert_eq!(faults, case.faults, "{}", case.name);
    }
}

#[test]
fn changes_between_two_documents_transform_one_into_the_other() {
    let mut document = Document::default();
    let (key, _) = Key::generate("amira", Role::Administrator);
    let changes = [
        Change::SetTeam(team("b", 1)),
        Change::SetTeam(team("a", 1)),
        Change::RemoveTeam("default".to_owned()),
        Change::SwitchPreset("peak".to_owned()),
        Change::RemovePreset("ordinary".to_owned()),
        Change::Drain(Drain::Rack {
            domain: Domain::new(0),
            rack: 3,
        }),
        Change::SetKind(Kind {
            name: "recipe".to_owned(),
            idempotent: false,
            max_size: 2,
            max_run_ms: 900,
        }),
        Change::SetKey(key),
    ];
    let mut steps = vec![document.clone()];
    for change in &changes {
        change.apply(&mut document);
        steps.push(document.clone());
    }
    for old in &steps {
        for new in &steps {
            let mut copy = old.clone();
            let between = Change::between(old, new);
            between.iter().for_each(|it| it.apply(&mut copy));
            assert_eq!(copy, *new);
            assert_eq!(between.is_empty(), old == new);
        }
    }
}

#[test]
fn a_key_accepts_only_its_own_secret() {
    let (key, secret) = Key::generate("amira", Role::Operator);
    let (other, _) = Key::generate("amira", Role::Operator);
    assert!(key.verify(&secret));
    assert!(!key.verify(&secret[1..]) && !key.verify("") && !other.verify(&secret));
    let text = serde_json::to_string(&key).expect("keys are JSON");
    assert!(!text.contains(&secret));
}

fn layout(domains: u16, entries: u16) -> Layout {
    Layout {
        domains,
        entries,
        targets: 2,
        ..Layout::default()
    }
}

fn proposer(entry: &Entry) -> Proposer {
    Proposer::new(entry.config_table(), entry.config().clone())
}

fn operation(id: &str, base: u64, change: Change) -> Operation {
    Operation {
        id: id.to_owned(),
        author: "amira".to_owned(),
        reason: "test".to_owned(),
        base,
        changes: vec![change],
    }
}

fn submission(tasks: usize) -> Submission {
    let task = TaskSpec {
        caller: "crew-1".to_owned(),
        kind: "quote".to_owned(),
        payload: "{\"run_ms\": 20}".to_owned(),
        run_time_ms: None,
        size: 1,
        idempotent: false,
    };
    Submission {
        team: "default".to_owned(),
        deadline_ms: 2_000,
        tasks: vec![task; tasks],
    }
}

#[test]
fn a_conflicting_operation_gets_newer_revisions_and_retries_apply_once() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(1, 2));
        clock::sleep(SETTLE).await;
        let (first, second) = (fleet.members[0].entry(), fleet.members[1].entry());
        let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
        let accepted = proposer(&first)
            .propose(&switch)
            .await
            .expect("nobody else");
        assert_eq!(accepted.version, 2);
        let again = proposer(&second).propose(&switch).await;
        assert_eq!(again.expect("the same operation"), accepted);
        let late = operation("two", 1, Change::SetTeam(team("a", 1)));
        let lost = proposer(&second).propose(&late).await;
        let Err(Refusal::Lost { base: 1, since }) = lost else {
            panic!("{lost:?}");
        };
        assert_eq!(since, [accepted]);
        let same = operation("three", 2, Change::SwitchPreset("peak".to_owned()));
        let unchanged = proposer(&second).propose(&same).await;
        assert!(matches!(unchanged, Err(Refusal::Unchanged { version: 2 })));
    });
}

#[test]
fn a_change_takes_effect_exactly_at_its_effective_time() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(2, 2));
        clock::sleep(Duration::from_secs(2)).await;
        let entry = fleet.members[0].entry();
        let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
        let accepted = proposer(&entry)
            .propose(&switch)
            .await
            .expect("nobody else");
        let effective_ms = accepted.effective_ms.expect("accepted changes are dated");
        let wait_ms = effective_ms - clock::wall();
        clock::sleep(Duration::from_millis(wait_ms - 1)).await;
        let versions = || {
            fleet
                .members
                .iter()
                .map(|it| it.entry().config().view().version)
        };
        assert!(versions().all(|it| it == 1));
        clock::sleep(Duration::from_millis(1)).await;
        assert!(versions().all(|it| it == 2));
    });
}

#[test]
fn reading_a_change_without_effective_time_confirms_nothing() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(2, 1));
        clock::sleep(Duration::from_secs(2)).await;
        let (writer, other) = (fleet.members[0].entry(), fleet.members[1].entry());
        let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
        let scope = fleet.members[0].scope();
        let proposer = proposer(&writer);
        drop(scope.spawn(async move { proposer.propose(&switch).await }));
        while fleet.table.get("config/change/000000000002").is_none() {
            clock::sleep(Duration::from_millis(1)).await;
        }
        // The proposer takes the effective time now; its write reaches the table later.
        clock::sleep(Duration::from_millis(1)).await;
        fleet.table.faults().write.set(Duration::from_secs(7));
        clock::sleep(Duration::from_millis(1500)).await;
        fleet.members[1].cut.set(true);
        let confirmed = |it: &Entry| it.config().view().unconfirmed_since.is_none();
        let mut switched = false;
        for _ in 0..100 {
            clock::sleep(Duration::from_millis(30)).await;
            if writer.config().view().version == 2 && confirmed(&writer) {
                switched = true;
                assert!(!confirmed(&other));
            }
        }
        assert!(switched);
    });
}

struct StartCase {
    name: &'static str,
    store_down: bool,
    restart: &'static [usize],
    wait: Duration,
    serves: bool,
}

const START_CASES: &[StartCase] = &[
    StartCase {
        name: "from the table",
        store_down: false,
        restart: &[0, 1, 2],
        wait: SETTLE,
        serves: true,
    },
    StartCase {
        name: "from a peer, store down",
        store_down: true,
        restart: &[0],
        wait: Duration::from_secs(3),
        serves: true,
    },
    StartCase {
        name: "from one peer that is left, store down",
        store_down: true,
        restart: &[0, 1],
        wait: Duration::from_secs(3),
        serves: true,
    },
    StartCase {
        name: "neither table nor peers",
        store_down: true,
        restart: &[0, 1, 2],
        wait: Duration::from_secs(60),
        serves: false,
    },
];

#[test]
fn a_restarted_instance_serves_once_it_has_a_configuration() {
    for start in START_CASES {
        runtime::paused(async move {
            let fleet = Fleet::start(layout(1, 3));
            clock::sleep(SETTLE).await;
            let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
            let proposed = proposer(&fleet.members[2].entry()).propose(&switch).await;
            proposed.expect("nobody else");
            clock::sleep(Duration::from_secs(60)).await;
            fleet.table.faults().down.set(start.store_down);
            // Long enough for every confirmation to expire.
            clock::sleep(Duration::from_secs(60)).await;
            start.restart.iter().for_each(|it| fleet.restart(*it));
            clock::sleep(start.wait).await;
            let entry = fleet.members[0].entry();
            if start.serves {
                assert!(entry.config().is_ready(), "{}", start.name);
                assert_eq!(
                    entry.config().view().document.preset,
                    "peak",
                    "{}",
                    start.name
                );
            } else {
                let id: Id = entry.ticket().into();
                let answer = entry.submit(id, submission(1)).await;
                let answer = answer.expect("the submission is valid");
                assert_eq!(answer.outcome, Outcome::NotRun, "{}", start.name);
                assert!(answer.retry_after_ms.is_some(), "{}", start.name);
                assert!(fleet.targets.runs().is_empty(), "{}", start.name);
            }
        });
    }
}

#[test]
fn rolling_restarts_with_the_store_down_keep_the_newest_version() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(1, 3));
        clock::sleep(SETTLE).await;
        let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
        let proposed = proposer(&fleet.members[0].entry()).propose(&switch).await;
        proposed.expect("nobody else");
        clock::sleep(MAX_ACTIVATION).await;
        fleet.table.faults().down.set(true);
        for round in 0..3 {
            for member in 0..3 {
                clock::sleep(Duration::from_secs(60)).await;
                fleet.restart(member);
                clock::sleep(Duration::from_secs(5)).await;
                let view = fleet.members[member].entry().config().view();
                assert_eq!((view.version, round), (2, round));
                assert!(view.unconfirmed_since.is_some());
            }
        }
    });
}

#[test]
fn a_restarted_instance_takes_the_newest_version_of_its_peers() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(1, 3));
        clock::sleep(SETTLE).await;
        let lagging = fleet.members[1].address;
        for other in [0, 2] {
            fleet.network.cut(lagging, fleet.members[other].address);
        }
        fleet.members[1].cut.set(true);
        let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
        let proposed = proposer(&fleet.members[0].entry()).propose(&switch).await;
        proposed.expect("nobody else");
        clock::sleep(MAX_ACTIVATION).await;
        fleet.table.faults().down.set(true);
        clock::sleep(Duration::from_secs(60)).await;
        // The lagging peer is the first to be reachable.
        let (first, newest) = (fleet.members[0].address, fleet.members[2].address);
        fleet.network.cut(first, newest);
        fleet.restart(0);
        fleet.network.mend(lagging, first);
        clock::sleep(Duration::from_secs(1)).await;
        fleet.network.mend(first, newest);
        let entry = fleet.members[0].entry();
        for _ in 0..100 {
            clock::sleep(Duration::from_millis(100)).await;
            assert!(!entry.config().is_ready() || entry.config().view().version == 2);
        }
        assert!(entry.config().is_ready());
    });
}

#[test]
fn a_restarted_instance_waits_for_a_version_that_only_a_heartbeat_mentions() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(1, 2));
        clock::sleep(Duration::from_secs(2)).await;
        fleet.members[1].scope().freeze();
        let switch = operation("one", 1, Change::SwitchPreset("peak".to_owned()));
        let proposed = proposer(&fleet.members[0].entry()).propose(&switch).await;
        proposed.expect("nobody else");
        clock::sleep(MAX_ACTIVATION).await;
        assert_eq!(fleet.members[0].entry().config().view().version, 2);
        fleet.table.faults().down.set(true);
        fleet.restart(0);
        fleet.members[1].scope().thaw();
        clock::sleep(Duration::from_secs(30)).await;
        let entry = fleet.members[0].entry();
        assert!(!entry.config().is_ready());
        fleet.table.faults().down.set(false);
        clock::sleep(Duration::from_secs(1)).await;
        assert_eq!(entry.config().view().version, 2);
    });
}

#[test]
fn a_cold_start_reads_a_snapshot_and_the_changes_after_it() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(1, 2));
        clock::sleep(SETTLE).await;
        let entry = fleet.members[0].entry();
        for version in 1..600 {
            let change = Change::SetTeam(team(&format!("team-{}", version % 50), version as u32));
            let operation = operation(&format!("operation-{version}"), version, change);
            proposer(&entry)
                .propose(&operation)
                .await
                .expect("one operator");
        }
        clock::sleep(MAX_ACTIVATION).await;
        let before = fleet.table.faults().requests.get();
        fleet.restart(1);
        clock::sleep(SETTLE).await;
        let requests = fleet.table.faults().requests.get() - before;
        assert_eq!(
            fleet.members[1].entry().config().view(),
            entry.config().view()
        );
        assert!(requests <= 6, "{requests} requests");
        let store = Store::new(Rc::new(fleet.table.clone()));
        let earlier = store.document(300).await.expect("the table is up");
        assert_eq!(earlier.map(|it| it.teams.len()), Some(51));
    });
}

#[test]
fn few_instances_of_a_domain_read_the_table() {
    runtime::paused(async {
        let requests = async |entries: u16| {
            let fleet = Fleet::start(layout(2, entries));
            clock::sleep(Duration::from_secs(5)).await;
            let before = fleet.table.reads("config/head");
            clock::sleep(Duration::from_secs(60)).await;
            fleet.table.reads("config/head") - before
        };
        let reads = [requests(7).await, requests(28).await, requests(84).await];
        println!("reads by two domains in 60 s at 7, 28 and 84 entries: {reads:?}");
        assert!(
            reads.iter().all(|it| *it <= 2 * 60 * READS_PER_S),
            "{reads:?}"
        );
        // With 4 and 12 times the entries, reads must grow less than 2 and 4 times.
        assert!(
            reads[1] < 2 * reads[0] && reads[2] < 4 * reads[0],
            "{reads:?}"
        );
    });
}

#[test]
fn silent_connections_to_peers_delay_no_configuration() {
    runtime::paused(async {
        let fleet = Fleet::start(layout(1, 8));
        clock::sleep(Duration::from_secs(10)).await;
        let (last, others) = fleet.members.split_last().expect("eight");
        last.cut.set(true);
        // One peer that holds the change stays reachable.
        for other in &others[..6] {
            fleet.network.silence(last.address, other.address);
        }
        let proposed = operation("operation-1", 1, Change::SetTeam(team("kiln-crew", 1)));
        let proposer = proposer(&fleet.members[0].entry());
        proposer.propose(&proposed).await.expect("one operator");
        clock::sleep(MAX_ACTIVATION).await;
        assert_eq!(last.entry().config().view().version, 2);
    });
}

#[test]
fn a_change_is_in_force_in_domains_of_every_size() {
    for entries in [7, 28, 84] {
        runtime::paused(async move {
            let fleet = Fleet::start(layout(2, entries));
            clock::sleep(Duration::from_secs(10)).await;
            for round in 1..4 {
                // Not aligned with the reads or heartbeats of any instance.
                clock::sleep(Duration::from_millis(130)).await;
                let change = Change::SetTeam(team("kiln-crew", round));
                let proposed = operation(&format!("operation-{round}"), round.into(), change);
                let entry = fleet.members[usize::from(entries) / 2].entry();
                proposer(&entry)
                    .propose(&proposed)
                    .await
                    .expect("one operator");
                clock::sleep(MAX_ACTIVATION).await;
                for member in &fleet.members {
                    let view = member.entry().config().view();
                    assert_eq!(
                        view.version,
                        u64::from(round) + 1,
                        "{entries}: {}",
                        member.name
                    );
                    assert_eq!(view.unconfirmed_since, None, "{entries}: {}", member.name);
                }
            }
        });
    }
}

struct DrainCase {
    name: &'static str,
    drain: fn() -> Drain,
    remaining: &'static [&'static str],
}

const DRAIN_CASES: &[DrainCase] = &[
    DrainCase {
        name: "target",
        drain: || Drain::Target("target-0-0".to_owned()),
        remaining: &["target-0-1", "target-0-2", "target-0-3"],
    },
    DrainCase {
        name: "rack",
        drain: || Drain::Rack {
            domain: Domain::new(0),
            rack: 0,
        },
        remaining: &["target-0-2", "target-0-3"],
    },
    DrainCase {
        name: "domain",
        drain: || Drain::Domain(Domain::new(0)),
        remaining: &[],
    },
];

#[test]
fn drained_targets_get_no_new_tasks_even_without_the_instance_list() {
    for drained in DRAIN_CASES {
        for list_down in [false, true] {
            runtime::paused(async move {
                let fleet = Fleet::start(Layout {
                    targets: 4,
                    rack: 2,
                    ..layout(1, 2)
                });
                clock::sleep(SETTLE).await;
                let entry = fleet.members[1].entry();
                let change = Change::Drain((drained.drain)());
                let accepted = proposer(&fleet.members[0].entry())
                    .propose(&operation("one", 1, change))
                    .await;
                accepted.expect("nobody else");
                fleet.instances.faults().down.set(list_down);
                clock::sleep(MAX_DRAIN_DELAY).await;
                let before = fleet.targets.runs().len();
                let id: Id = "order-1".parse().expect("a valid key");
                let answer = entry.submit(id, submission(32)).await;
                answer.expect("the instance serves");
                // Waits for writes that the answer does not wait for.
                clock::sleep(SETTLE).await;
                let runs = fleet.targets.runs();
                let used = |name: &str| runs[before..].iter().any(|it| it.target == name);
                for target in ["target-0-0", "target-0-1", "target-0-2", "target-0-3"] {
                    let allowed = drained.remaining.contains(&target);
                    let (name, down) = (drained.name, list_down);
                    assert_eq!(used(target), allowed, "{name}, list down {down}: {target}");
                }
            });
        }
    }
}
