//! Decisions without I/O, as tables of cases.

use std::time::Duration;

use bluebellpath_fleet::{
    JobId, Resources, TaskId,
    admission::{self, Decision, Estimate},
    backlog::Backlog,
    circuit_breaker::CircuitBreaker,
    fencing::{self, TokenSource},
    messages::Load,
    owner_selection::{self, Demand, Distance, Owner},
    ownership::{self, Candidate},
    placement,
    read_schedule::Schedule,
    run_time::Estimator,
};
use bluebellpath_runtime::Instant;
use quickcheck::quickcheck;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Instant {
    Instant::from_nanos(ms * 1_000_000)
}

#[test]
fn names_of_tasks_are_read_as_they_are_written() {
    struct Case {
        text: &'static str,
        reads: bool,
    }
    const CASES: [Case; 6] = [
        Case {
            text: "5c0e7a21d94b36f8.0.1.17",
            reads: true,
        },
        Case {
            text: "5C0E7A21D94B36F8.0.1.17",
            reads: false,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.1",
            reads: false,
        },
        Case {
            text: "5c0e7a21d94b36f8.0.1.17.2",
            reads: false,
        },
        Case {
            text: "+c0e7a21d94b36f8.0.1.17",
            reads: false,
        },
        Case {
            text: "",
            reads: false,
        },
    ];
    for case in CASES {
        let task = case.text.parse::<TaskId>();
        assert_eq!(task.is_ok(), case.reads, "{}", case.text);
        if let Ok(task) = task {
            assert_eq!(task.to_string(), case.text);
        }
    }
}

#[test]
fn instances_further_back_in_line_wait_longer_up_to_a_limit() {
    struct Case {
        place: usize,
        age_ms: u64,
    }
    const CASES: [Case; 6] = [
        Case {
            place: 0,
            age_ms: 100,
        },
        Case {
            place: 1,
            age_ms: 900,
        },
        Case {
            place: 2,
            age_ms: 950,
        },
        Case {
            place: 3,
            age_ms: 1_000,
        },
        Case {
            place: 4,
            age_ms: 1_000,
        },
        Case {
            place: usize::MAX,
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
            schedule.age_for(case.place),
            ms(case.age_ms),
            "{}",
            case.place
        );
    }
}

quickcheck! {
    fn every_job_is_read_back(id: u64) -> bool {
        JobId(id).to_string().parse() == Ok(JobId(id))
    }

    fn a_raise_stays_below_every_later_hold(wall: u32, later: u8, names: (String, String)) -> bool {
        let wall = 1_800_000_000_000 + u64::from(wall);
        let (one, other) = (TokenSource::new(&names.0, 1), TokenSource::new(&names.1, 2));
        let token = one.next(wall, 0, 0);
        let next = other.next(wall + 1 + u64::from(later), 0, 0);
        fencing::increment(token).is_some_and(|it| token < it && it < next && next < 1 << 53)
    }
}

#[test]
fn a_token_can_be_raised_only_a_few_times() {
    let mut token = TokenSource::new("entry", 1).next(1_800_000_000_000, 0, 0);
    let mut raises = 0;
    while let Some(raised) = fencing::increment(token) {
        token = raised;
        raises += 1;
    }
    assert_eq!(raises, 15);
}

#[test]
fn a_hold_climbs_past_a_token_from_the_future() {
    let source = TokenSource::new("entry", 1);
    let ahead = TokenSource::new("other", 1).next(1_800_000_002_000, 0, 0);
    assert!(source.next(1_800_000_000_000, ahead, 250) > ahead);
}

#[test]
fn targets_go_to_their_own_domain_and_by_strength() {
    let candidate = |name, domain, weight| Candidate {
        name,
        domain,
        weight,
    };
    let all = [
        candidate("a", "north", 300),
        candidate("b", "north", 100),
        candidate("c", "south", 900),
    ];
    let owners: Vec<_> = (0..4_000)
        .filter_map(|it| ownership::choose(&format!("t{it}"), "north", all.iter().copied()))
        .collect();
    let share = |name| owners.iter().filter(|it| **it == name).count();
    assert_eq!(share("c"), 0);
    let expected = 2_800..3_200;
    assert!(expected.contains(&share("a")), "{}", share("a"));
    let foreign = ownership::choose("t", "west", all.iter().copied());
    assert!(
        foreign.is_some(),
        "a domain without instances is served by others"
    );
}

#[test]
fn a_lost_instance_moves_only_its_own_targets() {
    let all = ["a", "b", "c", "d"].map(|name| Candidate {
        name,
        domain: "d",
        weight: 1,
    });
    for target in (0..500).map(|it| format!("t{it}")) {
        let before = ownership::choose(&target, "d", all.iter().copied());
        let after = ownership::choose(&target, "d", all[..3].iter().copied());
        assert!(before == Some("d") || before == after, "{target}");
    }
}

