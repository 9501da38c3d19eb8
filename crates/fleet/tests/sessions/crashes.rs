//! Tasks that crash every target that starts them.

use std::collections::{BTreeMap, BTreeSet};

use bluebellpath_fleet::{InjectedFault, TaskId, frontend::Answer};
use bluebellpath_runtime::runtime;
use bluebellpath_standin::Mishap;

use crate::system::{JobSpec, Layout, SMALL, System, sleep_ms};

const LAYOUT: Layout = Layout {
    domains: 2,
    instances: 3,
    targets: 8,
};

/// Time after which a caller submits a job again that got no answer.
const RESUBMIT_STEPS: u32 = 13;

/// Duration of a step.
const STEP_MS: u64 = 100;

/// Steps of a session.
const STEPS: u32 = 200;

/// Steps in which ordinary jobs come.
const ORDINARY_STEPS: u32 = 100;

/// First id of the jobs that crash their targets.
const HARMFUL: u64 = 1_000;

/// Caller that submits jobs again, at the next instance of the domain, until they are
/// completed or failed.
#[derive(Default)]
struct Caller {
    /// Jobs with their instance, and the step of the next submission.
    open: BTreeMap<u64, (JobSpec, usize, Option<u32>)>,
    answers: BTreeMap<u64, Answer>,
}

impl Caller {
    fn submit(&mut self, system: &System, instance: usize, spec: JobSpec) {
        system.answers.borrow_mut().remove(&spec.job);
        system.submit(instance, spec);
        self.open.insert(spec.job, (spec, instance, None));
    }

    fn step(&mut self, system: &System, step: u32) {
        for (job, (spec, instance, resubmit_at)) in std::mem::take(&mut self.open) {
            let domain = instance / LAYOUT.instances * LAYOUT.instances;
            let next = domain + (instance + 1) % LAYOUT.instances;
            match (system.answer(job), resubmit_at) {
                (_, Some(at)) if at <= step => self.submit(system, next, spec),
                (Some(answer @ (Answer::Completed | Answer::Failed)), None) => {
                    self.answers.insert(job, answer);
                }
                (Some(_), None) => {
                    let at = Some(step + RESUBMIT_STEPS);
                    self.open.insert(job, (spec, instance, at));
                }
                // The connection to a process that has ended breaks.
                (None, None) if !system.is_alive(instance) => {
                    let at = Some(step + RESUBMIT_STEPS);
                    self.open.insert(job, (spec, instance, at));
                }
                (None, _) | (Some(_), Some(_)) => {
                    self.open.insert(job, (spec, instance, resubmit_at));
                }
            }
        }
    }
}

/// Jobs that crash their targets, and what else happens.
struct Case {
    name: &'static str,
    harmful_jobs: u64,
    deadline_ms: u64,
    disturb: fn(&mut System, u32),
    /// Most crashes under one task.
    max_crashes: u32,
}

const CASES: [Case; 5] = [
    Case {
        name: "the caller waits until the task is given up",
        harmful_jobs: 3,
        deadline_ms: 13_000,
        disturb: |_, _| {},
        max_crashes: 2,
    },
    Case {
        name: "the caller submits the job again and again",
        harmful_jobs: 3,
        deadline_ms: 1_500,
        disturb: |_, _| {},
        max_crashes: 2,
    },
    Case {
        name: "the frontend is killed after the first crash, and restarted",
        harmful_jobs: 2,
        deadline_ms: 4_000,
        disturb: |system, step| match step {
            22 => system.kill(0),
            26 => system.start_instance(0, 0),
            _ => {}
        },
        max_crashes: 3,
    },
    Case {
        name: "all instances of the domain are killed in turn",
        harmful_jobs: 2,
        deadline_ms: 2_500,
        disturb: |system, step| match step {
            20 => system.kill(0),
            32 => system.kill(1),
            44 => system.kill(2),
            21 => system.start_instance(0, 0),
            33 => system.start_instance(1, 0),
            45 => system.start_instance(2, 0),
            _ => {}
        },
        max_crashes: 3,
    },
    Case {
        name: "the links between instances are silent when the first target is lost",
        harmful_jobs: 2,
        deadline_ms: 2_500,
        disturb: |system, step| {
            if step == 11 {
                system.mesh.stall();
            }
        },
        max_crashes: 3,
    },
];

