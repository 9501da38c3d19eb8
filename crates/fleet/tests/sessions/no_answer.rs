//! What an instance does without an answer: each row of the table "What no answer
//! proves" (`docs/design/platform.md`) at each place that acts on it.

use bluebellpath_fleet::{JobId, frontend::Answer};
use bluebellpath_runtime::runtime;
use bluebellpath_standin::{Cut, Mishap};

use crate::system::{JobSpec, Layout, System, sleep_ms};

const RUN_MS: u64 = 900;

/// Time for which racks are full.
const FULL_MS: u64 = 400;

/// Times from the submission to the first answer that is missing: around the request to
/// the owner, its start, during the run and at its end.
const BEGINS_MS: [u64; 6] = [0, 1, 2, 3, 60, 890];

/// Times for which answers are missing.
const LENGTHS_MS: [u64; 3] = [2, 900, 2_600];

/// Time after which a caller without an answer submits its job again.
const RESUBMISSION_MS: u64 = 1_300;

/// Time after which every job is answered.
const END_MS: u64 = 12_000;

const PAIRS: Layout = Layout {
    domains: 2,
    instances: 2,
    targets: 4,
};

const SINGLES: Layout = Layout {
    domains: 4,
    instances: 1,
    targets: 4,
};

/// Place that acts on a missing answer, and how the task gets there.
struct Place {
    name: &'static str,
    layout: Layout,
    /// Frontend of the job.
    front: usize,
    /// Rack of its data.
    rack: &'static str,
    /// Domain of that rack.
    domain: usize,
    /// Instance that is down all the time.
    down: Option<usize>,
    /// Racks that are full when the job comes, near its frontend, so that its tasks go
    /// to other domains at first.
    full: &'static [&'static str],
    deadline_ms: u64,
    /// Instance that gets the job again and has no room for it, from a caller who has
    /// left when the answers began to be missing.
    again: Option<usize>,
    /// Answer to expect, if there is only one.
    answer: Option<Answer>,
}

const PLACES: [Place; 5] = [
    Place {
        name: "the owner gives up or goes on, in its domain",
        layout: PAIRS,
        front: 0,
        rack: "rack-2",
        domain: 1,
        down: None,
        full: &["rack-0", "rack-1"],
        deadline_ms: 10_000,
        again: None,
        answer: Some(Answer::Completed),
    },
    Place {
        name: "the owner is the frontend",
        layout: PAIRS,
        front: 2,
        rack: "rack-2",
        domain: 1,
        down: None,
        full: &[],
        deadline_ms: 10_000,
        again: None,
        answer: Some(Answer::Completed),
    },
    Place {
        name: "the owner and the next one, in other domains than the target",
        layout: SINGLES,
        front: 0,
        rack: "rack-6",
        domain: 3,
        down: Some(3),
        full: &["rack-0", "rack-1"],
        deadline_ms: 10_000,
        again: None,
        answer: Some(Answer::Completed),
    },
    Place {
        name: "the frontend at the deadline",
        layout: PAIRS,
        front: 0,
        rack: "rack-2",
        domain: 1,
        down: None,
        full: &["rack-0", "rack-1"],
        deadline_ms: 950,
        again: None,
        answer: None,
    },
    Place {
        name: "another frontend of its domain says what has run",
        layout: PAIRS,
        front: 0,
        rack: "rack-2",
        domain: 1,
        down: None,
        full: &["rack-0", "rack-1"],
        deadline_ms: 10_000,
        again: Some(1),
        answer: None,
    },
];

/// Places in other domains than the first frontend.
const OTHER_DOMAINS: [Place; 2] = [
    Place {
        name: "a frontend of the owner's domain says what has run",
        layout: PAIRS,
        front: 0,
        rack: "rack-2",
        domain: 1,
        down: None,
        full: &["rack-0", "rack-1"],
        deadline_ms: 10_000,
        again: Some(3),
        answer: None,
    },
    Place {
        name: "a frontend of a third domain says what has run",
        layout: SINGLES,
        front: 0,
        rack: "rack-0",
        domain: 0,
        down: None,
        full: &[],
        deadline_ms: 10_000,
        again: Some(1),
        answer: None,
    },
];

