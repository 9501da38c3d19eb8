//! Cost of one decision, over the number of targets and teams.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bluebellpath_bench::steady::Steady;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Targets and teams.
const SIZES: [(u32, u32); 4] = [(12, 30), (50, 100), (200, 400), (500, 750)];

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for (targets, teams) in SIZES {
        let mut steady = Steady::new(targets, teams);
        let id = BenchmarkId::new(format!("{teams} teams"), targets);
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|count| time(&mut steady, count));
        });
    }
    group.finish();
}

/// Time of `count` decisions without what lies between them.
fn time(steady: &mut Steady, count: u64) -> Duration {
    let mut total = Duration::ZERO;
    for _ in 0..count {
        steady.advance();
        let began = Instant::now();
        let assignment = black_box(steady.decide());
        total += began.elapsed();
        steady.started(assignment);
    }
    total
}

fn whole(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("submission, decision and report");
    for (targets, teams) in SIZES {
        let mut steady = Steady::new(targets, teams);
        let id = BenchmarkId::new(format!("{teams} teams"), targets);
        group.bench_function(id, |bencher| bencher.iter(|| black_box(steady.step())));
    }
    group.finish();
}

criterion_group!(benches, decision, whole);
criterion_main!(benches);
