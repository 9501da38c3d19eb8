//! Configurations come into force in time, whatever becomes of calls.

use bluebellpath_runtime::runtime;

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