/// Why answers are missing.
struct Row {
    name: &'static str,
    /// Instance whose process ends.
    killed: fn(&Place) -> Option<usize>,
    begin: fn(&mut System, &Place),
    end: fn(&mut System, &Place),
}

const ROWS: [Row; 12] = [
    Row {
        name: "the target refuses connections",
        killed: |_| None,
        begin: |system, place| set_mishaps(system, place, Mishap::Closed),
        end: |system, place| set_mishaps(system, place, Mishap::None),
    },
    Row {
        name: "the target is silent",
        killed: |_| None,
        begin: |system, place| set_mishaps(system, place, Mishap::Dark),
        end: |system, place| set_mishaps(system, place, Mishap::None),
    },
    Row {
        name: "the target carries out and does not answer",
        killed: |_| None,
        begin: |system, place| set_mishaps(system, place, Mishap::Mute),
        end: |system, place| set_mishaps(system, place, Mishap::None),
    },
    Row {
        name: "connections to the target are reset",
        killed: |_| None,
        begin: |system, place| cut_targets(system, place, Some(Cut::Refusing)),
        end: |system, place| cut_targets(system, place, None),
    },
    Row {
        name: "another incarnation of the target",
        killed: |_| None,
        begin: |system, place| {
            for id in targets_of(system, place) {
                system.targets.restart(&id);
            }
        },
        end: |_, _| {},
    },
    Row {
        name: "peers refuse connections, and those that stand are reset",
        killed: |_| None,
        begin: |system, place| each_peer(system, place, |it, a, b| it.mesh.refuse(a, b, true)),
        end: |system, place| each_peer(system, place, |it, a, b| it.mesh.refuse(a, b, false)),
    },
    Row {
        name: "peers are silent",
        killed: |_| None,
        begin: |system, place| each_peer(system, place, |it, a, b| it.mesh.cut(a, b, true)),
        end: |system, place| each_peer(system, place, |it, a, b| it.mesh.cut(a, b, false)),
    },
    Row {
        name: "peers don't get what is sent",
        killed: |_| None,
        begin: |system, place| {
            each_peer(system, place, |it, a, b| it.mesh.cut_one_way(a, b, true));
        },
        end: |system, place| {
            each_peer(system, place, |it, a, b| it.mesh.cut_one_way(a, b, false));
        },
    },
    Row {
        name: "answers of peers are lost",
        killed: |_| None,
        begin: |system, place| {
            each_peer(system, place, |it, a, b| it.mesh.cut_one_way(b, a, true));
        },
        end: |system, place| {
            each_peer(system, place, |it, a, b| it.mesh.cut_one_way(b, a, false));
        },
    },
    Row {
        name: "another process of the owner",
        killed: |place| Some(owner(place)),
        begin: |system, place| system.kill(owner(place)),
        end: |system, place| {
            let number = owner(place);
            system.start_instance(number, number / place.layout.instances);
        },
    },
    Row {
        name: "another process of the frontend",
        killed: |place| Some(place.front),
        begin: |system, place| system.kill(place.front),
        end: |system, place| {
            let number = place.front;
            system.start_instance(number, number / place.layout.instances);
        },
    },
    Row {
        name: "the store refuses",
        killed: |_| None,
        begin: |system, _| {
            let all = 0..system.instances.len();
            system.config_table.lose(all.clone());
            system.instance_table.lose(all);
        },
        end: |system, _| {
            for number in 0..system.instances.len() {
                system.config_table.let_back(number);
                system.instance_table.let_back(number);
            }
        },
    },
];

/// First instance that may own the targets of the rack.
fn owner(place: &Place) -> usize {
    match place.down {
        None => place.domain * place.layout.instances,
        Some(_) => 1,
    }
}

