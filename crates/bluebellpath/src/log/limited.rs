//! Limit on messages of one cause.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use bluebellpath_runtime::{Instant, clock};
use slog::{Drain, Level, OwnedKVList, Record, RecordStatic, record_static};

/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Most causes that are told apart at once.
const MAX_CAUSES: usize = 1000;

/// Passes the first messages of each cause in a period, then counts the rest
/// and reports the count in the next period.
///
/// A cause is the place in the code that logs.
pub struct Limited<D> {
    drain: D,
    per_second: u32,
    causes: RefCell<HashMap<(&'static str, u32), Cause>>,
}

struct Cause {
    since: Instant,
    passed: u32,
    dropped: u64,
}

impl<D: Drain> Limited<D> {
    /// Lets `per_second` messages of one cause reach `drain`.
    pub fn new(drain: D, per_second: u32) -> Limited<D> {
        Limited {
            drain,
            per_second,
            causes: RefCell::default(),
        }
    }

    /// Whether a message of `cause` passes, and how many were dropped in the
    /// period that has just ended.
    fn count(&self, cause: (&'static str, u32), now: Instant) -> (bool, u64) {
        let mut causes = self.causes.borrow_mut();
        if causes.len() >= MAX_CAUSES {
            causes.retain(|_, it| now - it.since < PERIOD);
        }
        let cause = causes.entry(cause).or_insert(Cause {
            since: now,
            passed: 0,
            dropped: 0,
        });
        let mut reported = 0;
        if now - cause.since >= PERIOD {
            reported = cause.dropped;
            *cause = Cause {
                since: now,
                passed: 0,
                dropped: 0,
            };
        }
        if cause.passed < self.per_second {
            cause.passed += 1;
            return (true, reported);
        }
        cause.dropped += 1;
        (false, reported)
    }
}

impl<D: Drain> Drain for Limited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let (passes, dropped) = self.count((record.file(), record.line()), clock::now());
        if dropped > 0 {
            static STATIC: RecordStatic<'static> = record_static!(Level::Warning, "");
            let pairs = slog::b!("dropped" => dropped, "cause" => record.msg().to_string());
            let text = format_args!("messages dropped");
            self.drain
                .log(&Record::new(&STATIC, &text, pairs), values)?;
        }
        if passes {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