#[test]
fn tasks_wait_by_priority_and_then_by_latest_start() {
    let mut queue = Backlog::default();
    for (name, priority, start_ms) in [("late", 1, 900), ("soon", 1, 100), ("first", 0, 5_000)] {
        queue.push(priority, at(start_ms), name);
    }
    let order: Vec<_> = queue.scan().map(|it| *it.1).collect();
    assert_eq!(order, ["first", "soon", "late"]);
}

#[test]
fn the_tightest_hole_that_ends_in_time_is_taken() {
    struct Case {
        name: &'static str,
        /// Cores free, run time, trusted.
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
            name: "fast enough goes before tight",
            targets: &[(64, 100, true), (27, 300, true)],
            goal_ms: 200,
            chosen: Some(0),
        },
        Case {
            name: "none in time: fastest",
            targets: &[(27, 400, true), (64, 300, true)],
            goal_ms: 200,
            chosen: Some(1),
        },
        Case {
            name: "trusted first",
            targets: &[(27, 100, false), (64, 100, true)],
            goal_ms: 200,
            chosen: Some(1),
        },
    ];
    let need = Resources {
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
        let chosen = placement::choose(need, ms(case.goal_ms), candidates.enumerate());
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn work_goes_to_near_holes_and_else_to_the_shortest_backlog() {
    let owner = |distance, holes: &[u16], waiting: u64| Owner {
        distance,
        load: Load {
            free_cores: holes.to_vec(),
            total_cores: 640,
            backlog: vec![(1, waiting)],
        },
        reachable: true,
    };
    let demand = Demand {
        cores: 27,
        run_time: ms(200),
        priority: 1,
    };
    let mut near = [
        owner(Distance::OtherDomain, &[64], 0),
        owner(Distance::SameDomain, &[30], 0),
    ];
    assert_eq!(owner_selection::choose(demand, &mut near), Some((1, ms(0))));
    assert_eq!(
        owner_selection::choose(demand, &mut near),
        Some((0, ms(0))),
        "the hole is taken"
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
        "nothing is ahead"
    );
}

#[test]
fn a_burst_over_two_owners_is_spread_evenly() {
    // A burst at one front: all of its tasks are placed on the same old loads.
    let load = Load {
        free_cores: vec![64; 6],
        total_cores: 384,
        backlog: Vec::new(),
    };
    let owner = |distance| Owner {
        distance,
        load: load.clone(),
        reachable: true,
    };
    let mut owners = [owner(Distance::Local), owner(Distance::SameDomain)];
    let demand = Demand {
        cores: 27,
        run_time: ms(200),
        priority: 1,
    };
    let mut counts = [0; 2];
    for _ in 0..124 {
        let (chosen, _) = owner_selection::choose(demand, &mut owners).expect("two owners");
        counts[chosen] += 1;
    }
    assert_eq!(counts, [62, 62]);
}

#[test]
fn jobs_are_taken_only_while_they_can_end_in_time() {
    struct Case {
        wait_ms: u64,
        run_ms: u64,
        limit_ms: u64,
        decision: Decision,
    }
    let cases = [
        Case {
            wait_ms: 0,
            run_ms: 200,
            limit_ms: 380,
            decision: Decision::Admit,
        },
        Case {
            wait_ms: 180,
            run_ms: 200,
            limit_ms: 380,
            decision: Decision::Admit,
        },
        Case {
            wait_ms: 181,
            run_ms: 200,
            limit_ms: 380,
            decision: Decision::Refuse(ms(200)),
        },
        Case {
            wait_ms: 2_000,
            run_ms: 200,
            limit_ms: 380,
            decision: Decision::Refuse(ms(1_820)),
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
            run_time: ms(case.run_ms),
            time_limit: ms(case.limit_ms),
        };
        assert_eq!(admission::decide(estimate), case.decision, "{estimate:?}");
    }
}

#[test]
fn a_target_that_fails_in_a_row_is_paused_for_longer_each_time() {
    let mut trust = CircuitBreaker::default();
    trust.record_failure(at(0));
    assert!(!trust.is_open(at(1)), "one failure may be the task's own");
    trust.record_failure(at(0));
    assert!(trust.is_open(at(499)) && !trust.is_open(at(500)));
    trust.record_failure(at(500));
    assert!(trust.is_open(at(1_499)) && !trust.is_open(at(1_500)));
    assert!(!trust.is_closed());
    trust.record_success();
    assert!(trust.is_closed() && !trust.is_open(at(500)));
}

#[test]
fn speed_is_learnt_from_a_few_runs() {
    let mut speed = Estimator::default();
    assert_eq!(speed.estimate(ms(200)), ms(200));
    (0..20).for_each(|_| speed.record(ms(100), ms(200)));
    let expected = speed.estimate(ms(200));
    assert!(ms(340) < expected && expected < ms(400), "{expected:?}");
}
