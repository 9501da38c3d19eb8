//! Tests of the dispatcher's decisions.

use std::time::Duration;

use bluebellpath_dispatch::{
    Assignment, Dispatcher, Ending, Job, JobId, KindId, NextStep, NotStarted, Policy, Reason,
    Report, Target, TargetId, Task, Team, TeamId,
};
use bluebellpath_runtime::Instant;

const MS: Duration = Duration::from_millis(1);
const RUN_TIME: Duration = Duration::from_millis(100);

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
        declared_run_time: Some(RUN_TIME),
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

fn finish_task(
    dispatcher: &mut Dispatcher,
    assignment: Assignment,
    ending: Ending,
    now: Instant,
) -> NextStep {
    let elapsed = if ending == Ending::Complete {
        RUN_TIME
    } else {
        MS
    };
    let report = Report {
        assignment,
        ending,
        elapsed,
    };
    dispatcher.finish(report, now)
}

struct FailureCase {
    name: &'static str,
    ending: Ending,
    /// Most starts on the failing target while 60 jobs run.
    max_starts: usize,
}

const FAILURE_CASES: &[FailureCase] = &[
    FailureCase {
        name: "fails at once",
        ending: Ending::Failed,
        max_starts: 3,
    },
    FailureCase {
        name: "refuses connections",
        ending: Ending::NotStarted(NotStarted::Unreachable),
        max_starts: 1,
    },
    FailureCase {
        name: "says that it is leaving",
        ending: Ending::NotStarted(NotStarted::Leaving),
        max_starts: 1,
    },
];

#[test]
fn failing_target_gets_few_tasks() {
    for case in FAILURE_CASES {
        let mut dispatcher = dispatcher(4, 2);
        let mut failing_starts = 0;
        for number in 0..60 {
            let now = at(number * 10);
            let submitted = dispatcher.submit(job(number.into(), 0, 1, now + RUN_TIME * 50), now);
            assert!(submitted.is_ok());
            while let Some(assignment) = dispatcher.next(now) {
                let ending = if assignment.target == TargetId(0) {
                    failing_starts += 1;
                    case.ending
                } else {
                    Ending::Complete
                };
                finish_task(&mut dispatcher, assignment, ending, now);
            }
        }
        assert!(
            (1..=case.max_starts).contains(&failing_starts),
            "{}: {failing_starts}",
            case.name
        );
    }
}

#[test]
fn most_targets_stay_in_use_when_all_fail() {
    let mut dispatcher = dispatcher(9, 2);
    for number in 0..200 {
        let now = at(number * 10);
        let job = job(number.into(), 0, 1, now + RUN_TIME * 50);
        assert!(dispatcher.submit(job, now).is_ok());
        while let Some(assignment) = dispatcher.next(now) {
            finish_task(&mut dispatcher, assignment, Ending::Failed, now);
        }
    }
    assert!(
        dispatcher.exclusions().count() <= 3,
        "at most a third of 9 targets is excluded"
    );
}

#[test]
fn recovered_target_gets_its_slots_back_gradually() {
    let mut dispatcher = dispatcher(4, 4);
    let unreachable = Ending::NotStarted(NotStarted::Unreachable);
    let mut starts = Vec::new();
    for number in 0..400u32 {
        let now = at(number * 20);
        for part in 0..16 {
            let id = u64::from(number * 16 + part);
            assert!(
                dispatcher
                    .submit(job(id, 0, 1, now + RUN_TIME * 50), now)
                    .is_ok()
            );
        }
        let mut batch = Vec::new();
        while let Some(assignment) = dispatcher.next(now) {
            batch.push(assignment);
        }
        let count = batch.iter().filter(|it| it.target == TargetId(1)).count();
        starts.push(count);
        for assignment in batch {
            let fails = assignment.target == TargetId(1) && number < 50;
            let ending = if fails { unreachable } else { Ending::Complete };
            finish_task(&mut dispatcher, assignment, ending, now);
        }
    }
    let after_recovery = starts[50..].iter().copied().filter(|it| *it > 0);
    let after_recovery: Vec<usize> = after_recovery.take(5).collect();
    assert_eq!(
        after_recovery,
        [1, 1, 2, 4, 4],
        "starts per step: a probe, one slot, then doubling"
    );
}

#[test]
fn task_that_was_not_started_is_retried_up_to_the_limit() {
    let mut dispatcher = dispatcher(8, 8);
    assert!(dispatcher.submit(job(1, 0, 1, at(60_000)), at(0)).is_ok());
    let mut attempts = 0;
    while let Some(assignment) = dispatcher.next(at(0)) {
        attempts += 1;
        let full = Ending::NotStarted(NotStarted::Full);
        finish_task(&mut dispatcher, assignment, full, at(0));
    }
    assert_eq!(attempts, Policy::ORDINARY.max_attempts);
}

#[test]
fn task_that_may_have_run_is_never_retried() {
    for ending in [Ending::Unknown, Ending::Failed, Ending::Stopped] {
        let mut dispatcher = dispatcher(2, 2);
        assert!(dispatcher.submit(job(1, 0, 1, at(60_000)), at(0)).is_ok());
        let assignment = dispatcher.next(at(0)).expect("slots are free");
        assert_eq!(
            finish_task(&mut dispatcher, assignment, ending, at(1)),
            NextStep::Done
        );
        assert_eq!(dispatcher.next(at(1)), None, "{ending:?}");
    }
}

