//! Targets that answer with another incarnation while their owner runs tasks there.

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    JobId, Resources, Target, TaskId,
    crash_history::Fate,
    evacuation::{EvacuationState, Evacuations},
    identity::Identity,
    messages::{ClockReading, RunOutcome, RunRequest},
    scheduler::{Config, Scheduler, Waiter},
    target_client::{
        ActiveRun, EndedRun, ExitStatus, PollRequest, RequestError, StartRequest, Status,
        TargetClient,
    },
};
use bluebellpath_runtime::{Instant, LocalFuture, clock, runtime, spawn};
use futures_util::future::join;
use slog::{Logger, o};

const LEASE: Duration = Duration::from_millis(900);

const POLL_TIMEOUT: Duration = Duration::from_millis(225);

/// Time after which a start without an answer is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which the task runs before the target restarts.
const RUN_BEFORE: Duration = Duration::from_millis(100);

/// Clock of the target before its restart, in milliseconds.
const CLOCK_MS: u64 = 100_000;

/// How a target answers after a restart.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// With a status of the new incarnation, whose clock starts at this time.
    Status { clock_ms: u64 },
    /// It refuses requests for the old incarnation.
    Restarted,
}

/// Target with one run.
#[derive(Clone)]
struct OneRun {
    answer: Answer,
    run: Rc<Cell<Option<ActiveRun>>>,
    restarted: Rc<Cell<bool>>,
}

impl TargetClient for OneRun {
    fn start(
        &self,
        _: &Target,
        request: StartRequest,
    ) -> LocalFuture<'static, Result<u64, RequestError>> {
        self.run.set(Some(ActiveRun {
            task: request.task,
            run: request.run,
        }));
        Box::pin(async { Ok(clock_ms()) })
    }

    fn stop(
        &self,
        _: &Target,
        _: TaskId,
        _: u32,
        _: u64,
    ) -> LocalFuture<'static, Result<u64, RequestError>> {
        Box::pin(async { Ok(clock_ms()) })
    }

    fn poll(
        &self,
        _: &Target,
        request: PollRequest,
    ) -> LocalFuture<'static, Result<Status, RequestError>> {
        let target = self.clone();
        Box::pin(async move {
            clock::sleep(Duration::from_millis(request.max_wait_ms.max(1))).await;
            let status = Status {
                clock_ms: clock_ms(),
                incarnation_ms: Some(1),
                running: target.run.get().into_iter().collect(),
                ended: Vec::new(),
            };
            match (target.restarted.get(), target.answer) {
                (false, _) => Ok(status),
                (true, Answer::Status { clock_ms }) => Ok(Status {
                    clock_ms,
                    incarnation_ms: Some(2),
                    ..Status::default()
                }),
                (true, Answer::Restarted) => Err(RequestError::Restarted),
            }
        })
    }
}

fn clock_ms() -> u64 {
    CLOCK_MS + clock::now().as_nanos() / 1_000_000
}

/// Guards against runs that are kept until the lease ends, or whose target is not
/// reported as crashed, although another incarnation proves that they are over.
#[test]
fn the_runs_of_a_target_that_was_replaced_are_over_at_once() {
    const ANSWERS: [Answer; 3] = [
        // The machine restarted, and its clock with it.
        Answer::Status { clock_ms: 5 },
        Answer::Status {
            clock_ms: 2 * CLOCK_MS,
        },
        Answer::Restarted,
    ];
    for answer in ANSWERS {
        runtime::paused(async move {
            let target = OneRun {
                answer,
                run: Rc::default(),
                restarted: Rc::default(),
            };
            let log = Logger::root(slog::Discard, o!());
            let mut evacuation = EvacuationState::default();
            let none = Evacuations {
                version: 1,
                ..Evacuations::default()
            };
            evacuation.merge(&none, clock::now());
            let evacuation = Rc::new(RefCell::new(evacuation));
            let scheduler = Scheduler::new(config(), Rc::new(target.clone()), evacuation, log);
            scheduler.set_identity(Identity::default());
            scheduler.assign_targets(&[listed_target()]);
            clock::sleep(Duration::from_millis(50)).await;
            scheduler.tick();
            let outcome = scheduler.run(run_request(), Waiter::Caller);
            let restart = async {
                clock::sleep(RUN_BEFORE).await;
                assert!(target.run.get().is_some(), "the task runs");
                target.restarted.set(true);
            };
            // The poll that is under way is the first to learn of it.
            let outcome = clock::timeout(RUN_BEFORE + POLL_TIMEOUT, outcome);
            let (outcome, ()) = futures_util::future::join(outcome, restart).await;
            let Some(RunOutcome::TargetLost(loss)) = outcome else {
                panic!("{answer:?}: the outcome is {outcome:?}");
            };
            assert_eq!((loss.fate, loss.incarnation_ms), (Fate::Crashed, 1));
        });
    }
}

/// What a start meets that reaches the new incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// It is carried out and answered after this time.
    Answered { after_ms: u64 },
    /// It is carried out, and its answer is lost.
    Unanswered,
    /// It is lost.
    Lost,
}

