//! Tests of the modules that make decisions without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    JobId, Resources, Target, TaskId,
    admission::{self, Decision, Estimate, StepDemand},
    backlog::Backlog,
    circuit_breaker::CircuitBreaker,
    crash_history::{CrashHistory, Fate, Loss, LossReport, Verdict},
    fencing::{self, TokenSource},
    forecast::Occupancy,
    identity::{Claim, Claimed, Identity, StoredIdentity},
    lost_answers::LostAnswers,
    membership::{self, Heartbeat, Membership},
    messages::{ClockReading, Load, Waiting},
    overdue::ActiveRun,
    owner_selection::{self, Demand, Distance, Owner},
    ownership::{Assignment, Candidate},
    placement,
    read_schedule::Schedule,
    reservation::{self, Reservations},
    room::{ArrivalRate, Forecast, Room, TargetRoom},
    run_time::Estimator,
    target_list::TargetList,
};
use bluebellpath_runtime::{Instant, clock, runtime};
use quickcheck::quickcheck;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Instant {
    Instant::from_nanos(ms * 1_000_000)
}

#[test]
fn task_ids_parse_only_in_the_displayed_form() {
    struct Case {
        text: &'static str,
        is_valid: bool,
    }
    const CASES: [Case; 6] = [
        Case {
            text: "5c0e7a21d94b36f8.0.1.17",
            is_valid: true,
        },
        Case {
            text: "5C0E7A21D94B36F8.0.1.17",
            is_valid: false,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.1",
            is_valid: false,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.1.17.2",
            is_valid: false,
        },
        Case {
            text: "+c0e7a21d94b36f8.0.1.17",
            is_valid: false,
        },
        Case {
            text: "",
            is_valid: false,
        },
    ];
    for case in CASES {
        let task = case.text.parse::<TaskId>();
        assert_eq!(task.is_ok(), case.is_valid, "{}", case.text);
        if let Ok(task) = task {
            assert_eq!(task.to_string(), case.text);
        }
    }
}

#[test]
fn read_age_grows_with_rank_up_to_the_maximum() {
    struct Case {
        rank: usize,
        age_ms: u64,
    }
    const CASES: [Case; 6] = [
        Case {
            rank: 0,
            age_ms: 100,
        },
        Case {
            rank: 1,
            age_ms: 900,
        },
        Case {
            rank: 2,
            age_ms: 950,
        },
        Case {
            rank: 3,
            age_ms: 1_000,
        },
        Case {
            rank: 4,
            age_ms: 1_000,
        },
        Case {
            rank: usize::MAX,
            age_ms: 1_000,
        },
    ];
    let schedule = Schedule {
        first_age: ms(100),
        second_age: ms(900),
        age_step: ms(50),
        max_age: ms(1_000),
    };
    for case in CASES {
        assert_eq!(
            schedule.age_for(case.rank),
            ms(case.age_ms),
            "{}",
            case.rank
        );
    }
}

quickcheck! {
    fn job_ids_round_trip_through_text(id: u64) -> bool {
        JobId(id).to_string().parse() == Ok(JobId(id))
    }

    fn instances_and_restarts_never_share_a_token(
        instances: ((u16, u8), (u16, u8)),
        walls: (u32, u32),
        steps: (u16, u16)
    ) -> bool {
        let (first, second) = (identity(instances.0), identity(instances.1));
        if first == second {
            return true;
        }
        let first_tokens = all_tokens(first, walls.0, steps.0);
        let second_tokens = all_tokens(second, walls.1, steps.1);
        first_tokens.iter().all(|it| !second_tokens.contains(it) && *it < 1 << 53)
    }

    fn incremented_tokens_stay_below_those_of_later_owners(
        instances: ((u16, u8), (u16, u8)),
        walls: (u32, u32)
    ) -> bool {
        let (first, second) = (identity(instances.0), identity(instances.1));
        if first == second {
            return true;
        }
        // A target lets a later owner in only with a higher token.
        let token = TokenSource::new(first).next(&TARGET.into(), wall(walls.0), 0);
        let later_token = TokenSource::new(second).next(&TARGET.into(), wall(walls.1), 0);
        let highest = increments(token).last().copied().unwrap_or(token);
        later_token < token || highest < later_token
    }

    fn a_process_never_uses_a_token_twice_for_a_target(walls: Vec<u32>) -> bool {
        let source = TokenSource::new(identity((1, 1)));
        let tokens = walls.iter().map(|it| source.next(&TARGET.into(), wall(*it), 0));
        tokens.collect::<Vec<_>>().is_sorted_by(|a, b| a < b)
    }
}

const TARGET: &str = "target";

/// Wall time in milliseconds, in a range of six hours.
fn wall(ms: u32) -> u64 {
    1_800_000_000_000 + u64::from(ms % 21_600_000)
}

fn identity((number, life): (u16, u8)) -> Identity {
    Identity::new(number % 8_192, life % 16).expect("in range")
}

/// Tokens that an owner may use after `token`.
fn increments(token: u64) -> Vec<u64> {
    std::iter::successors(fencing::increment(token), |it| fencing::increment(*it)).collect()
}

/// Tokens of one process for one target, with one rejection and all increments.
fn all_tokens(identity: Identity, wall_ms: u32, step_ms: u16) -> Vec<u64> {
    let source = TokenSource::new(identity);
    let first = source.next(&TARGET.into(), wall(wall_ms), 0);
    let raised = source.next(&TARGET.into(), wall(wall_ms), step_ms.into());
    let mut tokens = vec![first, raised];
    tokens.extend(increments(first));
    tokens.extend(increments(raised));
    tokens
}

#[test]
fn a_token_can_be_incremented_fifteen_times() {
    let token = TokenSource::new(identity((1, 1))).next(&TARGET.into(), wall(0), 0);
    assert_eq!(increments(token).len(), 15);
}

#[test]
fn a_later_owner_has_the_higher_token() {
    let earlier = TokenSource::new(identity((8_191, 15))).next(&TARGET.into(), wall(0), 0);
    let later = TokenSource::new(identity((0, 0))).next(&TARGET.into(), wall(128), 0);
    let highest = increments(earlier).last().copied().expect("fifteen");
    assert!(later > highest);
}