#[test]
fn cancelled_job_is_not_retried() {
    let mut dispatcher = dispatcher(2, 1);
    assert!(dispatcher.submit(job(1, 0, 5, at(60_000)), at(0)).is_ok());
    let first = dispatcher.next(at(0)).expect("slots are free");
    assert_eq!(dispatcher.cancel(JobId(1)).len(), 4);
    let full = Ending::NotStarted(NotStarted::Full);
    assert_eq!(
        finish_task(&mut dispatcher, first, full, at(1)),
        NextStep::Done
    );
    assert_eq!(dispatcher.waiting(), 0);
}

#[test]
fn small_jobs_overtake_large_jobs_until_those_are_urgent() {
    let mut dispatcher = dispatcher(1, 1);
    assert!(dispatcher.submit(job(1, 0, 50, at(30_000)), at(0)).is_ok());
    assert!(dispatcher.submit(job(2, 0, 1, at(60_000)), at(10)).is_ok());
    let first = dispatcher.next(at(10)).expect("a slot is free");
    assert_eq!(first.job, JobId(2));
    finish_task(&mut dispatcher, first, Ending::Complete, at(20));
    assert!(
        dispatcher
            .submit(job(3, 0, 1, at(60_000)), at(20_000))
            .is_ok()
    );
    let next = dispatcher.next(at(20_000)).expect("a slot is free");
    assert_eq!(next.job, JobId(1));
}

#[test]
fn jobs_over_quota_wait_for_jobs_within_quota() {
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
    // Teams 1 and 2 exceed their quota; team 0 stays within its own.
    for _ in 0..12 {
        assert!(submit(&mut dispatcher, 1).is_ok() && submit(&mut dispatcher, 2).is_ok());
    }
    let within_quota = submit(&mut dispatcher, 0).expect("within the quota");
    let mut order = Vec::new();
    while let Some(assignment) = dispatcher.next(at(1)) {
        order.push(assignment.job.0);
        finish_task(&mut dispatcher, assignment, Ending::Complete, at(1));
    }
    let position = order
        .iter()
        .position(|it| *it == within_quota)
        .expect("the job ran");
    assert_eq!(position, 8, "runs after the 8 earlier jobs within quotas");
    // Odd job ids belong to team 1, even ones to team 2, which has weight 3.
    let heavy = order[9..17].iter().filter(|it| *it % 2 == 0).count();
    assert!((5..=7).contains(&heavy), "{heavy} of 8");
}

struct RefusalCase {
    name: &'static str,
    size: u32,
    deadline: Instant,
    tasks: u32,
    reason: Reason,
}

const REFUSAL_CASES: &[RefusalCase] = &[
    RefusalCase {
        name: "larger than any target",
        size: 9,
        deadline: Instant::from_nanos(60_000_000_000),
        tasks: 1,
        reason: Reason::TooLarge,
    },
    RefusalCase {
        name: "deadline below the least time",
        size: 1,
        deadline: Instant::from_nanos(50_000_000),
        tasks: 1,
        reason: Reason::Deadline,
    },
    RefusalCase {
        name: "more tasks than may wait",
        size: 1,
        deadline: Instant::from_nanos(60_000_000_000),
        tasks: 100_001,
        reason: Reason::Overload,
    },
];

/// Runs enough tasks for the run time of their kind to be known.
fn learn_run_time(dispatcher: &mut Dispatcher) {
    let jobs = job(0, 0, 10, at(60_000));
    assert!(dispatcher.submit(jobs, at(0)).is_ok());
    while let Some(assignment) = dispatcher.next(at(0)) {
        finish_task(dispatcher, assignment, Ending::Complete, at(0));
    }
}

#[test]
fn declared_run_time_alone_neither_refuses_nor_drops_a_job() {
    let mut dispatcher = dispatcher(2, 8);
    assert!(dispatcher.submit(job(1, 0, 1, at(50)), at(0)).is_ok());
    assert!(dispatcher.expire(at(49)).is_empty());
    assert_eq!(dispatcher.expire(at(50)).len(), 1);
}

#[test]
fn infeasible_job_is_refused_on_submission() {
    for case in REFUSAL_CASES {
        let mut dispatcher = dispatcher(2, 8);
        learn_run_time(&mut dispatcher);
        let mut job = job(1, 0, case.tasks, case.deadline);
        job.tasks.iter_mut().for_each(|it| it.size = case.size);
        let refusal = dispatcher.submit(job, at(0)).expect_err(case.name);
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(dispatcher.waiting(), 0, "{}", case.name);
    }
}

#[test]
fn slots_of_an_unanswered_task_are_released_with_a_delay() {
    let mut dispatcher = dispatcher(1, 1);
    assert!(dispatcher.submit(job(1, 0, 1, at(1_000)), at(0)).is_ok());
    let unanswered = dispatcher.next(at(0)).expect("a slot is free");
    finish_task(&mut dispatcher, unanswered, Ending::Unknown, at(1_000));
    assert!(
        dispatcher
            .submit(job(2, 0, 1, at(60_000)), at(1_000))
            .is_ok()
    );
    assert_eq!(dispatcher.next(at(1_001)), None);
    let release = dispatcher
        .next_expiry(at(1_001))
        .expect("the slot will be released");
    dispatcher.expire(release);
    assert!(dispatcher.next(release).is_some());
}
