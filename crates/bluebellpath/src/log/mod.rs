//! Logs as JSON lines.

use std::io::Write;

use slog::{Drain, FnValue, Logger, o};

use crate::job::Incarnation;

/// Logger of the instance `name` that writes to `output`.
pub fn json(output: impl Write + Send + 'static, name: &str, incarnation: Incarnation) -> Logger {
    let drain = slog_json::Json::new(output)
        .add_default_keys()
        .build()
        .fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
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
