//! The instance list read by changes against the list read whole.

use std::time::Duration;

use bluebellpath::{
    platform::{Instance, InstanceCache, List, Role, State},
    settings::Domain,
};
use bluebellpath_runtime::{clock, runtime};
use bluebellpath_standin::Instances;
use quickcheck::{QuickCheck, TestResult};

fn instance(number: u8) -> Instance {
    let role = match number % 5 {
        0 => Role::Entry,
        _ => Role::Target,
    };
    Instance {
        name: format!("instance-{number}"),
        role,
        state: State::Live,
        domain: Domain::new(u16::from(number % 3)),
        rack: 0,
        address: ([127, 0, 0, 1], 7001).into(),
        slots: 8,
        connections: 64,
    }
}

fn apply(instances: &mut Vec<Instance>, step: u8) {
    let number = step % 20;
    let name = instance(number).name;
    match (step / 20) % 3 {
        0 => instances.retain(|it| it.name != name),
        1 => {
            let named = instances.iter_mut().filter(|it| it.name == name);
            named.for_each(|it| it.state = State::Leaving);
        }
        _ if instances.iter().all(|it| it.name != name) => instances.push(instance(number)),
        _ => {}
    }
}

/// What domain 0 has to know of `instances`.
fn concerned(mut instances: Vec<Instance>) -> Vec<Instance> {
    instances.retain(|it| it.role == Role::Entry || it.domain == Domain::new(0));
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    instances
}

#[test]
fn changes_add_up_to_the_whole_list() {
    fn check(steps: Vec<u8>, looks: Vec<bool>) -> TestResult {
        runtime::paused(async move {
            let list = Instances::new((0..10).map(instance).collect());
            list.set_lag(Duration::from_secs(30));
            let mut roll = InstanceCache::new(Domain::new(0));
            for (index, step) in steps.iter().enumerate() {
                list.change(|it| apply(it, *step));
                clock::sleep(Duration::from_secs(7)).await;
                if !looks.get(index).copied().unwrap_or(true) {
                    continue;
                }
                let before = roll.instances();
                let changed = roll.refresh(&list).await.expect("up");
                let whole = concerned(list.instances().await.expect("up"));
                if roll.instances() != whole || changed != (before != whole) {
                    return TestResult::failed();
                }
            }
            TestResult::passed()
        })
    }
    let check: fn(Vec<u8>, Vec<bool>) -> TestResult = check;
    QuickCheck::new().quickcheck(check);
}

#[test]
fn overlapping_answers_add_up_in_any_order() {
    /// `late` says of each reading whether its answer comes after the next one's.
    fn check(steps: Vec<u8>, late: Vec<bool>) -> TestResult {
        runtime::paused(async move {
            let list = Instances::new((0..10).map(instance).collect());
            let mut roll = InstanceCache::new(Domain::new(0));
            let mut held = Vec::new();
            for (step, late) in steps.iter().zip(late) {
                list.change(|it| apply(it, *step));
                clock::sleep(Duration::from_secs(1)).await;
                let changes = list.changes(Domain::new(0), roll.since()).await;
                held.push(changes.expect("up"));
                if !late {
                    for changes in held.drain(..).rev() {
                        roll.take(changes);
                    }
                    let whole = concerned(list.instances().await.expect("up"));
                    if roll.instances() != whole {
                        return TestResult::failed();
                    }
                }
            }
            TestResult::passed()
        })
    }
    let check: fn(Vec<u8>, Vec<bool>) -> TestResult = check;
    QuickCheck::new().quickcheck(check);
}

#[test]
fn another_run_of_the_list_is_read_whole() {
    runtime::paused(async {
        let list = Instances::new((0..10).map(instance).collect());
        let mut roll = InstanceCache::new(Domain::new(0));
        roll.refresh(&list).await.expect("up");
        clock::sleep(Duration::from_secs(1)).await;
        let list = Instances::new((0..5).map(instance).collect());
        assert!(roll.refresh(&list).await.expect("up"));
        assert_eq!(roll.instances(), concerned((0..5).map(instance).collect()));
    });
}

#[test]
fn nothing_new_is_a_short_answer_at_any_size() {
    runtime::paused(async {
        for targets in [50_u16, 436, 6_100] {
            let target = |it: u16| Instance {
                name: format!("target-{it}"),
                ..instance(1)
            };
            let list = Instances::new((0..targets).map(target).collect());
            let domain = Domain::new(1);
            let first = list.changes(domain, None).await.expect("up");
            assert_eq!(first.instances.len(), usize::from(targets));
            let next = list.changes(domain, Some(first.version)).await;
            let bytes = serde_json::to_vec(&next.expect("up")).expect("plain data");
            assert!(bytes.len() < 200, "{} bytes", bytes.len());
        }
    });
}
