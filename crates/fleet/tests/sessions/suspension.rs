//! Instances that act after they were suspended, on what they knew before.

use std::rc::Rc;

use bluebellpath_fleet::frontend::Answer;
use bluebellpath_runtime::{LocalFuture, runtime, spawn};
use bluebellpath_standin::Mishap;

use crate::system::{JobSpec, Layout, System, sleep_ms};

/// One instance in each of two failure domains. If one is silent, the other can't tell
/// whether it is cut off itself, and takes nothing over.
const TWO_SINGLES: Layout = Layout {
    domains: 2,
    instances: 1,
    targets: 4,
};

const FRONT: usize = 0;
const OWNER: usize = 1;

/// Job whose task is watched.
const JOB: u64 = 100;

const RUN_MS: u64 = 2_000;

/// Shortest time after which a caller submits its job again.
const RESUBMISSION_MS: u64 = 1_300;

/// Time after which every job is answered.
const END_MS: u64 = 15_000;

/// Job whose tasks fill a rack: two tasks don't fit on one target.
fn rack_job(job: u64, rack: &'static str) -> JobSpec {
    JobSpec {
        job,
        tasks: 2,
        cores: 40,
        run_ms: RUN_MS,
        deadline_ms: 20_000,
        rack: Some(rack),
        ..JobSpec::default()
    }
}

/// Job with one task, for which the owner has the best targets.
fn watched_job() -> JobSpec {
    JobSpec {
        tasks: 1,
        ..rack_job(JOB, "rack-2")
    }
}

/// Lets the task of a job at `front` wait at the owner for a target of its rack, while
/// others are free.
async fn submit_waiting_task(system: &System, front: usize) {
    system.submit(OWNER, rack_job(1, "rack-2"));
    sleep_ms(1_000).await;
    system.submit(FRONT, rack_job(2, "rack-0"));
    system.submit(FRONT, rack_job(3, "rack-1"));
    sleep_ms(700).await;
    system.submit(front, watched_job());
    sleep_ms(100).await;
    let (_, waiting) = system.instances[OWNER].node.scheduler().task_counts();
    assert_eq!(waiting, 1, "a task waits at the owner");
}

/// Suspensions of an instance, in milliseconds, with the time between two.
#[derive(Clone, Copy)]
struct Suspensions {
    suspended_ms: &'static [u64],
    between_ms: u64,
}

const SUSPENSIONS: [Suspensions; 12] = [
    once(&[300]),
    once(&[600]),
    once(&[1_100]),
    once(&[1_600]),
    once(&[2_000]),
    once(&[2_400]),
    once(&[3_000]),
    once(&[4_000]),
    once(&[5_500]),
    Suspensions {
        suspended_ms: &[900, 2_500],
        between_ms: 10,
    },
    Suspensions {
        suspended_ms: &[2_500, 300],
        between_ms: 1,
    },
    Suspensions {
        suspended_ms: &[700, 700, 700, 700],
        between_ms: 40,
    },
];

const fn once(suspended_ms: &'static [u64]) -> Suspensions {
    Suspensions {
        suspended_ms,
        between_ms: 0,
    }
}

impl Suspensions {
    async fn play(&self, system: &System, number: usize) {
        for (index, suspended_ms) in self.suspended_ms.iter().enumerate() {
            if index > 0 {
                sleep_ms(self.between_ms).await;
            }
            system.suspend(number);
            sleep_ms(*suspended_ms).await;
            system.resume(number);
        }
    }
}