fn targets_of(system: &System, place: &Place) -> Vec<std::rc::Rc<str>> {
    let domain = format!("domain-{}", place.domain);
    let targets = system.targets.list().into_iter();
    let targets = targets.filter(|(_, it)| *it.domain == domain);
    targets.map(|(id, _)| id).collect()
}

fn set_mishaps(system: &System, place: &Place, mishap: Mishap) {
    for id in targets_of(system, place) {
        system.targets.set_mishap(&id, mishap);
    }
}

fn cut_targets(system: &System, place: &Place, cut: Option<Cut>) {
    let to = format!("domain-{}", place.domain);
    for from in 0..place.layout.domains {
        system.targets.cut(&format!("domain-{from}"), &to, cut);
    }
}

fn each_peer(
    system: &System,
    place: &Place,
    apply: fn(&System, std::net::SocketAddr, std::net::SocketAddr),
) {
    let front = system.instances[place.front].address;
    for instance in &system.instances {
        if instance.address != front {
            apply(system, front, instance.address);
        }
    }
}

/// Violations, and an answer that is not the expected one.
fn play(place: &'static Place, row: &'static Row, begin_ms: u64, length_ms: u64) -> Vec<String> {
    runtime::paused(async move {
        let mut system = System::start(place.layout).await;
        if let Some(number) = place.down {
            system.kill(number);
            sleep_ms(1_500).await;
        }
        let spec = JobSpec {
            tasks: 2,
            run_ms: RUN_MS,
            deadline_ms: place.deadline_ms,
            goal_ms: Some(place.deadline_ms),
            rack: Some(place.rack),
            ..JobSpec::default()
        };
        for (job, rack) in (2..).zip(place.full) {
            let filling = JobSpec {
                job,
                tasks: 4,
                run_ms: FULL_MS,
                rack: Some(rack),
                ..JobSpec::default()
            };
            system.submit(place.front, filling);
        }
        sleep_ms(10).await;
        system.submit(place.front, spec);
        sleep_ms(begin_ms).await;
        (row.begin)(&mut system, place);
        if place.again.is_some() {
            system.hang_up(place.front, spec.job);
        }
        sleep_ms(length_ms.min(RESUBMISSION_MS)).await;
        if length_ms <= RESUBMISSION_MS {
            (row.end)(&mut system, place);
            sleep_ms(RESUBMISSION_MS - length_ms).await;
        }
        if let Some(number) = place.again {
            let instance = &system.instances[number];
            let answer = instance.node.frontend().refuse(JobId(spec.job)).await;
            system.answers.borrow_mut().insert(spec.job, answer);
        }
        if length_ms > RESUBMISSION_MS {
            sleep_ms(length_ms - RESUBMISSION_MS).await;
            (row.end)(&mut system, place);
        }
        sleep_ms(END_MS).await;
        let mut violations = system.violations();
        let answer = system.answer(spec.job);
        let has_frontend = (row.killed)(place) != Some(place.front);
        if has_frontend && place.answer.is_some() && answer != place.answer {
            violations.push(format!("answered {answer:?}"));
        }
        violations
    })
}

fn check(places: &'static [Place]) {
    let mut failures = Vec::new();
    for place in places {
        for row in &ROWS {
            for begin_ms in BEGINS_MS {
                for length_ms in LENGTHS_MS {
                    let violations = play(place, row, begin_ms, length_ms);
                    if let Some(first) = violations.first() {
                        failures.push(format!(
                            "{}, {}, at {begin_ms} ms, for {length_ms} ms: {first}",
                            place.name, row.name
                        ));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against runs that are given up, started again, taken over or denied because of
/// more than a missing answer proves.
#[test]
fn no_answer_proves_no_more_than_the_table_says() {
    check(&PLACES);
}

/// Guards against frontends that deny a job which a frontend of another domain has run.
#[test]
fn a_frontend_of_another_domain_does_not_deny_a_run() {
    check(&OTHER_DOMAINS);
}