#[test]
fn a_new_token_exceeds_one_from_a_clock_ahead() {
    let ahead = TokenSource::new(identity((2, 0))).next(&TARGET.into(), wall(2_000), 0);
    let source = TokenSource::new(identity((1, 0)));
    let mut token = source.next(&TARGET.into(), wall(0), 0);
    for step_ms in [250, 500, 1_000, 2_000] {
        token = source.next(&TARGET.into(), wall(0), step_ms);
    }
    assert!(token > ahead);
}

#[test]
fn many_instances_get_distinct_numbers_and_each_restart_another_life() {
    const INSTANCES: usize = 6_200;
    let mut numbers = BTreeMap::new();
    for instance in 0..INSTANCES {
        let name = format!("entry-{instance}");
        let mut claim = Claim::default();
        let identity = loop {
            let (identity, previous) = claim.next(&name, &BTreeSet::new());
            assert_eq!(previous, None);
            let result = match numbers.contains_key(&identity.number()) {
                true => Claimed::NumberTaken,
                false => Claimed::Stored,
            };
            if claim.record(result) {
                break identity;
            }
        };
        assert_eq!(
            identity.shard(),
            Identity::first_of(&name, 99).shard(),
            "the numbers of a name are in one shard"
        );
        numbers.insert(identity.number(), name);
    }
    assert_eq!(numbers.len(), INSTANCES);

    let last = Identity::first_of("entry", 3);
    let row = StoredIdentity {
        identity: Some(last),
        version: 7,
    };
    let mut claim = Claim::default();
    assert!(!claim.record(Claimed::Conflict(Some(row))));
    let (restarted, previous) = claim.next("entry", &BTreeSet::new());
    assert_eq!(previous, Some(row));
    assert_eq!(restarted.number(), last.number());
    assert_ne!(restarted.life(), last.life());
}

#[test]
fn a_restart_without_the_store_uses_a_life_that_no_peer_remembers() {
    let lives = |lives: &[u8]| {
        let identities = lives.iter().filter_map(|it| Identity::new(17, *it));
        identities.collect::<BTreeSet<_>>()
    };
    let mut claim = Claim::default();
    assert_eq!(claim.without_store(&lives(&[])), None, "no number is known");
    let reported = lives(&[15, 0, 1]);
    let identity = claim.without_store(&reported).expect("reported");
    assert_eq!(identity.number(), 17);
    assert!(!reported.contains(&identity));
    // It is stored later, whatever life the store has.
    let row = StoredIdentity {
        identity: Identity::new(17, 15),
        version: 7,
    };
    claim.record(Claimed::Conflict(Some(row)));
    assert_eq!(claim.next("entry", &reported), (identity, Some(row)));
    // A claim by the store leaves out what peers remember.
    let mut claim = Claim::default();
    claim.record(Claimed::Conflict(Some(row)));
    assert!(!reported.contains(&claim.next("entry", &reported).0));
}

#[test]
fn an_unreadable_identity_is_replaced() {
    let row = StoredIdentity {
        identity: None,
        version: 7,
    };
    let mut claim = Claim::default();
    claim.record(Claimed::Conflict(Some(row)));
    assert_eq!(
        claim.next("entry", &BTreeSet::new()),
        (Identity::first_of("entry", 0), Some(row))
    );
}

fn candidate(name: &str, domain: &str, weight: u32) -> Candidate {
    Candidate::new(name.into(), domain.into(), weight)
}

#[test]
fn targets_are_owned_in_their_domain_in_proportion_to_weight() {
    let assignment = Assignment::new([
        candidate("a", "north", 300),
        candidate("b", "north", 100),
        candidate("c", "south", 900),
    ]);
    let owners: Vec<_> = (0..4_000)
        .filter_map(|it| assignment.owner_of(&format!("t{it}"), "north"))
        .collect();
    let target_count = |name: &str| owners.iter().filter(|it| &****it == name).count();
    assert_eq!(target_count("c"), 0);
    let expected = 2_800..3_200;
    assert!(
        expected.contains(&target_count("a")),
        "{}",
        target_count("a")
    );
    let foreign_owner = assignment.owner_of("t", "west");
    assert!(
        foreign_owner.is_some(),
        "targets of a domain without instances are owned by other domains"
    );
}

#[test]
fn a_lost_instance_moves_only_its_own_targets() {
    let candidates = ["a", "b", "c", "d"].map(|name| candidate(name, "d", 1));
    let before = Assignment::new(candidates.clone());
    let after = Assignment::new(candidates[..3].iter().cloned());
    for target in (0..500).map(|it| format!("t{it}")) {
        let (before, after) = (before.owner_of(&target, "d"), after.owner_of(&target, "d"));
        assert!(
            before.is_some_and(|it| **it == *"d") || before == after,
            "{target}"
        );
    }
}

/// Order of a backlog with tasks of this name, priority and start time, at `now`.
fn backlog_order(tasks: &[(&'static str, u8, u64)], now: u64) -> Vec<&'static str> {
    let mut backlog = Backlog::default();
    for &(name, priority, start_ms) in tasks {
        backlog.push(priority, at(start_ms), at(10_000), name);
    }
    backlog.scan(at(now)).map(|it| *it.1).collect()
}

#[test]
fn backlog_is_ordered_by_priority_then_slack_then_lateness() {
    struct Case {
        what: &'static str,
        tasks: &'static [(&'static str, u8, u64)],
        order: &'static [&'static str],
    }
    let cases = [
        Case {
            what: "by priority, then by least slack",
            tasks: &[("later", 1, 900), ("soon", 1, 500), ("first", 0, 5_000)],
            order: &["first", "soon", "later"],
        },
        Case {
            what: "a task that can only be late does not delay one that can be in time",
            tasks: &[("late", 1, 399), ("soon", 1, 400), ("later", 1, 900)],
            order: &["soon", "later", "late"],
        },
        Case {
            what: "late tasks keep their priority",
            tasks: &[("lower", 2, 900), ("late", 1, 100), ("last", 255, 10)],
            order: &["late", "lower", "last"],
        },
        Case {
            what: "the task that became late last comes first",
            tasks: &[("oldest", 0, 100), ("older", 0, 200), ("old", 0, 300)],
            order: &["old", "older", "oldest"],
        },
        Case {
            what: "nothing waits",
            tasks: &[],
            order: &[],
        },
    ];
    for case in cases {
        assert_eq!(backlog_order(case.tasks, 400), case.order, "{}", case.what);
    }
}

