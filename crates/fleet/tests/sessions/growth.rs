//! Messages between the instances of large deployments.

use std::time::Duration;

use bluebellpath_fleet::frontend::Answer;
use bluebellpath_runtime::runtime;

use crate::system::{JobSpec, Layout, System, sleep_ms};

/// More instances in other domains than an interval has heartbeats for.
const LARGE: Layout = Layout {
    domains: 6,
    instances: 12,
    targets: 12,
};

const INSTANCES: u64 = 72;

/// Most heartbeats that an instance sends in one second without changes: ten to
/// each peer of its domain, and 16 per interval to others.
const MAX_HEARTBEATS_PER_SECOND: u64 = 11 * 10 + 16 * 10;

#[test]
fn heartbeats_of_an_instance_do_not_grow_with_other_domains() {
    runtime::paused(async {
        let system = System::start(LARGE).await;
        sleep_ms(2_000).await;
        let before = system.mesh.heartbeats();
        sleep_ms(2_000).await;
        let sent = (system.mesh.heartbeats() - before) / 2 / INSTANCES;
        assert!(sent <= MAX_HEARTBEATS_PER_SECOND, "{sent} a second");
        for instance in &system.instances {
            let alive = instance.node.membership().live_peers().len();
            assert_eq!(alive, 71, "{}", instance.address);
        }
    });
}

#[test]
fn a_common_start_costs_one_answer_to_each_new_peer() {
    runtime::paused(async {
        let system = System::start(LARGE).await;
        // Within 800 ms: the periodic heartbeats, one answer to each peer, and one
        // heartbeat for each change of the owned targets.
        let periodic = MAX_HEARTBEATS_PER_SECOND + 71 * 3;
        let answers = 71;
        let changes = 12 * (11 + 16);
        let sent = system.mesh.heartbeats() / INSTANCES;
        assert!(
            sent <= periodic + answers + changes,
            "{sent} of an instance"
        );
    });
}

#[test]
fn a_search_asks_only_owners_that_may_have_the_run() {
    runtime::paused(async {
        let system = System::start(LARGE).await;
        let spec = JobSpec {
            // More tasks than fit on the targets of the frontend itself.
            tasks: 16,
            run_ms: 3_000,
            deadline_ms: 15_000,
            ..JobSpec::default()
        };
        system.submit(0, spec);
        sleep_ms(500).await;
        let owned = |it: &usize| {
            let held = system.instances[*it].node.scheduler().target_ids();
            let running = system.targets.running();
            running.iter().filter(|it| held.contains(&it.0)).count()
        };
        let owner = (1..12).max_by_key(owned).expect("peers in the domain");
        let runs = u64::try_from(owned(&owner)).expect("small");
        assert!(runs > 0);
        let before = system.mesh.calls();
        system.kill(owner);
        sleep_ms(1_500).await;
        // Each target of the lost owner has one successor, and each run a few rounds
        // of 60 ms until the successor has taken over after 550 ms.
        let claims = runs * 12 * 6;
        // One instance of each domain informs the others once a second.
        let lists = 2 * 6 * 11;
        let calls = system.mesh.calls() - before;
        assert!(calls <= claims + lists, "{calls} calls for {runs} runs");
        sleep_ms(10_000).await;
        assert_eq!(system.answer(1), Some(Answer::Completed));
        assert_eq!(system.started_runs(1), 16, "all runs were adopted");
        system.assert_no_violations();
    });
}

/// A single instance is left in a domain with more targets than fit into one
/// heartbeat.
#[test]
fn an_instance_takes_over_no_more_targets_than_it_can_announce() {
    const LAYOUT: Layout = Layout {
        domains: 1,
        instances: 2,
        targets: 200,
    };
    runtime::paused(async {
        let system = System::start(LAYOUT).await;
        system.kill(1);
        sleep_ms(2_000).await;
        let owned = system.instances[0].node.scheduler().target_ids().len();
        assert_eq!(owned, 128);
    });
}

/// The links of two instances are full for a second under steady load. What follows
/// must not keep the links full.
#[test]
fn service_returns_after_links_were_full() {
    const LAYOUT: Layout = Layout {
        domains: 6,
        instances: 3,
        targets: 20,
    };
    runtime::paused(async {
        let system = System::start(LAYOUT).await;
        // 2 Mbit/s.
        system.mesh.limit_links(250_000);
        let mut job = 0;
        let mut served_after = (0, 0);
        for step in 0..640 {
            if step == 160 {
                for number in [0, 4] {
                    let address = system.instances[number].address;
                    system.mesh.fill_link(address, Duration::from_secs(1));
                }
            }
            for number in [step % 18, (step * 7 + 3) % 18] {
                job += 1;
                let spec = JobSpec {
                    job,
                    tasks: 4,
                    cores: 30,
                    run_ms: 200,
                    deadline_ms: 1_500,
                    padding: 1_200,
                    ..JobSpec::default()
                };
                system.submit(number, spec);
                // From 8 s after the links were full.
                if step >= 480 {
                    served_after.1 += 1;
                }
            }
            sleep_ms(12).await;
        }
        sleep_ms(3_000).await;
        let last = job - served_after.1;
        let completed = |it: &u64| system.answer(*it) == Some(Answer::Completed);
        served_after.0 = (last + 1..=job).filter(completed).count();
        let (served, sent) = served_after;
        assert!(
            served * 100 >= usize::try_from(sent).expect("small") * 95,
            "{served} of {sent} jobs were served"
        );
        system.assert_no_violations();
    });
}
