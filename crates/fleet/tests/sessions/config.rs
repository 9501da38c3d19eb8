//! Configurations come into force in time, whatever becomes of calls.

use std::net::SocketAddr;

use bluebellpath_runtime::{clock, runtime};

use crate::system::{SMALL, System, wait};

/// Time in which a configuration is to be in force, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Time after a trouble's end from which that holds again, in milliseconds.
const CALM_MS: u64 = 3_000;

/// Trouble between the instances and the platform's store.
struct Trouble {
    name: &'static str,
    begin: fn(&System),
    /// Time for which it lasts, in milliseconds.
    lasts_ms: u64,
    /// Time from its end to the change, in milliseconds.
    gap_ms: u64,
}

/// What is found after `trouble` began `phase_ms` after the instances had
/// learnt of a configuration, all at once.
fn late(trouble: &Trouble, phase_ms: u64) -> Option<String> {
    let (lasts_ms, gap_ms, begin) = (trouble.lasts_ms, trouble.gap_ms, trouble.begin);
    let versions = runtime::paused(async move {
        let system = System::start(SMALL).await;
        system.configure(1);
        wait(200).await;
        assert_eq!(system.versions(), [1; 4]);
        wait(phase_ms).await;
        begin(&system);
        wait(lasts_ms).await;
        system.configurations.answer();
        wait(gap_ms).await;
        system.configure(2);
        wait(APPLY_MS.max(CALM_MS.saturating_sub(gap_ms))).await;
        system.versions()
    });
    let late = versions != [2; 4];
    late.then(|| {
        let Trouble { name, .. } = trouble;
        format!("{name}, {phase_ms} ms after a change, for {lasts_ms} ms, {gap_ms} ms before the next: {versions:?}")
    })
}

#[test]
fn a_poll_lost_with_the_store_delays_no_configuration() {
    let mut found = Vec::new();
    for lasts_ms in [300, 1_000, 4_200, 9_000] {
        for gap_ms in [0, 700, 1_400, 2_900] {
            let trouble = Trouble {
                name: "store away",
                begin: |system| system.configurations.lose(0..4),
                lasts_ms,
                gap_ms,
            };
            // The second is that of incident 92d6.
            for phase_ms in [200, 5_600, 7_900] {
                found.extend(late(&trouble, phase_ms));
            }
        }
    }
    assert!(found.is_empty(), "{}: {found:#?}", found.len());
}

#[test]
fn a_silent_connection_to_the_store_delays_no_configuration() {
    let trouble = Trouble {
        name: "connections to the store silent",
        begin: |system| system.configurations.silence(),
        lasts_ms: 0,
        gap_ms: CALM_MS,
    };
    let found: Vec<String> = (0..8)
        .filter_map(|it| late(&trouble, 100 + 450 * it))
        .collect();
    assert!(found.is_empty(), "{}: {found:#?}", found.len());
}

/// Trouble that lasts while the configuration changes.
struct Lasting {
    name: &'static str,
    begin: fn(&System),
    /// Instance that learns of the change only once it is thawed.
    frozen: Option<usize>,
}

const LASTING: [Lasting; 6] = [
    Lasting {
        name: "the store answers neither of two that read first",
        begin: |system| system.configurations.lose([0, 1]),
        frozen: None,
    },
    Lasting {
        name: "the first in line sees an old view",
        begin: |system| system.configurations.stand_still(0),
        frozen: None,
    },
    Lasting {
        name: "all but the last see an old view",
        begin: |system| (0..3).for_each(|it| system.configurations.stand_still(it)),
        frozen: None,
    },
    Lasting {
        name: "a domain is cut off from the other",
        begin: |system| system.cut("domain-1", true),
        frozen: None,
    },
    Lasting {
        name: "the first in line is frozen",
        begin: |system| system.freeze(0),
        frozen: Some(0),
    },
    Lasting {
        name: "the store answers only the last, and one's connection to it is silent",
        begin: |system| {
            system.configurations.lose(0..3);
            let address = |number: usize| system.instances[number].address;
            system.mesh.silence(address(0), address(3));
        },
        frozen: None,
    },
];

