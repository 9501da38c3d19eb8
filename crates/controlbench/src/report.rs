//! Tables of measurements.

use crate::{fit::Fit, run::Row};

/// Control bytes that an instance may spend in a second.
const MAX_BYTES: f64 = 3_000.0;

/// Share of a core that control may take, in percent.
const MAX_CORE_PERCENT: f64 = 2.1;

/// Memory that control may take, in KiB.
const MAX_MEMORY_KIB: f64 = 128.0 * 1_024.0;

/// Largest share of a quadratic term in the cost at the largest size.
const MAX_QUADRATIC_SHARE: f64 = 0.1;

/// Prints the names of the columns.
pub fn head() {
    println!("of one entry instance, per second where it applies:");
    println!(
        "{:>7} {:>7} {:>7} {:>9} {:>12} {:>8} {:>14} {:>8} {:>7}",
        "entries",
        "domains",
        "targets",
        "datagrams",
        "gossip bytes",
        "requests",
        "platform bytes",
        "% core",
        "KiB"
    );
}

/// Prints one measurement.
pub fn row(row: &Row) {
    println!(
        "{:>7} {:>7} {:>7} {:>9.1} {:>12.0} {:>8.2} {:>14.0} {:>8.3} {:>7.0}",
        row.size.entries,
        row.size.domains,
        row.size.targets,
        row.datagrams,
        row.gossip_bytes,
        row.requests,
        row.platform_bytes,
        row.core_percent,
        row.memory_kib
    );
}

/// Prints slopes by entries and by targets.
pub fn fits(rows: &[Row]) {
    for (unit, points) in series(rows) {
        for (name, value) in COSTS {
            let fit = fit(unit, points, value);
            println!(
                "{name} by {unit} ({}): {:.3} + {:.3e} n + {:.3e} n^2, quadratic share {:.1}%",
                fixed(unit, points[0]),
                fit.constant,
                fit.linear,
                fit.quadratic,
                fit.quadratic_share(size(unit, points[2])) * 100.0
            );
        }
    }
}

/// True when every row keeps to the limits and no cost grows with a square.
pub fn within(rows: &[Row]) -> bool {
    let kept = rows.iter().all(|it| {
        it.bytes() <= MAX_BYTES
            && it.core_percent <= MAX_CORE_PERCENT
            && it.memory_kib <= MAX_MEMORY_KIB
    });
    let flat = series(rows).iter().all(|(unit, points)| {
        COSTS.iter().all(|(_, value)| {
            let share = fit(unit, *points, *value).quadratic_share(size(unit, points[2]));
            share <= MAX_QUADRATIC_SHARE
        })
    });
    println!("limits kept: {kept}; no quadratic term: {flat}");
    kept && flat
}

type Cost = fn(&Row) -> f64;

const COSTS: [(&str, Cost); 3] = [
    ("bytes/s", Row::bytes),
    ("% core", |it| it.core_percent),
    ("KiB", |it| it.memory_kib),
];

/// Rows that differ only in the entries, then rows that differ only in the
/// targets.
fn series(rows: &[Row]) -> Vec<(&'static str, [&Row; 3])> {
    let by_entries = rows
        .chunks_exact(3)
        .map(|it| ("entries", [&it[0], &it[1], &it[2]]));
    let by_targets = (0..3).filter_map(|it| {
        let points = [rows.get(it)?, rows.get(it + 3)?, rows.get(it + 6)?];
        Some(("targets", points))
    });
    by_entries.chain(by_targets).collect()
}

fn fit(unit: &str, points: [&Row; 3], value: Cost) -> Fit {
    Fit::through(points.map(|it| (size(unit, it), value(it))))
}

fn size(unit: &str, row: &Row) -> f64 {
    match unit {
        "entries" => f64::from(row.size.entries),
        _ => f64::from(row.size.targets),
    }
}

fn fixed(unit: &str, row: &Row) -> String {
    match unit {
        "entries" => format!("{} targets", row.size.targets),
        _ => format!("{} entries", row.size.entries),
    }
}
