//! A seed plays the same session each time.

use bluebellpath_sessions::{Case, session};

/// Seeds that are played twice.
const SEEDS: u64 = 40;

#[test]
fn a_seed_plays_the_same_session_each_time() {
    for seed in 0..SEEDS {
        let case = Case::of(seed);
        assert_eq!(session::run(case), session::run(case), "{case}");
    }
}

#[test]
fn a_round_of_the_table_holds_each_pair_once() {
    let mut cases: Vec<_> = (0..Case::TABLE)
        .map(Case::of)
        .map(|it| (it.first, it.second))
        .collect();
    cases.sort();
    cases.dedup();
    assert_eq!(cases.len() as u64, Case::TABLE);
}