/// Plays a case with all suspensions of an instance, with the platform's store and without
/// it. The watched task must have at most `max_runs`, never two at once, and its job must
/// be answered as completed.
fn check(max_runs: u32, play: fn(Rc<System>, Suspensions) -> LocalFuture<'static, ()>) {
    let mut failures = Vec::new();
    let stores = [true, false];
    let cases = SUSPENSIONS
        .into_iter()
        .flat_map(|it| stores.map(|has_store| (it, has_store)));
    for (suspensions, has_store) in cases {
        let violations = runtime::paused(async move {
            let system = Rc::new(System::start(TWO_SINGLES).await);
            if !has_store {
                system.config_table.lose([FRONT, OWNER]);
                system.instance_table.lose([FRONT, OWNER]);
            }
            play(system.clone(), suspensions).await;
            sleep_ms(END_MS).await;
            let mut violations = system.violations();
            if system.answer(JOB) != Some(Answer::Completed) {
                violations.push(format!("answered {:?}", system.answer(JOB)));
            }
            if system.started_runs(JOB) > max_runs {
                violations.push(format!("{} runs", system.started_runs(JOB)));
            }
            violations
        });
        if !violations.is_empty() {
            let suspended_ms = suspensions.suspended_ms;
            failures.push(format!(
                "{suspended_ms:?}, store: {has_store}: {violations:?}"
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an owner that resumes and starts a task that waits there, though its
/// frontend has given the run up and runs the task again.
#[test]
fn a_task_that_waited_at_a_suspended_owner_does_not_start_beside_its_next_run() {
    check(2, |system, suspensions| {
        Box::pin(async move {
            submit_waiting_task(&system, FRONT).await;
            suspensions.play(&system, OWNER).await;
        })
    });
}

/// Guards against an owner that resumes and starts a task again whose start was refused or
/// got no answer, though its frontend has given the run up.
#[test]
fn a_task_that_was_put_back_does_not_start_beside_its_next_run() {
    for mishap in [Mishap::Refuse, Mishap::Mute, Mishap::Dark] {
        for suspended_ms in [600, 1_100, 1_600, 2_400, 3_000, 4_000, 5_500] {
            runtime::paused(async move {
                let system = System::start(TWO_SINGLES).await;
                let owned = system.instances[OWNER].node.scheduler().target_ids();
                system.submit(FRONT, rack_job(2, "rack-0"));
                system.submit(FRONT, rack_job(3, "rack-1"));
                sleep_ms(100).await;
                let set_mishap = |mishap| {
                    owned
                        .iter()
                        .for_each(|it| system.targets.set_mishap(it, mishap));
                };
                set_mishap(mishap);
                system.submit(FRONT, watched_job());
                sleep_ms(5).await;
                system.suspend(OWNER);
                sleep_ms(suspended_ms).await;
                set_mishap(Mishap::None);
                system.resume(OWNER);
                sleep_ms(END_MS).await;
                system.assert_no_violations();
                let case = format!("{mishap:?}, {suspended_ms} ms");
                assert_eq!(system.answer(JOB), Some(Answer::Completed), "{case}");
            });
        }
    }
}

/// Lets the caller of the watched job leave `number` soon, and submit the job at `other`.
fn resubmit_elsewhere(system: &Rc<System>, number: usize, other: usize) {
    let system = system.clone();
    drop(spawn(async move {
        sleep_ms(10).await;
        system.hang_up(number, JOB);
        sleep_ms(RESUBMISSION_MS).await;
        system.submit(other, watched_job());
    }));
}

/// Guards against an instance that resumes and starts a task of its own caller before it
/// has read that the caller has left, who has submitted the job elsewhere.
#[test]
fn a_waiting_task_does_not_start_for_a_caller_that_left_during_a_suspension() {
    check(2, |system, suspensions| {
        Box::pin(async move {
            submit_waiting_task(&system, OWNER).await;
            resubmit_elsewhere(&system, OWNER, FRONT);
            suspensions.play(&system, OWNER).await;
        })
    });
}

/// Guards against an instance that resumes, reads a job and starts it before it has read
/// that the caller has left, who has submitted the job elsewhere.
#[test]
fn a_job_that_arrived_during_a_suspension_does_not_start_for_a_caller_that_left() {
    check(2, |system, suspensions| {
        Box::pin(async move {
            let caller = system.clone();
            drop(spawn(async move {
                sleep_ms(5).await;
                caller.submit(OWNER, watched_job());
                resubmit_elsewhere(&caller, OWNER, FRONT);
            }));
            suspensions.play(&system, OWNER).await;
        })
    });
}

/// Guards against a frontend that resumes and runs a task again elsewhere, whose run its
/// owner has stopped, before it has read that the caller has left.
#[test]
fn a_frontend_does_not_run_a_task_again_for_a_caller_that_left_during_its_suspension() {
    check(3, |system, suspensions| {
        Box::pin(async move {
            // The owner has the only free targets.
            system.submit(FRONT, rack_job(2, "rack-0"));
            system.submit(FRONT, rack_job(3, "rack-1"));
            sleep_ms(100).await;
            system.submit(FRONT, watched_job());
            sleep_ms(100).await;
            resubmit_elsewhere(&system, FRONT, OWNER);
            suspensions.play(&system, FRONT).await;
        })
    });
}

/// Guards against an owner that resumes and starts a task of a frontend that was killed,
/// whose caller has submitted the job again.
#[test]
fn a_waiting_task_does_not_start_for_a_frontend_that_was_killed_during_a_suspension() {
    for suspended_ms in [1_700, 2_000, 2_400, 3_000, 4_000, 5_500] {
        runtime::paused(async move {
            let mut system = System::start(TWO_SINGLES).await;
            submit_waiting_task(&system, FRONT).await;
            system.suspend(OWNER);
            system.kill(FRONT);
            sleep_ms(RESUBMISSION_MS - 600).await;
            system.start_instance(FRONT, FRONT);
            sleep_ms(600).await;
            system.submit(FRONT, watched_job());
            sleep_ms(suspended_ms - RESUBMISSION_MS).await;
            system.resume(OWNER);
            sleep_ms(END_MS).await;
            system.assert_no_violations();
            let answer = system.answer(JOB);
            assert_eq!(answer, Some(Answer::Completed), "{suspended_ms} ms");
        });
    }
}

/// Guards against an owner that resumes and takes the silence of a target that it could
/// not hear for the loss of the run there, whose end the target has kept.
#[test]
fn a_run_that_ended_during_a_suspension_is_not_given_up() {
    check(1, |system, suspensions| {
        Box::pin(async move {
            system.submit(OWNER, watched_job());
            // It ends before its lease.
            sleep_ms(RUN_MS - 200).await;
            suspensions.play(&system, OWNER).await;
        })
    });
}

/// Guards against an owner that resumes and stops a run that nobody has claimed in time,
/// although the claim came in time and waits to be read.
#[test]
fn a_run_that_was_claimed_during_a_suspension_is_not_stopped() {
    for suspended_ms in [440, 460, 500, 550, 600] {
        runtime::paused(async move {
            let system = System::start(TWO_SINGLES).await;
            system.submit(FRONT, rack_job(2, "rack-0"));
            system.submit(FRONT, rack_job(3, "rack-1"));
            sleep_ms(100).await;
            system.submit(FRONT, watched_job());
            sleep_ms(500).await;
            let (running, _) = system.instances[OWNER].node.scheduler().task_counts();
            assert_eq!(running, 1, "the owner runs the task");
            system.mesh.reset();
            // The owner learns of the reset, and is suspended before the claim.
            for _ in 0..2 {
                bluebellpath_runtime::runtime::yield_now().await;
            }
            system.suspend(OWNER);
            sleep_ms(suspended_ms).await;
            system.resume(OWNER);
            sleep_ms(END_MS).await;
            system.assert_no_violations();
            assert_eq!(
                system.answer(JOB),
                Some(Answer::Completed),
                "{suspended_ms}"
            );
            assert_eq!(system.started_runs(JOB), 1, "{suspended_ms} ms");
        });
    }
}

/// Guards against an owner that resumes and releases targets as silent, to make room for
/// others, before it has asked them.
#[test]
fn targets_are_not_released_as_silent_after_a_suspension() {
    const LAYOUT: Layout = Layout {
        domains: 1,
        instances: 1,
        targets: 130,
    };
    for suspended_ms in [300, 1_100, 4_000] {
        runtime::paused(async move {
            let system = System::start(LAYOUT).await;
            let scheduler = system.instances[0].node.scheduler();
            let held = scheduler.target_ids();
            system.suspend(0);
            sleep_ms(suspended_ms).await;
            system.resume(0);
            sleep_ms(200).await;
            assert_eq!(scheduler.target_ids(), held, "{suspended_ms} ms");
        });
    }
}

/// Guards against an owner that resumes and goes on with its old token at a target that
/// has restarted under its id, and that has forgotten the token of the next owner.
#[test]
fn a_target_that_restarted_during_a_suspension_has_one_owner() {
    const LAYOUT: Layout = Layout {
        domains: 3,
        instances: 1,
        targets: 4,
    };
    for suspended_ms in (900..2_500).step_by(200) {
        for load_ms in [0, 10, 20, 40, 60, 100] {
            runtime::paused(async move {
                let system = System::start(LAYOUT).await;
                let owned = system.instances[0].node.scheduler().target_ids();
                system.suspend(0);
                sleep_ms(suspended_ms).await;
                owned.iter().for_each(|it| system.targets.restart(it));
                system.resume(0);
                sleep_ms(load_ms).await;
                for job in 0..9 {
                    let spec = JobSpec {
                        job,
                        tasks: 6,
                        ..JobSpec::default()
                    };
                    let number = usize::try_from(job).expect("small") % LAYOUT.domains;
                    system.submit(number, spec);
                }
                sleep_ms(END_MS).await;
                let violations = system.violations();
                let case = format!("{suspended_ms} ms, load after {load_ms} ms");
                assert_eq!(violations, Vec::<String>::new(), "{case}");
            });
        }
    }
}