#[test]
fn a_configuration_takes_another_way_where_one_is_blocked() {
    for lasting in LASTING {
        let Lasting {
            name,
            begin,
            frozen,
        } = lasting;
        for phase_ms in [0, 350, 900, 3_100] {
            runtime::paused(async move {
                let system = System::start(SMALL).await;
                system.configure(1);
                wait(200 + phase_ms).await;
                begin(&system);
                wait(CALM_MS).await;
                system.configure(2);
                wait(APPLY_MS).await;
                let due = system.versions().into_iter().enumerate();
                let late: Vec<_> = due.filter(|it| frozen != Some(it.0) && it.1 != 2).collect();
                assert!(late.is_empty(), "{name}, {phase_ms}: {late:?}");
                if let Some(frozen) = frozen {
                    system.thaw(frozen);
                    wait(APPLY_MS).await;
                    assert_eq!(system.versions(), [2; 4], "{name}, {phase_ms}");
                }
            });
        }
    }
}

#[test]
fn a_table_that_shows_a_dropped_history_is_read_anew() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        system.configure(1);
        wait(400).await;
        system.configure(2);
        system.configurations.compact();
        wait(APPLY_MS).await;
        assert_eq!(system.versions(), [2; 4]);
    });
}

/// Most calls a second for the configuration: the share of the store's calls that
/// a deployment may make, ten, that is left beside the list of targets.
const MAX_CALLS_PER_S: u64 = 3;

#[test]
fn calm_configurations_are_read_by_one_instance() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        system.configure(1);
        wait(1_000).await;
        let (before, since) = (system.configurations.calls(), clock::now());
        wait(20_000).await;
        let calls = u64::from(system.configurations.calls() - before);
        let seconds = (clock::now() - since).as_secs();
        assert!(
            calls <= MAX_CALLS_PER_S * seconds,
            "{calls} calls in {seconds} s"
        );
        println!("{calls} calls in {seconds} s");
    });
}

/// Most calls a second of one instance whose calls prove nothing: one for each
/// wait of the first in line, and one more.
const MAX_VAIN_CALLS_PER_S: u64 = 3;

#[test]
fn calls_that_prove_nothing_are_made_at_a_slow_pace() {
    struct Vain {
        name: &'static str,
        begin: fn(&System),
    }
    const VAIN: [Vain; 2] = [
        Vain {
            name: "a table that stands still",
            begin: |system| (0..4).for_each(|it| system.configurations.stand_still(it)),
        },
        Vain {
            name: "a configuration that can't be read",
            begin: |system| system.configurations.put("config", "no version".into()),
        },
    ];
    for Vain { name, begin } in VAIN {
        runtime::paused(async move {
            let system = System::start(SMALL).await;
            system.configure(1);
            wait(1_000).await;
            begin(&system);
            let before = system.configurations.calls();
            wait(20_000).await;
            let calls = u64::from(system.configurations.calls() - before);
            assert!(calls <= 4 * 20 * MAX_VAIN_CALLS_PER_S, "{name}: {calls}");
        });
    }
}

#[test]
fn a_poll_lost_with_the_store_hides_no_instance() {
    runtime::paused(async {
        let system = System::start(SMALL).await;
        system.configure(1);
        wait(3_000).await;
        system.configurations.lose(0..4);
        system.registry.lose(0..4);
        wait(4_200).await;
        system.configurations.answer();
        system.registry.answer();
        wait(CALM_MS).await;
        let address = SocketAddr::from(([127, 0, 0, 1], 7_999));
        system.registry.put("late", ("late".into(), Some(address)));
        wait(APPLY_MS).await;
        for instance in &system.instances {
            let known = instance.node.membership().addresses();
            assert!(known.contains(&address), "{}", instance.address);
        }
    });
}
