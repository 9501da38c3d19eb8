/*!
Logs as JSON lines.

Each line holds the instance and its incarnation, and the job and the peer
where they apply. [`Limited`] keeps one cause that repeats from filling the log.
*/

mod limited;

pub use limited::Limited;

use std::io::Write;

use slog::{Drain, FnValue, Level, Logger, o};

use crate::job::Incarnation;

/// Messages of one cause in a second, where nothing else is chosen.
pub const PER_SECOND: u32 = 10;

/// Logger of the instance `name` that writes messages from `level` on to
/// `output`, at most `per_second` of one cause in a second.
pub fn json(
    output: impl Write + Send + 'static,
    name: &str,
    incarnation: Incarnation,
    level: Level,
    per_second: u32,
) -> Logger {
    let drain = slog_json::Json::new(output)
        .add_default_keys()
        .build()
        .fuse();
    let drain = Limited::new(drain.fuse(), per_second).filter_level(level);
    let drain = slog_async::Async::new(drain.fuse()).build().fuse();
    let incarnation = incarnation.to_string();
    let module = FnValue(|record| record.module());
    Logger::root(
        drain,
        o!("instance" => name.to_owned(), "incarnation" => incarnation, "module" => module),
    )
}

/// Logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
