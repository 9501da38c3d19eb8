//! Compares the instance list built from changes with the full list.

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

/// Part of `instances` that the entry instances of domain 0 receive, sorted.
fn relevant_to_domain_0(mut instances: Vec<Instance>) -> Vec<Instance> {
    instances.retain(|it| it.role == Role::Entry || it.domain == Domain::new(0));
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    instances
}

#[test]
fn changes_result_in_the_full_list() {
    fn check(steps: Vec<u8>, refreshes: Vec<bool>) -> TestResult {
        runtime::paused(async move {
            let list = Instances::new((0..10).map(instance).collect());
            list.set_lag(Duration::from_secs(30));
            let mut cache = InstanceCache::new(Domain::new(0));
            for (index, step) in steps.iter().enumerate() {
                list.change(|it| apply(it, *step));
                clock::sleep(Duration::from_secs(7)).await;
                if !refreshes.get(index).copied().unwrap_or(true) {
                    continue;
                }
                let before = cache.instances();
                let changed = cache.refresh(&list).await.expect("up");
                let whole = relevant_to_domain_0(list.instances().await.expect("up"));
                if cache.instances() != whole || changed != (before != whole) {
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
fn reordered_answers_result_in_the_full_list() {
    /// `late` tells for each answer whether it arrives after the next one.
    fn check(steps: Vec<u8>, late: Vec<bool>) -> TestResult {
        runtime::paused(async move {
            let list = Instances::new((0..10).map(instance).collect());
            let mut cache = InstanceCache::new(Domain::new(0));
            let mut held = Vec::new();
            for (step, late) in steps.iter().zip(late) {
                list.change(|it| apply(it, *step));
                clock::sleep(Duration::from_secs(1)).await;
                let changes = list.changes(Domain::new(0), cache.since()).await;
                held.push(changes.expect("up"));
                if !late {
                    for changes in held.drain(..).rev() {
                        cache.take(changes);
                    }
                    let whole = relevant_to_domain_0(list.instances().await.expect("up"));
                    if cache.instances() != whole {
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
fn a_restarted_list_service_causes_a_full_read() {
    runtime::paused(async {
        let list = Instances::new((0..10).map(instance).collect());
        let mut cache = InstanceCache::new(Domain::new(0));
        cache.refresh(&list).await.expect("up");
        clock::sleep(Duration::from_secs(1)).await;
        let list = Instances::new((0..5).map(instance).collect());
        assert!(cache.refresh(&list).await.expect("up"));
        assert_eq!(
            cache.instances(),
            relevant_to_domain_0((0..5).map(instance).collect())
        );
    });
}

#[test]
fn an_answer_without_changes_is_short_at_any_size() {
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
