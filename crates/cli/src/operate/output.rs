//! Tables for people, JSON for programs.

use bluebellpath::{admin::Changed, config::Change};
use serde::Serialize;

use super::error::Error;

/// Tables for people, JSON for programs.
pub struct Output {
    json: bool,
}

impl Output {
    /// Output as JSON, or as tables.
    pub fn new(json: bool) -> Output {
        Output { json }
    }

    /// Prints `value` as JSON, or as what `table` makes of it.
    pub fn print<T: Serialize>(&self, value: &T, table: impl FnOnce(&T) -> Vec<Vec<String>>) {
        if self.json {
            println!("{}", json(value));
        } else {
            print_table(&table(value));
        }
    }

    /// Prints `value` as JSON, whatever was asked for.
    pub fn document(&self, value: &impl Serialize) {
        println!("{}", json(value));
    }

    /// Prints what an accepted change did.
    pub fn changed(&self, changed: &Changed, operation: &str) {
        if self.json {
            println!("{}", json(changed));
            return;
        }
        for change in &changed.changes {
            println!("{}", line(change));
        }
        match changed.effective_ms {
            Some(effective_ms) => println!(
                "accepted as version {}, in force everywhere at {effective_ms} ms \
                 (operation {operation})",
                changed.version
            ),
            None => println!("would be accepted as version {}", changed.version),
        }
    }

    /// Prints why a command failed.
    pub fn error(&self, error: &Error) {
        if let (true, Error::Problem { problem }) = (self.json, error) {
            println!("{}", json(problem));
            return;
        }
        eprintln!("bluebellpath: {error}");
        let Error::Problem { problem } = error else {
            return;
        };
        for fault in &problem.faults {
            eprintln!("  {fault}");
        }
        for accepted in &problem.since {
            let (version, author, reason) = (accepted.version, &accepted.author, &accepted.reason);
            eprintln!("  version {version} by {author}: {reason}");
            for change in &accepted.changes {
                eprintln!("    {}", line(change));
            }
        }
        if let Some(operation) = &problem.operation {
            eprintln!("  ask with: bluebellpath config operation {operation}");
        }
    }
}

/// One change on one line.
pub fn line(change: &Change) -> String {
    serde_json::to_string(change).unwrap_or_default()
}

/// Text of an optional value.
pub fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".to_owned(), |it| it.to_string())
}

/// Row of a table.
pub fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn print_table(rows: &[Vec<String>]) {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|it| it[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