#[test]
fn tasks_leave_the_backlog_when_they_expire() {
    let mut backlog = Backlog::default();
    backlog.push(0, at(0), at(300), "second");
    backlog.push(1, at(100), at(200), "first");
    let started = backlog.push(0, at(0), at(100), "started");
    assert_eq!(backlog.remove(started), Some("started"));
    assert!(backlog.take_expired(at(199)).is_empty());
    assert_eq!(backlog.take_expired(at(200)), ["first"]);
    assert_eq!(backlog.take_expired(at(1_000)), ["second"]);
    assert!(backlog.is_empty() && backlog.take_expired(at(2_000)).is_empty());
}

#[test]
fn late_tasks_give_way_to_tasks_that_can_be_in_time() {
    struct Case {
        what: &'static str,
        tasks: &'static [(&'static str, u8, u64)],
        removed: &'static [&'static str],
    }
    let cases = [
        Case {
            what: "a task of the same priority can be in time",
            tasks: &[("older", 1, 100), ("old", 1, 399), ("soon", 1, 400)],
            removed: &["old", "older"],
        },
        Case {
            what: "all tasks are late",
            tasks: &[("older", 1, 100), ("old", 1, 399)],
            removed: &[],
        },
        Case {
            what: "only tasks of other priorities can be in time",
            tasks: &[("urgent", 0, 900), ("old", 1, 100), ("lower", 2, 900)],
            removed: &[],
        },
        Case {
            what: "each priority by itself",
            tasks: &[
                ("a", 0, 1),
                ("b", 0, 900),
                ("c", 1, 1),
                ("d", 255, 1),
                ("e", 255, 900),
            ],
            removed: &["a", "d"],
        },
    ];
    for case in cases {
        let mut backlog = Backlog::default();
        for &(name, priority, start_ms) in case.tasks {
            backlog.push(priority, at(start_ms), at(10_000), name);
        }
        assert_eq!(backlog.take_late(at(400), 1), case.removed, "{}", case.what);
        let left = case.tasks.len() - case.removed.len();
        assert_eq!(backlog.len(), left, "{}", case.what);
    }
}

/// Cores without other resources.
fn only_cores(cores: u32) -> Resources {
    Resources {
        cpu: cores * 1_000,
        ..Resources::default()
    }
}

/// Target with these free cores and runs, each with its cores and expected end.
fn occupied(free: u32, runs: &[(u32, u64)]) -> reservation::Room {
    let runs = runs.iter().map(|&(cores, end_ms)| Occupancy {
        resources: only_cores(cores),
        expected_end: at(end_ms),
    });
    reservation::Room {
        free: only_cores(free),
        runs: runs.collect(),
    }
}

#[test]
fn a_task_that_fits_nowhere_reserves_the_first_target_with_room() {
    struct Case {
        what: &'static str,
        cores: u32,
        start_by: u64,
        targets: Vec<reservation::Room>,
        reserved: Option<(usize, u64)>,
    }
    let two = || {
        vec![
            occupied(4, &[(12, 300), (16, 900)]),
            occupied(8, &[(24, 200)]),
        ]
    };
    let cases = [
        Case {
            what: "the one that has room first",
            cores: 16,
            start_by: 500,
            targets: two(),
            reserved: Some((1, 200)),
        },
        Case {
            what: "a run past its expected end ends soon",
            cores: 16,
            start_by: 500,
            targets: vec![occupied(8, &[(24, 200)]), occupied(8, &[(24, 50)])],
            reserved: Some((1, 120)),
        },
        Case {
            what: "a task that can only be late reserves nothing",
            cores: 16,
            start_by: 199,
            targets: two(),
            reserved: None,
        },
        Case {
            what: "too large for all",
            cores: 40,
            start_by: 5_000,
            targets: two(),
            reserved: None,
        },
    ];
    for case in cases {
        let mut reservations = Reservations::new(case.targets.len());
        let targets = case.targets.into_iter().enumerate();
        let reserved =
            reservations.reserve(only_cores(case.cores), at(case.start_by), targets, at(100));
        let expected = case.reserved.map(|(index, start_ms)| (index, at(start_ms)));
        assert_eq!(reserved, expected, "{}", case.what);
    }
}

#[test]
fn tasks_start_on_a_reserved_target_only_if_they_do_not_delay_it() {
    let targets = || vec![occupied(8, &[(24, 200)]), occupied(8, &[(24, 400)])].into_iter();
    let mut reservations = Reservations::new(2);
    let start = |reservations: &mut Reservations, cores, start_by| {
        let targets = targets().enumerate();
        reservations.reserve(only_cores(cores), at(start_by), targets, at(100))
    };
    assert_eq!(start(&mut reservations, 28, 900), Some((0, at(200))));
    struct Case {
        what: &'static str,
        target: usize,
        cores: u32,
        end: u64,
        allowed: bool,
    }
    let cases = [
        Case {
            what: "ends before the reserved start",
            target: 0,
            cores: 8,
            end: 200,
            allowed: true,
        },
        Case {
            what: "would delay the reserved start",
            target: 0,
            cores: 8,
            end: 201,
            allowed: false,
        },
        Case {
            what: "fits beside the reserved task",
            target: 0,
            cores: 4,
            end: 5_000,
            allowed: true,
        },
        Case {
            what: "the target is not reserved",
            target: 1,
            cores: 8,
            end: 5_000,
            allowed: true,
        },
    ];
    for case in cases {
        let allowed = reservations.allow(case.target, only_cores(case.cores), at(case.end));
        assert_eq!(allowed, case.allowed, "{}", case.what);
    }
    let second = start(&mut reservations, 16, 900);
    assert_eq!(second, Some((1, at(400))), "each task reserves another");
    assert!(reservations.is_full());
    assert_eq!(start(&mut reservations, 16, 900), None);
}

