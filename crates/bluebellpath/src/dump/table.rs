//! Table of a dump.

use serde::{Deserialize, Serialize};

/// Table of a dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table<T> {
    /// Rows that there are.
    pub total: usize,
    /// Rows that are shown.
    pub rows: Vec<T>,
}

impl<T> Table<T> {
    /// Table of `total` rows that shows the first `limit` of `rows`.
    pub fn new(total: usize, rows: impl Iterator<Item = T>, limit: usize) -> Table<T> {
        Table {
            total,
            rows: rows.take(limit).collect(),
        }
    }
}
