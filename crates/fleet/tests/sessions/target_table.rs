//! Instances that read the list of targets from the platform's table.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_fleet::table_watch::{Page, Query, ReadError, Table, TargetRow, Watcher};
use bluebellpath_runtime::{Instant, LocalFuture, clock, runtime};
use slog::{Discard, Logger, o};

use crate::system::{JobSpec, Layout, System, sleep_ms, target};

/// Time within which an instance must know that a target leaves.
const DRAIN_MS: u64 = 2_000;

/// Jobs that come from then on, and the time between two.
const JOBS: u64 = 40;
const JOB_GAP_MS: u64 = 200;

const LAYOUT: Layout = Layout {
    domains: 2,
    instances: 1,
    targets: 4,
};

/// Table with many large rows of other writers. Its whole reading takes long, and shows
/// the rows as they were at its beginning.
struct LargeTable {
    reading_time: Duration,
    /// Time since which changes are too large to be read, but for readings that have
    /// begun since.
    flooded_at: Cell<Option<Instant>>,
    /// Time at which the first target drains.
    drains_at: Cell<Option<Instant>>,
    reading_since: Rc<Cell<Option<Instant>>>,
}

impl LargeTable {
    fn rows(&self, at: Instant) -> Vec<TargetRow> {
        let drains = self.drains_at.get().is_some_and(|it| it <= at);
        let numbers = 0..LAYOUT.domains * LAYOUT.targets;
        let targets = numbers.map(|it| target(it, it / LAYOUT.targets));
        let mut rows: Vec<_> = targets.map(|it| (it.id.clone(), Some(it))).collect();
        if let (true, Some(first)) = (drains, &mut rows[0].1) {
            first.draining = true;
        }
        rows
    }
}

fn version(at: Instant) -> u64 {
    1 + at.as_nanos() / 1_000_000
}

impl Table for LargeTable {
    type Row = TargetRow;

    fn name(&self) -> &'static str {
        "targets"
    }

    fn read(
        &self,
        query: Query,
        _: Duration,
    ) -> LocalFuture<'static, Result<Page<TargetRow>, ReadError>> {
        let now = clock::now();
        let page = Page {
            rows: self.rows(now),
            version: version(now),
        };
        let after = match query {
            Query::All => 0,
            Query::Changes { after, .. } => after,
        };
        let flooded_at = self.flooded_at.get();
        if query != Query::All && flooded_at.is_some_and(|it| after < version(it)) {
            let detail = "larger than 4 MiB".to_owned();
            return Box::pin(async { Err(ReadError::TooLarge { detail }) });
        }
        if query != Query::All {
            return Box::pin(async { Ok(page) });
        }
        let reading_since = self.reading_since.clone();
        reading_since.set(Some(now));
        let reading_time = match flooded_at {
            Some(_) => self.reading_time,
            None => Duration::ZERO,
        };
        Box::pin(async move {
            clock::sleep(reading_time).await;
            reading_since.take();
            Ok(page)
        })
    }

    fn reading_version(&self) -> Option<u64> {
        self.reading_since.get().map(version)
    }
}

/// Guards against work for a target that leaves while the whole table is read: its row
/// was not seen before the end of that, nor in the second after it.
#[test]
fn a_target_that_leaves_is_known_while_the_whole_table_is_read() {
    for reading_ms in [0, 500, 2_500, 6_000] {
        for drain_ms in (0..=8_000).step_by(500) {
            runtime::paused(async move {
                let system = System::start(LAYOUT).await;
                // The instance reads this table instead.
                let never = Duration::from_secs(1_000);
                system.target_list.slow_reader.set(Some((0, never)));
                let table = Rc::new(LargeTable {
                    reading_time: Duration::from_millis(reading_ms),
                    flooded_at: Cell::default(),
                    drains_at: Cell::default(),
                    reading_since: Rc::default(),
                });
                let log = Logger::root(Discard, o!());
                Watcher::new(&system.instances[0].node, &log).watch_targets(table.clone());
                sleep_ms(2_000).await;
                table.flooded_at.set(Some(clock::now()));
                sleep_ms(drain_ms).await;
                table.drains_at.set(Some(clock::now()));
                sleep_ms(DRAIN_MS).await;
                let since = clock::now();
                for job in 1..=JOBS {
                    // As many tasks as fit on all targets.
                    let spec = JobSpec {
                        job,
                        tasks: 2 * u16::try_from(LAYOUT.domains * LAYOUT.targets).expect("small"),
                        run_ms: 60,
                        goal_ms: Some(4_000),
                        ..JobSpec::default()
                    };
                    system.submit(0, spec);
                    sleep_ms(JOB_GAP_MS).await;
                }
                let starts = system.targets.starts_in("domain-0");
                assert!(starts.len() > 100, "{} starts", starts.len());
                let drained = target(0, 0).id;
                let late = starts.iter().filter(|it| it.0 >= since && it.1 == drained);
                let case = format!("reading {reading_ms} ms, drain at {drain_ms} ms");
                assert_eq!(late.count(), 0, "starts on a draining target, {case}");
            });
        }
    }
}
