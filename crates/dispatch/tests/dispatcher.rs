//! Decisions of the dispatcher.

use std::time::Duration;

use bluebellpath_dispatch::{
    Assignment, Dispatcher, Ending, Job, JobId, KindId, NextStep, NotStarted, Policy, Reason,
    Report, Target, TargetId, Task, Team, TeamId,
};
use bluebellpath_runtime::Instant;

const MS: Duration = Duration::from_millis(1);
const TASK: Duration = Duration::from_millis(100);

fn at(ms: u32) -> Instant {
    Instant::default() + MS * ms
}

fn target(id: u32, credit: u32) -> Target {
    Target {
        id: TargetId(id),
        slots: 8,
        credit,
        rack: id / 6,
        leaving: false,
    }
}

fn dispatcher(targets: u32, credit: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Policy::ORDINARY);
    for id in 0..targets {
        dispatcher.set_target(target(id, credit), at(0));
    }
    dispatcher
}

fn job(id: u64, team: u32, tasks: u32, deadline: Instant) -> Job {
    let task = |index| Task {
        index,
        kind: KindId(0),
        size: 1,
        declared_run_time: Some(TASK),
        idempotent: true,
    };
    Job {
        id: JobId(id),
        team: TeamId(team),
        deadline,
        input_bytes: 10,
        tasks: (0..tasks).map(task).collect(),
    }
}

fn end(
    dispatcher: &mut Dispatcher,
    assignment: Assignment,
    ending: Ending,
    now: Instant,
) -> NextStep {
    let elapsed = if ending == Ending::Complete { TASK } else { MS };
    let report = Report {
        assignment,
        ending,
        elapsed,
    };
    dispatcher.finish(report, now)
}

struct Trouble {
    name: &'static str,
    ending: Ending,
    /// Most starts at the bad target while each of 60 jobs gets its slot.
    most: usize,
}

const TROUBLES: &[Trouble] = &[
    Trouble {
        name: "fails at once",
        ending: Ending::Failed,
        most: 3,
    },
    Trouble {
        name: "refuses connections",
        ending: Ending::NotStarted(NotStarted::Unreachable),
        most: 1,
    },
    Trouble {
        name: "says that it is leaving",
        ending: Ending::NotStarted(NotStarted::Leaving),
        most: 1,
    },
];

#[test]
fn a_bad_target_looks_worse_and_not_idle() {
    for case in TROUBLES {
        let mut dispatcher = dispatcher(4, 2);
        let mut bad = 0;
        for number in 0..60 {
            let now = at(number * 10);
            let submitted = dispatcher.submit(job(number.into(), 0, 1, now + TASK * 50), now);
            assert!(submitted.is_ok());
            while let Some(assignment) = dispatcher.next(now) {
                let ending = if assignment.target == TargetId(0) {
                    bad += 1;
                    case.ending
                } else {
                    Ending::Complete
                };
                end(&mut dispatcher, assignment, ending, now);
            }
        }
        assert!((1..=case.most).contains(&bad), "{}: {bad}", case.name);
    }
}

#[test]
fn when_all_targets_fail_most_stay_in_use() {
    let mut dispatcher = dispatcher(9, 2);
    for number in 0..200 {
        let now = at(number * 10);
        let job = job(number.into(), 0, 1, now + TASK * 50);
        assert!(dispatcher.submit(job, now).is_ok());
        while let Some(assignment) = dispatcher.next(now) {
            end(&mut dispatcher, assignment, Ending::Failed, now);
        }
    }
    assert!(dispatcher.exclusions().count() <= 3, "a third of 9");
}