fn run(case: &'static Case, injected_fault: Option<InjectedFault>) -> Vec<String> {
    runtime::paused(async move {
        let mut system = System::start_with(LAYOUT, injected_fault).await;
        let mut caller = Caller::default();
        for step in 0..STEPS {
            if step < ORDINARY_STEPS {
                for domain in 0..LAYOUT.domains {
                    let job = u64::from(step) * 2 + u64::try_from(domain).expect("small");
                    let instance = domain * LAYOUT.instances + step as usize % LAYOUT.instances;
                    let spec = JobSpec {
                        job,
                        tasks: 2,
                        deadline_ms: 4_000,
                        ..JobSpec::default()
                    };
                    if system.is_alive(instance) {
                        caller.submit(&system, instance, spec);
                    }
                }
            }
            if step == 10 {
                for job in HARMFUL..HARMFUL + case.harmful_jobs {
                    let spec = JobSpec {
                        job,
                        tasks: 3,
                        run_ms: 60,
                        deadline_ms: case.deadline_ms,
                        crashes: true,
                        ..JobSpec::default()
                    };
                    caller.submit(&system, 0, spec);
                }
            }
            (case.disturb)(&mut system, step);
            sleep_ms(STEP_MS).await;
            caller.step(&system, step);
        }
        let mut violations = system.violations();
        for (task, crashes) in system.targets.crashes() {
            if crashes > case.max_crashes {
                violations.push(format!("{crashes} crashes under {task}"));
            }
        }
        for (job, (_, instance, _)) in &caller.open {
            violations.push(format!("job {job} has no answer from {instance}"));
        }
        for (job, answer) in &caller.answers {
            let expected = match *job >= HARMFUL {
                true => Answer::Failed,
                false => Answer::Completed,
            };
            if *answer != expected {
                violations.push(format!("job {job} is {answer:?}, not {expected:?}"));
            }
        }
        violations
    })
}

#[test]
fn a_task_that_crashes_its_targets_is_given_up_after_two() {
    for case in &CASES {
        let violations = run(case, None);
        assert!(violations.is_empty(), "{}: {violations:#?}", case.name);
    }
}

#[test]
fn a_task_without_a_crash_history_crashes_target_after_target() {
    let found = CASES
        .iter()
        .filter(|it| !run(it, Some(InjectedFault::IgnoreCrashes)).is_empty());
    assert_eq!(found.count(), CASES.len());
}

/// A target that nobody reaches for a while has not crashed.
#[test]
fn a_task_on_silent_targets_is_neither_given_up_nor_held() {
    runtime::paused(async {
        let system = System::start(LAYOUT).await;
        let spec = JobSpec {
            tasks: 1,
            run_ms: 1_000,
            deadline_ms: 12_000,
            ..JobSpec::default()
        };
        system.submit(0, spec);
        for _ in 0..2 {
            sleep_ms(200).await;
            let running = system.targets.running();
            let (target, ..) = running.first().expect("the task runs");
            system.targets.set_mishap(target, Mishap::Dark);
            let silenced = target.clone();
            sleep_ms(1_300).await;
            system.targets.set_mishap(&silenced, Mishap::None);
        }
        sleep_ms(3_000).await;
        assert_eq!(system.answer(1), Some(Answer::Completed));
        system.assert_no_violations();
    });
}

/// Guards against a suspect that takes its neighbours along with a second crash: one that
/// is started beside other tasks, or that gets company later.
#[test]
fn a_suspect_runs_alone_on_its_target() {
    const JOBS: u64 = 150;
    runtime::paused(async {
        let system = System::start(SMALL).await;
        let first = JobSpec {
            tasks: 6,
            cores: 20,
            run_ms: 2_000,
            deadline_ms: 20_000,
            ..JobSpec::default()
        };
        system.submit(0, first);
        sleep_ms(300).await;
        let running = system.targets.running();
        let (crashed, ..) = running.first().expect("the first job runs").clone();
        let suspects = running.iter().filter(|it| it.0 == crashed);
        let suspects: BTreeSet<TaskId> = suspects.map(|it| it.1).collect();
        system.targets.crash(&crashed);
        let mut seen = BTreeSet::new();
        for job in 2..2 + JOBS {
            // Small tasks, for which there is room beside a suspect.
            let small = JobSpec {
                job,
                tasks: 1,
                cores: 10,
                run_ms: 300,
                ..JobSpec::default()
            };
            system.submit(usize::try_from(job % 4).expect("small"), small);
            for _ in 0..8 {
                sleep_ms(5).await;
                let running = system.targets.running();
                for (target, task, _) in running.iter().filter(|it| suspects.contains(&it.1)) {
                    let company = running.iter().filter(|it| it.0 == *target && it.1 != *task);
                    let company: Vec<_> = company.map(|it| it.1.to_string()).collect();
                    assert!(company.is_empty(), "{task} beside {company:?}");
                    seen.insert(*task);
                }
            }
        }
        assert!(suspects.len() > 1, "several tasks were on the target");
        assert_eq!(seen, suspects, "the suspects run again");
        system.assert_no_violations();
    });
}

/// Guards against a task that is given up because its targets ended as planned.
#[test]
fn a_target_that_has_announced_its_end_is_not_counted_against_its_tasks() {
    /// Ends of targets, more than a task survives if they count as crashes.
    const ENDS: u32 = 3;
    runtime::paused(async {
        let system = System::start(SMALL).await;
        let spec = JobSpec {
            tasks: 1,
            run_ms: 6_000,
            deadline_ms: 40_000,
            ..JobSpec::default()
        };
        system.submit(0, spec);
        for _ in 0..ENDS {
            sleep_ms(300).await;
            let running = system.targets.running();
            let (target, ..) = running.first().expect("the task runs").clone();
            system.targets.drain(&target);
            // Until the owner has read the list.
            sleep_ms(2_200).await;
            system.targets.crash(&target);
            sleep_ms(1_500).await;
        }
        sleep_ms(8_000).await;
        assert_eq!(system.answer(1), Some(Answer::Completed));
        assert_eq!(system.started_runs(1), ENDS + 1);
        system.assert_no_violations();
    });
}
