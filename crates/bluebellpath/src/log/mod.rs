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

/// Logger of the instance `name` that writes messages from `level` on to
/// `output`.
pub fn json(
    output: impl Write + Send + 'static,
    name: &str,
    incarnation: Incarnation,
    level: Level,
) -> Logger {
    let drain = slog_json::Json::new(output)
        .add_default_keys()
        .build()
        .fuse();
    let drain = Limited::new(drain.filter_level(level).fuse());
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