/// Target that restarts under its id while a poll of its owner is under way.
#[derive(Clone)]
struct Restarting(Rc<Incarnation>);

struct Incarnation {
    start: Start,
    run_ms: u64,
    number: Cell<u64>,
    started_at: Cell<Instant>,
    runs: RefCell<Vec<(ActiveRun, Instant)>>,
    starts: Cell<u32>,
}

impl Restarting {
    fn new(start: Start, run_ms: u64) -> Restarting {
        Restarting(Rc::new(Incarnation {
            start,
            run_ms,
            number: Cell::new(1),
            started_at: Cell::new(clock::now()),
            runs: RefCell::default(),
            starts: Cell::default(),
        }))
    }

    fn restart(&self) {
        self.0.number.set(self.0.number.get() + 1);
        self.0.started_at.set(clock::now());
        self.0.runs.borrow_mut().clear();
    }

    fn clock_ms(&self) -> u64 {
        let base = if self.0.number.get() == 1 {
            CLOCK_MS
        } else {
            0
        };
        let elapsed = clock::now() - self.0.started_at.get();
        base + u64::try_from(elapsed.as_millis()).expect("small")
    }

    fn status(&self, acknowledged_end: u64) -> Status {
        let runs = self.0.runs.borrow();
        let (ended, running): (Vec<_>, Vec<_>) =
            runs.iter().partition(|(_, end)| clock::now() >= *end);
        let ended = ended.iter().zip(1..).map(|((it, _), number)| EndedRun {
            number,
            task: it.task,
            run: it.run,
            exit_status: ExitStatus::Done,
        });
        Status {
            clock_ms: self.clock_ms(),
            incarnation_ms: Some(self.0.number.get()),
            running: running.iter().map(|it| it.0).collect(),
            ended: ended.filter(|it| it.number > acknowledged_end).collect(),
        }
    }
}

impl TargetClient for Restarting {
    fn start(
        &self,
        _: &Target,
        request: StartRequest,
    ) -> LocalFuture<'static, Result<u64, RequestError>> {
        let target = self.clone();
        target.0.starts.set(target.0.starts.get() + 1);
        Box::pin(async move {
            let run = ActiveRun {
                task: request.task,
                run: request.run,
            };
            let end = clock::now() + Duration::from_millis(target.0.run_ms);
            if target.0.start != Start::Lost {
                target.0.runs.borrow_mut().push((run, end));
            }
            match target.0.start {
                Start::Answered { after_ms } => {
                    clock::sleep(Duration::from_millis(after_ms)).await;
                    Ok(target.clock_ms())
                }
                Start::Unanswered | Start::Lost => {
                    clock::sleep(ORDER_TIMEOUT).await;
                    Err(RequestError::Unknown)
                }
            }
        })
    }

    fn stop(
        &self,
        _: &Target,
        _: TaskId,
        _: u32,
        _: u64,
    ) -> LocalFuture<'static, Result<u64, RequestError>> {
        Box::pin(async { Err(RequestError::Unknown) })
    }

    fn poll(
        &self,
        _: &Target,
        request: PollRequest,
    ) -> LocalFuture<'static, Result<Status, RequestError>> {
        let target = self.clone();
        let number = target.0.number.get();
        Box::pin(async move {
            clock::sleep(Duration::from_millis(request.max_wait_ms.max(1))).await;
            if target.0.number.get() != number {
                // The connection to the former incarnation is silent.
                clock::sleep(POLL_TIMEOUT).await;
                return Err(RequestError::Unknown);
            }
            Ok(target.status(request.acknowledged_end))
        })
    }
}

/// Scheduler that holds the target.
async fn hold(client: Rc<dyn TargetClient>) -> Scheduler {
    let mut evacuation = EvacuationState::default();
    let none = Evacuations {
        version: 1,
        ..Evacuations::default()
    };
    evacuation.merge(&none, clock::now());
    let log = Logger::root(slog::Discard, o!());
    let scheduler = Scheduler::new(config(), client, Rc::new(RefCell::new(evacuation)), log);
    scheduler.set_identity(Identity::default());
    scheduler.assign_targets(&[listed_target()]);
    tick(&scheduler, 50).await;
    scheduler
}

/// Lets a scheduler work for `ms` milliseconds.
async fn tick(scheduler: &Scheduler, ms: u64) {
    const TICK_MS: u64 = 10;
    for _ in 0..ms / TICK_MS {
        scheduler.tick();
        clock::sleep(Duration::from_millis(TICK_MS)).await;
    }
}