#[test]
fn a_target_that_recovers_gets_its_slots_back_step_by_step() {
    let mut dispatcher = dispatcher(4, 4);
    let unreachable = Ending::NotStarted(NotStarted::Unreachable);
    let mut starts = Vec::new();
    for number in 0..400u32 {
        let now = at(number * 20);
        for part in 0..16 {
            let id = u64::from(number * 16 + part);
            assert!(
                dispatcher
                    .submit(job(id, 0, 1, now + TASK * 50), now)
                    .is_ok()
            );
        }
        let mut batch = Vec::new();
        while let Some(assignment) = dispatcher.next(now) {
            batch.push(assignment);
        }
        let bad = batch.iter().filter(|it| it.target == TargetId(1)).count();
        starts.push(bad);
        for assignment in batch {
            let bad = assignment.target == TargetId(1) && number < 50;
            let ending = if bad { unreachable } else { Ending::Complete };
            end(&mut dispatcher, assignment, ending, now);
        }
    }
    let back = starts[50..].iter().copied().filter(|it| *it > 0);
    let back: Vec<usize> = back.take(5).collect();
    assert_eq!(
        back,
        [1, 1, 2, 4, 4],
        "a probe, then one slot, then doubled"
    );
}

#[test]
fn a_refusal_to_start_is_tried_again_within_the_budget() {
    let mut dispatcher = dispatcher(8, 8);
    assert!(dispatcher.submit(job(1, 0, 1, at(60_000)), at(0)).is_ok());
    let mut attempts = 0;
    while let Some(assignment) = dispatcher.next(at(0)) {
        attempts += 1;
        let full = Ending::NotStarted(NotStarted::Full);
        end(&mut dispatcher, assignment, full, at(0));
    }
    assert_eq!(attempts, Policy::ORDINARY.max_attempts);
}

#[test]
fn what_may_have_run_is_never_tried_again() {
    for ending in [Ending::Unknown, Ending::Failed, Ending::Stopped] {
        let mut dispatcher = dispatcher(2, 2);
        assert!(dispatcher.submit(job(1, 0, 1, at(60_000)), at(0)).is_ok());
        let assignment = dispatcher.next(at(0)).expect("slots are free");
        assert_eq!(
            end(&mut dispatcher, assignment, ending, at(1)),
            NextStep::Done
        );
        assert_eq!(dispatcher.next(at(1)), None, "{ending:?}");
    }
}

#[test]
fn a_cancelled_job_is_not_tried_again() {
    let mut dispatcher = dispatcher(2, 1);
    assert!(dispatcher.submit(job(1, 0, 5, at(60_000)), at(0)).is_ok());
    let first = dispatcher.next(at(0)).expect("slots are free");
    assert_eq!(dispatcher.cancel(JobId(1)).len(), 4);
    let full = Ending::NotStarted(NotStarted::Full);
    assert_eq!(end(&mut dispatcher, first, full, at(1)), NextStep::Done);
    assert_eq!(dispatcher.waiting(), 0);
}

#[test]
fn small_jobs_pass_big_ones_until_these_are_urgent() {
    let mut dispatcher = dispatcher(1, 1);
    assert!(dispatcher.submit(job(1, 0, 50, at(30_000)), at(0)).is_ok());
    assert!(dispatcher.submit(job(2, 0, 1, at(60_000)), at(10)).is_ok());
    let first = dispatcher.next(at(10)).expect("a slot is free");
    assert_eq!(first.job, JobId(2));
    end(&mut dispatcher, first, Ending::Complete, at(20));
    assert!(
        dispatcher
            .submit(job(3, 0, 1, at(60_000)), at(20_000))
            .is_ok()
    );
    let next = dispatcher.next(at(20_000)).expect("a slot is free");
    assert_eq!(next.job, JobId(1));
}

