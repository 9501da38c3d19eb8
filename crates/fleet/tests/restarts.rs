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
    scheduler::{Config, DropPolicy, Scheduler},
    target_client::{ActiveRun, PollRequest, RequestError, StartRequest, Status, TargetClient},
};
use bluebellpath_runtime::{LocalFuture, clock, runtime};
use slog::{Logger, o};

const LEASE: Duration = Duration::from_millis(900);

const POLL_TIMEOUT: Duration = Duration::from_millis(225);

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
            let outcome = scheduler.run(run_request(), DropPolicy::Stop);
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

fn config() -> Config {
    Config {
        lease: LEASE,
        poll_timeout: POLL_TIMEOUT,
        request_timeout: Duration::from_millis(300),
        claim_timeout: Duration::from_millis(450),
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