/// Guards against a run that is given up, and started elsewhere, while it is at work on
/// a target that has restarted under its id: the status that showed the restart ended
/// all runs, also those that the new incarnation had started.
#[test]
fn a_run_that_the_new_incarnation_has_started_is_not_given_up() {
    struct Case {
        name: &'static str,
        start: Start,
        run_ms: u64,
        outcome: RunOutcome,
    }
    let cases = [
        Case {
            name: "it is at work",
            start: Start::Answered { after_ms: 1 },
            run_ms: 1_500,
            outcome: RunOutcome::Done,
        },
        Case {
            name: "it has ended before the restart is noticed",
            start: Start::Answered { after_ms: 1 },
            run_ms: 1,
            outcome: RunOutcome::Done,
        },
        Case {
            name: "the answer to its start is lost",
            start: Start::Unanswered,
            run_ms: 1_500,
            outcome: RunOutcome::Done,
        },
        Case {
            name: "the answer to its start comes after the restart is noticed",
            start: Start::Answered { after_ms: 600 },
            run_ms: 1_500,
            outcome: RunOutcome::Done,
        },
        Case {
            name: "its start is lost, and the former incarnation may have run it",
            start: Start::Lost,
            run_ms: 1_500,
            outcome: RunOutcome::Lost,
        },
    ];
    for case in cases {
        runtime::paused(async move {
            let target = Restarting::new(case.start, case.run_ms);
            let scheduler = hold(Rc::new(target.clone())).await;
            target.restart();
            let outcome = scheduler.run(run_request(), Waiter::Caller);
            let ended = async {
                let outcome = clock::timeout(Duration::from_millis(4_000), outcome).await;
                (outcome, clock::now())
            };
            let ((outcome, _), ()) = join(ended, tick(&scheduler, 4_000)).await;
            assert_eq!(outcome, Some(case.outcome), "{}", case.name);
            assert_eq!(target.0.starts.get(), 1, "{}", case.name);
        });
    }
}

/// Guards against a start that takes a target above its capacity, or on one without the
/// label: the list still shows the incarnation before the restart.
#[test]
fn a_target_that_restarted_gets_no_task_before_the_list_shows_it() {
    let request = |index: u16, cores: u32| RunRequest {
        task: TaskId {
            index,
            ..run_request().task
        },
        resources: Resources {
            cpu: cores * 1_000,
            ..run_request().resources
        },
        ..run_request()
    };
    runtime::paused(async move {
        let target = Restarting::new(Start::Answered { after_ms: 1 }, 4_000);
        let scheduler = hold(Rc::new(target.clone())).await;
        target.restart();
        tick(&scheduler, 800).await;
        let outcomes = [(0, 40), (1, 30)];
        let outcomes = outcomes
            .map(|(index, cores)| spawn(scheduler.run(request(index, cores), Waiter::Caller)));
        tick(&scheduler, 1_000).await;
        assert_eq!(target.0.starts.get(), 0, "started on what the list shows");
        let smaller = Target {
            incarnation_ms: 2,
            capacity: Resources {
                cpu: 32_000,
                ..listed_target().capacity
            },
            ..listed_target()
        };
        scheduler.assign_targets(&[smaller]);
        tick(&scheduler, 1_000).await;
        let runs = target.0.runs.borrow();
        let started: Vec<_> = runs.iter().map(|it| it.0.task.index).collect();
        assert_eq!(started, [1], "the task that fits");
        drop(outcomes);
    });
}

/// Guards against a second start on a target that was found to have restarted: its
/// capacity is unknown until the list shows it.
#[test]
fn an_answer_of_a_restarted_target_ends_starts_there() {
    runtime::paused(async move {
        let target = Restarting::new(Start::Answered { after_ms: 1 }, 4_000);
        let scheduler = hold(Rc::new(target.clone())).await;
        // Until the clock of the target is far beyond that of its next incarnation.
        tick(&scheduler, 1_000).await;
        target.restart();
        for index in 0..4 {
            let request = RunRequest {
                task: TaskId {
                    index,
                    ..run_request().task
                },
                ..run_request()
            };
            drop(spawn(scheduler.run(request, Waiter::Caller)));
            tick(&scheduler, 10).await;
        }
        tick(&scheduler, 1_000).await;
        assert_eq!(target.0.starts.get(), 1);
    });
}

fn config() -> Config {
    Config {
        lease: LEASE,
        poll_timeout: POLL_TIMEOUT,
        request_timeout: Duration::from_millis(300),
        claim_timeout: Duration::from_millis(450),
        give_up_time: Duration::from_millis(2_000),
        unlisted_timeout: Duration::from_millis(2_500),
        far_factor: 1.5,
        injected_fault: None,
    }
}

fn address() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7_000)
}

fn listed_target() -> Target {
    Target {
        id: "target-0".into(),
        incarnation_ms: 1,
        address: address(),
        service: "match".into(),
        domain: "domain-0".into(),
        capacity: Resources {
            cpu: 64_000,
            memory_mb: 4_096,
            gpu: 0,
        },
        labels: Vec::new(),
        draining: false,
    }
}

fn run_request() -> RunRequest {
    RunRequest {
        task: TaskId {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        spec: "".into(),
        service: "match".into(),
        resources: Resources {
            cpu: 1_000,
            memory_mb: 64,
            gpu: 0,
        },
        constraint: None,
        affinity: None,
        max_per_target: 0,
        exclusive: false,
        estimate_ms: 5_000,
        priority: 0,
        goal_remaining_ms: 8_000,
        start_timeout_ms: 8_000,
        eligible_targets: Rc::default(),
        owner_incarnation: 0,
        sent_at: ClockReading::default(),
        front_address: address(),
    }
}