#[test]
fn placement_chooses_the_tightest_target_that_meets_the_goal() {
    struct Case {
        name: &'static str,
        /// Free cores, estimated run time in milliseconds, and whether healthy.
        targets: &'static [(u32, u64, bool)],
        goal_ms: u64,
        chosen: Option<usize>,
    }
    const CASES: [Case; 5] = [
        Case {
            name: "tightest fit",
            targets: &[(64, 100, true), (30, 100, true)],
            goal_ms: 200,
            chosen: Some(1),
        },
        Case {
            name: "too small",
            targets: &[(26, 100, true)],
            goal_ms: 200,
            chosen: None,
        },
        Case {
            name: "meeting the goal goes before a tight fit",
            targets: &[(64, 100, true), (27, 300, true)],
            goal_ms: 200,
            chosen: Some(0),
        },
        Case {
            name: "none meets the goal: fastest",
            targets: &[(27, 400, true), (64, 300, true)],
            goal_ms: 200,
            chosen: Some(1),
        },
        Case {
            name: "healthy first",
            targets: &[(27, 100, false), (64, 100, true)],
            goal_ms: 200,
            chosen: Some(1),
        },
    ];
    let required = Resources {
        cpu: 27_000,
        memory_mb: 64,
        gpu: 0,
    };
    for case in CASES {
        let candidates = case.targets.iter().map(|it| placement::Candidate {
            free: Resources {
                cpu: it.0 * 1_000,
                memory_mb: 100,
                gpu: 0,
            },
            expected_run_time: ms(it.1),
            healthy: it.2,
        });
        let chosen = placement::choose(required, ms(case.goal_ms), candidates.enumerate());
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// Room of targets with these free cores and no runs.
fn room(free_cores: &[u32]) -> Room {
    let targets = free_cores.iter().map(|it| TargetRoom {
        free: it * 1_000,
        run_time_ratio: 1.0,
        ends: Vec::new(),
    });
    Room::summarize(&targets.collect::<Vec<_>>())
}

#[test]
fn owners_are_chosen_by_free_cores_then_shortest_backlog() {
    let owner = |distance, free_cores: &[u32], core_ms: u32| Owner {
        distance,
        load: Rc::new(Load {
            room: room(free_cores),
            total_cores: 640,
            backlog: vec![Waiting {
                priority: 1,
                tasks: 8,
                core_ms,
                ..Waiting::default()
            }],
        }),
        load_age: ms(0),
        reachable: true,
    };
    let demand = Demand {
        cpu: 27_000,
        run_time: ms(200),
        goal: ms(400),
        priority: 1,
        spread: 0,
    };
    let mut idle = [
        owner(Distance::OtherDomain, &[64], 0),
        owner(Distance::SameDomain, &[30], 0),
    ];
    assert_eq!(owner_selection::choose(demand, &mut idle), Some((1, ms(0))));
    assert_eq!(
        owner_selection::choose(demand, &mut idle),
        Some((0, ms(0))),
        "the free cores of the nearest owner are taken"
    );
    let mut busy = [
        owner(Distance::Local, &[], 64_000),
        owner(Distance::OtherDomain, &[], 6_400),
    ];
    assert_eq!(
        owner_selection::choose(demand, &mut busy),
        Some((1, ms(10)))
    );
    let urgent = Demand {
        priority: 0,
        ..demand
    };
    assert_eq!(
        owner_selection::choose(urgent, &mut busy),
        Some((0, ms(0))),
        "no backlog of the same or a higher priority"
    );
}

#[test]
fn a_burst_over_two_owners_is_spread_evenly() {
    // One frontend places all tasks of a burst before any load is updated.
    let load = Load {
        room: room(&[64; 6]),
        total_cores: 384,
        backlog: Vec::new(),
    };
    let owner = |distance| Owner {
        distance,
        load: load.clone().into(),
        load_age: ms(0),
        reachable: true,
    };
    let mut owners = [owner(Distance::Local), owner(Distance::SameDomain)];
    let demand = Demand {
        cpu: 27_000,
        run_time: ms(200),
        goal: ms(400),
        priority: 1,
        spread: 0,
    };
    let mut counts = [0; 2];
    for _ in 0..124 {
        let (chosen, _) = owner_selection::choose(demand, &mut owners).expect("two owners");
        counts[chosen] += 1;
    }
    assert_eq!(counts, [62, 62]);
}

/// Guards against frontends that count on room which others take, or which is too
/// small, although a better place is free.
#[test]
fn the_best_place_for_a_task_is_chosen() {
    /// Distance, free cores of the targets and ratio of run times there.
    type OwnerCase = (Distance, &'static [u32], f64);

    struct Case {
        name: &'static str,
        owners: &'static [OwnerCase],
        /// Whether tasks wait at the first owner.
        backlog: bool,
        chosen: usize,
    }
    use Distance::{Local, OtherDomain, SameDomain};
    const CASES: [Case; 8] = [
        Case {
            name: "the tightest hole of the own domain",
            owners: &[(Local, &[32], 1.0), (SameDomain, &[17], 1.0)],
            backlog: false,
            chosen: 1,
        },
        Case {
            name: "the own domain, although a hole elsewhere is tighter",
            owners: &[(SameDomain, &[32], 1.0), (OtherDomain, &[17], 1.0)],
            backlog: false,
            chosen: 0,
        },
        Case {
            name: "the nearer of equally tight holes",
            owners: &[(OtherDomain, &[17], 1.0), (SameDomain, &[17], 1.0)],
            backlog: false,
            chosen: 1,
        },
        Case {
            name: "no hole that is too small",
            owners: &[(Local, &[15, 15], 1.0), (OtherDomain, &[32], 1.0)],
            backlog: false,
            chosen: 1,
        },
        Case {
            name: "not the tightest hole if it is too slow for the goal",
            owners: &[(Local, &[16], 3.0), (OtherDomain, &[32], 1.0)],
            backlog: false,
            chosen: 1,
        },
        Case {
            name: "an owner where nothing waits",
            owners: &[(Local, &[16], 1.0), (OtherDomain, &[32], 1.0)],
            backlog: true,
            chosen: 1,
        },
        Case {
            name: "never an owner with blocked targets only",
            owners: &[(Local, &[], 1.0), (OtherDomain, &[0], 1.0)],
            backlog: false,
            chosen: 1,
        },
        Case {
            name: "an owner with blocked targets only if there are no others",
            owners: &[(Local, &[], 1.0)],
            backlog: false,
            chosen: 0,
        },
    ];
    for case in CASES {
        let owners = case.owners.iter().enumerate().map(|(index, it)| {
            let targets = it.1.iter().map(|free| TargetRoom {
                free: free * 1_000,
                run_time_ratio: it.2,
                ends: vec![(16_000, ms(50))],
            });
            let mut load = Load {
                room: Room::summarize(&targets.collect::<Vec<_>>()),
                total_cores: 64,
                backlog: Vec::new(),
            };
            if case.backlog && index == 0 {
                load.add_backlog(1, 3_200);
            }
            Owner {
                distance: it.0,
                load: load.into(),
                load_age: ms(0),
                reachable: true,
            }
        });
        let mut owners: Vec<_> = owners.collect();
        let demand = Demand {
            cpu: 16_000,
            run_time: ms(100),
            goal: ms(200),
            priority: 1,
            spread: 0,
        };
        let chosen = owner_selection::choose(demand, &mut owners).map(|it| it.0);
        assert_eq!(chosen, Some(case.chosen), "{}", case.name);
    }
}

/// Guards against all frontends sending to the same place between two heartbeats.
#[test]
fn frontends_with_the_same_view_choose_different_owners() {
    for free_cores in [17, 0] {
        let owner = |number: u32| Owner {
            distance: Distance::OtherDomain,
            load: Rc::new(Load {
                room: Room::summarize(&[TargetRoom {
                    free: free_cores * 1_000 + number * 100,
                    run_time_ratio: 1.0,
                    ends: vec![(20_000, ms(40 + u64::from(number) * 10))],
                }]),
                total_cores: 37,
                backlog: Vec::new(),
            }),
            load_age: ms(0),
            reachable: true,
        };
        let mut counts = [0; 30];
        for front in 0..30 {
            let mut owners: Vec<_> = (0..30).map(owner).collect();
            let demand = Demand {
                cpu: 16_000,
                run_time: ms(100),
                goal: ms(200),
                priority: 1,
                spread: front,
            };
            let (chosen, _) = owner_selection::choose(demand, &mut owners).expect("owners");
            counts[chosen] += 1;
        }
        let most = counts.iter().max().copied().unwrap_or_default();
        let used = counts.iter().filter(|it| **it > 0).count();
        assert!(most <= 8 && used >= 10, "{free_cores} free: {counts:?}");
    }
}

/// Guards against jobs that are admitted although every target is busy beyond their
/// goal, and against refusals while the targets are free.
#[test]
fn jobs_are_admitted_only_if_they_can_end_in_time() {
    struct Case {
        wait_ms: u64,
        run_ms: u64,
        limit_ms: u64,
        decision: Decision,
    }
    const FREE: Case = Case {
        wait_ms: 0,
        run_ms: 200,
        limit_ms: 380,
        decision: Decision::Admit,
    };
    let cases = [
        FREE,
        Case {
            run_ms: 600,
            ..FREE
        },
        Case {
            wait_ms: 90,
            ..FREE
        },
        Case {
            wait_ms: 91,
            // Sooner is the shortest delay.
            decision: Decision::Refuse(ms(200)),
            ..FREE
        },
        Case {
            wait_ms: 2_000,
            // Twice the wait and the run time, less the limit.
            decision: Decision::Refuse(ms(3_820)),
            ..FREE
        },
        Case {
            wait_ms: 99_000,
            run_ms: 0,
            limit_ms: 1,
            decision: Decision::Refuse(ms(10_000)),
        },
    ];
    for case in cases {
        let estimate = Estimate {
            wait: ms(case.wait_ms),
            end: ms(case.wait_ms + case.run_ms),
            time_limit: ms(case.limit_ms),
            priority: 0,
            // Returns first.
            spread: 0,
        };
        assert_eq!(admission::decide(estimate), case.decision, "{estimate:?}");
    }
}

/// Guards against the jobs of a burst returning at the same moment, and against
/// urgent jobs returning behind those that they would overtake.
#[test]
fn refused_jobs_return_spread_by_priority() {
    for room_in in [0, 200, 900, 60_000] {
        let mut last = Duration::ZERO;
        for priority in 0..4 {
            let delay = |job| admission::retry_delay(ms(room_in), priority, job);
            let delays: BTreeSet<_> = (1..=1_000).map(delay).collect();
            let (first, end) = (delays.first().copied(), delays.last().copied());
            let (first, end) = first.zip(end).expect("delays");
            assert!(
                last <= first,
                "priority {priority}: {first:?} before {last:?}"
            );
            assert!(first >= ms(room_in.clamp(200, 10_000)), "{first:?}");
            let tenth = (end - first) / 10;
            for step in 0..10 {
                let window = first + tenth * step..=first + tenth * (step + 1);
                let jobs = (1..=1_000).map(delay).filter(|it| window.contains(it));
                assert!(
                    (60..=140).contains(&jobs.count()),
                    "{room_in} ms, {window:?}"
                );
            }
            last = end;
        }
    }
}

/// Guards against frontends that all count on the room of the last heartbeat.
#[test]
fn what_has_probably_arrived_since_a_summary_is_counted() {
    let load = |arriving_cores| {
        let mut load = Load {
            room: Room::summarize(&[TargetRoom {
                free: 0,
                run_time_ratio: 1.0,
                ends: vec![(16_000, ms(80)), (16_000, ms(200))],
            }]),
            ..Load::default()
        };
        load.set_arriving_cores(0, arriving_cores);
        load
    };
    let start_ms = |cores, age_ms| {
        let forecast = Forecast::new(&load(cores), ms(age_ms), 1, 16_000);
        forecast.earliest_end(16_000, ms(100)).map(|it| it.start_ms)
    };
    assert_eq!(start_ms(0, 50), Some(30));
    assert_eq!(start_ms(32, 0), Some(80), "nothing has arrived yet");
    assert_eq!(start_ms(32, 50), Some(130), "one task of 100 ms has");
    let mut rate = ArrivalRate::default();
    (0..200).for_each(|it| rate.record(160, at(it * 10)));
    assert!((14..=18).contains(&rate.cores(at(2_000))), "{rate:?}");
    assert_eq!(rate.cores(at(6_000)), 0);
}

/// Guards against an expected wait of 0 while every target is busy, against perfect
/// packing, and against an estimate for the first task of a job only.
#[test]
fn the_expected_end_of_a_job_counts_running_and_waiting_work() {
    /// Free cores, ratio of run times, and cores and ends of the runs.
    type TargetCase = (u32, f64, &'static [(u32, u64)]);

    struct Case {
        name: &'static str,
        targets: &'static [TargetCase],
        /// Priority, number and core-milliseconds of waiting tasks.
        backlog: &'static [(u8, u16, u32)],
        age_ms: u64,
        tasks: u16,
        /// Wait and end of a job of priority 1 with tasks of 16 cores and 100 ms.
        expected: Option<(u64, u64)>,
    }
    const CASES: [Case; 11] = [
        Case {
            name: "a free target",
            targets: &[(32, 1.0, &[])],
            backlog: &[],
            age_ms: 0,
            tasks: 2,
            expected: Some((0, 100)),
        },
        Case {
            name: "the third task waits for the first",
            targets: &[(32, 1.0, &[])],
            backlog: &[],
            age_ms: 0,
            tasks: 3,
            expected: Some((100, 200)),
        },
        Case {
            name: "every target is busy and nothing waits",
            targets: &[(0, 1.0, &[(32, 80)]), (15, 1.0, &[(17, 160)])],
            backlog: &[],
            age_ms: 0,
            tasks: 1,
            expected: Some((80, 180)),
        },
        Case {
            name: "cores that are free but too few are of no use",
            targets: &[(15, 1.0, &[(17, 160)]), (15, 1.0, &[(17, 160)])],
            backlog: &[],
            age_ms: 0,
            tasks: 1,
            expected: Some((160, 260)),
        },
        Case {
            name: "tasks of a higher priority go first",
            targets: &[(0, 1.0, &[(17, 80), (15, 160)])],
            backlog: &[(0, 1, 3_200)],
            age_ms: 0,
            tasks: 1,
            expected: Some((160, 260)),
        },
        Case {
            name: "tasks of a lower priority don't",
            targets: &[(0, 1.0, &[(17, 80), (15, 160)])],
            backlog: &[(2, 9, 90_000)],
            age_ms: 0,
            tasks: 1,
            expected: Some((80, 180)),
        },
        Case {
            name: "a summary ages",
            targets: &[(0, 1.0, &[(32, 80)])],
            backlog: &[],
            age_ms: 40,
            tasks: 1,
            expected: Some((40, 140)),
        },
        Case {
            name: "a run past its expected end has not ended",
            targets: &[(0, 1.0, &[(32, 80)])],
            backlog: &[],
            age_ms: 90,
            tasks: 1,
            expected: Some((20, 120)),
        },
        Case {
            name: "a fast target that is free later ends the task first",
            targets: &[(16, 2.0, &[]), (0, 0.5, &[(16, 80)])],
            backlog: &[],
            age_ms: 0,
            tasks: 1,
            expected: Some((80, 130)),
        },
        Case {
            name: "a slow target that is free now ends the task first",
            targets: &[(16, 1.0, &[]), (0, 0.5, &[(16, 80)])],
            backlog: &[],
            age_ms: 0,
            tasks: 1,
            expected: Some((0, 100)),
        },
        Case {
            name: "too small targets",
            targets: &[(8, 1.0, &[]), (4, 1.0, &[(4, 80)])],
            backlog: &[],
            age_ms: 0,
            tasks: 1,
            expected: None,
        },
    ];
    for case in CASES {
        let targets = case.targets.iter().map(|it| TargetRoom {
            free: it.0 * 1_000,
            run_time_ratio: it.1,
            ends: it.2.iter().map(|it| (it.0 * 1_000, ms(it.1))).collect(),
        });
        let backlog = case.backlog.iter().map(|it| Waiting {
            priority: it.0,
            tasks: it.1,
            core_ms: it.2,
            ..Waiting::default()
        });
        let load = Load {
            room: Room::summarize(&targets.collect::<Vec<_>>()),
            total_cores: 64,
            backlog: backlog.collect(),
        };
        let mut forecasts = [Forecast::new(&load, ms(case.age_ms), 1, 16_000)];
        let step = StepDemand {
            tasks: case.tasks,
            cpu: 16_000,
            run_time: ms(100),
            dependencies: &[],
        };
        let later_step = StepDemand {
            run_time: ms(30),
            dependencies: &[0],
            ..step
        };
        let expected = admission::expect(&[step], &mut forecasts.clone());
        let case_expected = case.expected.map(|it| (ms(it.0), ms(it.1)));
        assert_eq!(expected, case_expected, "{}", case.name);
        let expected = admission::expect(&[step, later_step], &mut forecasts);
        let case_expected = case_expected.map(|it| (it.0, it.1 + ms(30)));
        assert_eq!(expected, case_expected, "{}, with a later step", case.name);
    }
}

/// Guards against a forecast without any end of a run where the summary has no room
/// for all of them.
#[test]
fn a_summary_of_many_targets_is_bounded_and_still_names_a_wait() {
    let target = TargetRoom {
        free: 1_000,
        run_time_ratio: 1.0,
        ends: vec![(16_000, ms(400)), (15_000, ms(240))],
    };
    let room = Room::summarize(&vec![target; 128]);
    assert!(room.openings.len() <= 20, "{}", room.openings.len());
    assert_eq!(room.speed_classes.len(), 64);
    let load = Load {
        room,
        total_cores: 4_096,
        backlog: Vec::new(),
    };
    let forecast = Forecast::new(&load, ms(0), 0, 16_000);
    let expected = forecast.earliest_end(16_000, ms(100)).expect("room later");
    assert_eq!(expected.start_ms, 240);
    let expected = forecast.earliest_end(20_000, ms(100)).expect("room later");
    assert!((240..=400).contains(&expected.start_ms), "{expected:?}");
}

#[test]
fn consecutive_failures_open_the_circuit_breaker_for_longer() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(at(0));
    assert!(
        !breaker.is_open(at(1)),
        "one failure may be caused by the task itself"
    );
    breaker.record_failure(at(0));
    assert!(breaker.is_open(at(499)) && !breaker.is_open(at(500)));
    breaker.record_failure(at(500));
    assert!(breaker.is_open(at(1_499)) && !breaker.is_open(at(1_500)));
    assert!(!breaker.is_closed());
    breaker.record_success();
    assert!(breaker.is_closed() && !breaker.is_open(at(500)));
}

#[test]
fn overdue_runs_are_stopped_unless_the_task_is_long() {
    struct Case {
        what: &'static str,
        last_done_start: Option<u64>,
        job_is_long: bool,
        /// Longest time for which the run may last.
        limit: u64,
    }
    let (overdue, stuck) = (4 * 200 + 300, 12 * 200 + 300);
    let cases = [
        Case {
            what: "nothing has ended on the target",
            last_done_start: None,
            job_is_long: false,
            limit: overdue,
        },
        Case {
            what: "only runs that started earlier have ended",
            last_done_start: Some(1_000),
            job_is_long: false,
            limit: overdue,
        },
        Case {
            what: "a run that started later has ended",
            last_done_start: Some(1_001),
            job_is_long: false,
            limit: stuck,
        },
        Case {
            what: "another run of the job is long",
            last_done_start: None,
            job_is_long: true,
            limit: stuck,
        },
    ];
    for case in cases {
        let run = ActiveRun {
            started_at: at(1_000),
            expected: ms(200),
            last_done_start: case.last_done_start.map(at),
        };
        let stops_at = |now| run.should_stop(case.job_is_long, at(now));
        assert!(!stops_at(1_000 + case.limit), "{}", case.what);
        assert!(stops_at(1_001 + case.limit), "{}", case.what);
        let is_long = run.is_long(at(1_001 + overdue));
        assert_eq!(
            is_long,
            case.last_done_start == Some(1_001),
            "{}",
            case.what
        );
        assert!(!run.is_long(at(1_000 + overdue)), "{}", case.what);
    }
}

#[test]
fn run_times_are_learned_from_a_few_runs() {
    let mut estimator = Estimator::default();
    assert_eq!(estimator.estimate(ms(200)), ms(200));
    (0..20).for_each(|_| estimator.record(ms(100), ms(200)));
    let estimate = estimator.estimate(ms(200));
    assert!(ms(340) < estimate && estimate < ms(400), "{estimate:?}");
}

fn task(job: u64, index: u16) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

fn loss_report(target: u32, fate: Fate, task: TaskId) -> LossReport {
    LossReport {
        loss: Loss {
            target,
            incarnation_ms: 10,
            address: address(u16::try_from(target).expect("small")),
            fate,
        },
        tasks: vec![task],
    }
}

#[test]
fn a_task_is_judged_by_what_became_of_its_targets() {
    struct Case {
        name: &'static str,
        losses: &'static [(u32, Fate)],
        verdict: Verdict,
    }
    const CASES: [Case; 11] = [
        Case {
            name: "nothing known",
            losses: &[],
            verdict: Verdict::Unsuspected,
        },
        Case {
            name: "a silent target has not crashed",
            losses: &[(1, Fate::Silent), (2, Fate::Silent)],
            verdict: Verdict::Unsuspected,
        },
        Case {
            name: "three silent targets may have crashed",
            losses: &[(1, Fate::Silent), (2, Fate::Silent), (3, Fate::Silent)],
            verdict: Verdict::Undecided,
        },
        Case {
            name: "silent targets that answer again count no more",
            losses: &[
                (1, Fate::Silent),
                (2, Fate::Silent),
                (3, Fate::Silent),
                (3, Fate::Alive),
            ],
            verdict: Verdict::Unsuspected,
        },
        Case {
            name: "one target that refuses connections",
            losses: &[(1, Fate::Refusing)],
            verdict: Verdict::Suspect,
        },
        Case {
            name: "one crash, reported twice",
            losses: &[(1, Fate::Crashed), (1, Fate::Crashed)],
            verdict: Verdict::Suspect,
        },
        Case {
            name: "a late report does not undo a crash",
            losses: &[(1, Fate::Crashed), (1, Fate::Silent)],
            verdict: Verdict::Suspect,
        },
        Case {
            name: "two targets that refuse connections",
            losses: &[(1, Fate::Refusing), (2, Fate::Refusing)],
            verdict: Verdict::Undecided,
        },
        Case {
            name: "one crash, one target that refuses connections",
            losses: &[(1, Fate::Crashed), (2, Fate::Refusing)],
            verdict: Verdict::Undecided,
        },
        Case {
            name: "two crashes",
            losses: &[(1, Fate::Crashed), (2, Fate::Crashed)],
            verdict: Verdict::Harmful,
        },
        Case {
            name: "one of two answers again",
            losses: &[(1, Fate::Crashed), (2, Fate::Refusing), (2, Fate::Alive)],
            verdict: Verdict::Suspect,
        },
    ];
    runtime::paused(async {
        for case in CASES {
            let history = CrashHistory::default();
            for (target, fate) in case.losses {
                history.record(&loss_report(*target, *fate, task(1, 0)));
            }
            assert_eq!(history.verdict(task(1, 0)), case.verdict, "{}", case.name);
            assert_eq!(history.verdict(task(1, 1)), Verdict::Unsuspected);
            assert_eq!(history.may_have_run(JobId(1)), !case.losses.is_empty());
            assert!(!history.may_have_run(JobId(2)));
        }
    });
}

#[test]
fn the_list_of_targets_shows_crashes() {
    struct Case {
        name: &'static str,
        fate: Fate,
        /// Number, port and incarnation of each listed target.
        listed: &'static [(u32, u16, u64)],
        crashed: bool,
    }
    const CASES: [Case; 7] = [
        Case {
            name: "still listed, beside a later target at its address",
            fate: Fate::Refusing,
            listed: &[(2, 2, 10), (3, 2, 11)],
            crashed: true,
        },
        Case {
            name: "listed as before",
            fate: Fate::Refusing,
            listed: &[(2, 2, 10)],
            crashed: false,
        },
        Case {
            name: "listed in a later incarnation",
            fate: Fate::Silent,
            listed: &[(2, 3, 11)],
            crashed: true,
        },
        Case {
            name: "a later target at its address",
            fate: Fate::Refusing,
            listed: &[(3, 2, 11)],
            crashed: true,
        },
        Case {
            name: "an earlier target at its address",
            fate: Fate::Refusing,
            listed: &[(3, 2, 9)],
            crashed: false,
        },
        Case {
            name: "not listed: it may be cut off",
            fate: Fate::Refusing,
            listed: &[],
            crashed: false,
        },
        Case {
            name: "known to live",
            fate: Fate::Alive,
            listed: &[(2, 2, 11)],
            crashed: false,
        },
    ];
    fn id(number: u32) -> String {
        format!("target-{number}")
    }
    let listed = |&(number, port, incarnation_ms): &(u32, u16, u64)| Target {
        id: id(number).into(),
        incarnation_ms,
        address: address(port),
        service: "match".into(),
        domain: "domain-0".into(),
        capacity: Resources::default(),
        labels: Vec::new(),
        draining: false,
    };
    runtime::paused(async move {
        for case in CASES {
            let history = CrashHistory::default();
            for (number, fate) in [(1, Fate::Crashed), (2, case.fate)] {
                let mut report = loss_report(number, fate, task(1, 0));
                report.loss.target = Target::short_id(&id(number));
                history.record(&report);
            }
            let targets = case.listed.iter().map(listed);
            let mut list = TargetList::default();
            list.replace(1, targets.map(|it| (it.id.clone(), it)).collect());
            history.compare_with_list(&list);
            let verdict = history.verdict(task(1, 0));
            assert_eq!(verdict == Verdict::Harmful, case.crashed, "{}", case.name);
        }
    });
}

/// What is remembered is bounded in time and in number.
#[test]
fn the_crash_history_forgets() {
    runtime::paused(async {
        let history = CrashHistory::default();
        let tasks = |it: &CrashHistory| -> usize {
            let reports = it.reports();
            reports.iter().map(|it| it.tasks.len()).sum()
        };
        for job in 0..5_000 {
            history.record(&loss_report(1, Fate::Crashed, task(job, 0)));
        }
        assert_eq!(tasks(&history), 4_096);
        clock::sleep(ms(59_000)).await;
        history.tick();
        assert_eq!(tasks(&history), 4_096);
        clock::sleep(ms(2_000)).await;
        history.tick();
        assert_eq!(tasks(&history), 0);
    });
}

#[test]
fn lost_answers_are_widespread_only_if_several_targets_lose_them() {
    struct Case {
        name: &'static str,
        /// Targets whose answers are lost, with the times in milliseconds.
        lost: &'static [(u32, u64)],
        widespread: bool,
    }
    const CASES: [Case; 4] = [
        Case {
            name: "nothing is lost",
            lost: &[],
            widespread: false,
        },
        Case {
            name: "one target has failed",
            lost: &[(1, 9_000), (1, 9_400), (1, 9_900)],
            widespread: false,
        },
        Case {
            name: "two targets lose answers",
            lost: &[(1, 9_000), (2, 9_900)],
            widespread: true,
        },
        Case {
            name: "the first loss is long ago",
            lost: &[(1, 7_000), (2, 9_900)],
            widespread: false,
        },
    ];
    for case in CASES {
        let mut lost_answers = LostAnswers::default();
        for (target, ms) in case.lost {
            lost_answers.record(*target, at(*ms));
        }
        let widespread = lost_answers.is_widespread(at(10_000));
        assert_eq!(widespread, case.widespread, "{}", case.name);
    }
}

fn heartbeat(number: u16, domain: &str) -> Heartbeat {
    Heartbeat {
        name: format!("entry-{number}").into(),
        incarnation: 1,
        clocks: ClockReading::now(),
        sequence: clock::now().as_nanos(),
        domain: domain.into(),
        address: address(number),
        weight: 1,
        leaving: false,
        load: Load::default(),
        target_short_ids: Vec::new(),
        newest_config: Default::default(),
        remote_period: 2,
        identity: None,
        recipient_identity: None,
        evacuations: Default::default(),
    }
}

/// Guards against an owner that gives up the runs of a silent target while an instance
/// that it does not hear may keep them alive, and against one that waits for an instance
/// that is gone for good.
#[test]
fn a_silent_peer_may_have_taken_targets_over_until_it_is_gone() {
    struct Case {
        name: &'static str,
        domain: &'static str,
        silence_ms: u64,
        heard: bool,
    }
    const CASES: [Case; 5] = [
        Case {
            name: "heard just now",
            domain: "domain-0",
            silence_ms: 100,
            heard: true,
        },
        Case {
            name: "silent for the failure timeout",
            domain: "domain-0",
            silence_ms: 560,
            heard: false,
        },
        Case {
            name: "silent for a few backoffs",
            domain: "domain-0",
            silence_ms: 29_000,
            heard: false,
        },
        Case {
            name: "gone",
            domain: "domain-0",
            silence_ms: 31_000,
            heard: true,
        },
        Case {
            name: "silent in another domain",
            domain: "domain-1",
            silence_ms: 5_000,
            heard: true,
        },
    ];
    for case in CASES {
        runtime::paused(async move {
            let config = membership::Config {
                heartbeat_interval: ms(100),
                failure_timeout: ms(550),
            };
            let membership = Membership::new("entry-0".into(), "domain-0".into(), config);
            membership.record_heartbeat(heartbeat(1, case.domain));
            clock::sleep(ms(case.silence_ms)).await;
            membership.record_heartbeat(heartbeat(2, "domain-0"));
            assert_eq!(membership.hears_own_domain(), case.heard, "{}", case.name);
        });
    }
}