#[test]
fn teams_over_their_quota_wait_for_those_within() {
    let mut dispatcher = dispatcher(1, 1);
    let team = |weight| Team {
        weight,
        sustained_per_s: 1.0,
        burst: 4.0,
    };
    for (id, weight) in [(0, 1), (1, 1), (2, 3)] {
        dispatcher.set_team(TeamId(id), team(weight));
    }
    let mut number = 0;
    let mut submit = |dispatcher: &mut Dispatcher, team| {
        number += 1;
        let job = job(number, team, 1, at(60_000));
        dispatcher.submit(job, at(0)).map(|()| number)
    };
    // Teams 1 and 2 use up their quota and go on; team 0 stays within.
    for _ in 0..12 {
        assert!(submit(&mut dispatcher, 1).is_ok() && submit(&mut dispatcher, 2).is_ok());
    }
    let modest = submit(&mut dispatcher, 0).expect("within the quota");
    let mut order = Vec::new();
    while let Some(assignment) = dispatcher.next(at(1)) {
        order.push(assignment.job.0);
        end(&mut dispatcher, assignment, Ending::Complete, at(1));
    }
    let place = order.iter().position(|it| *it == modest).expect("it ran");
    assert_eq!(
        place, 8,
        "after the 8 jobs within the quotas that came before"
    );
    // Odd numbers are of team 1, even ones of team 2, which weighs 3 times.
    let heavy = order[9..17].iter().filter(|it| *it % 2 == 0).count();
    assert!((5..=7).contains(&heavy), "{heavy} of 8");
}

struct Door {
    name: &'static str,
    size: u32,
    deadline: Instant,
    tasks: u32,
    reason: Reason,
}

const DOORS: &[Door] = &[
    Door {
        name: "larger than any target",
        size: 9,
        deadline: Instant::from_nanos(60_000_000_000),
        tasks: 1,
        reason: Reason::TooLarge,
    },
    Door {
        name: "deadline below the least time",
        size: 1,
        deadline: Instant::from_nanos(50_000_000),
        tasks: 1,
        reason: Reason::Deadline,
    },
    Door {
        name: "more tasks than may wait",
        size: 1,
        deadline: Instant::from_nanos(60_000_000_000),
        tasks: 100_001,
        reason: Reason::Overload,
    },
];

/// Lets enough tasks run that their run time is known.
fn learn(dispatcher: &mut Dispatcher) {
    let jobs = job(0, 0, 10, at(60_000));
    assert!(dispatcher.submit(jobs, at(0)).is_ok());
    while let Some(assignment) = dispatcher.next(at(0)) {
        end(dispatcher, assignment, Ending::Complete, at(0));
    }
}

#[test]
fn a_declaration_alone_is_no_reason_to_refuse_or_drop() {
    let mut dispatcher = dispatcher(2, 8);
    assert!(dispatcher.submit(job(1, 0, 1, at(50)), at(0)).is_ok());
    assert!(dispatcher.expire(at(49)).is_empty());
    assert_eq!(dispatcher.expire(at(50)).len(), 1);
}

#[test]
fn what_can_not_be_done_is_refused_before_anything_ran() {
    for case in DOORS {
        let mut dispatcher = dispatcher(2, 8);
        learn(&mut dispatcher);
        let mut job = job(1, 0, case.tasks, case.deadline);
        job.tasks.iter_mut().for_each(|it| it.size = case.size);
        let refusal = dispatcher.submit(job, at(0)).expect_err(case.name);
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(dispatcher.waiting(), 0, "{}", case.name);
    }
}

#[test]
fn slots_of_a_task_without_an_answer_are_not_given_away_at_once() {
    let mut dispatcher = dispatcher(1, 1);
    assert!(dispatcher.submit(job(1, 0, 1, at(1_000)), at(0)).is_ok());
    let lost = dispatcher.next(at(0)).expect("a slot is free");
    end(&mut dispatcher, lost, Ending::Unknown, at(1_000));
    assert!(
        dispatcher
            .submit(job(2, 0, 1, at(60_000)), at(1_000))
            .is_ok()
    );
    assert_eq!(dispatcher.next(at(1_001)), None);
    let due = dispatcher
        .next_expiry(at(1_001))
        .expect("the slot comes back");
    dispatcher.expire(due);
    assert!(dispatcher.next(due).is_some());
}
