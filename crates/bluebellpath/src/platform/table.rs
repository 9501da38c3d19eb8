//! Transactional table.

use bluebellpath_runtime::LocalFuture;
use serde::{Deserialize, Serialize};

use super::Error;

/// Stored value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version, which grows with each write of the row.
    pub version: u64,
    /// Value.
    #[serde(with = "super::bytes")]
    pub value: Vec<u8>,
}

/// Row with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the row.
    pub key: String,
    /// Row under the key.
    pub row: Row,
}

/// Condition on the current state of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// No row under the key.
    Absent,
    /// Row with this version.
    Version(u64),
    /// Any state.
    Any,
}

/// One conditional write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Condition; if it fails, the whole transaction fails.
    pub expect: Expect,
    /// New value, or `None` to delete the row, or to only check it.
    #[serde(with = "super::bytes::option")]
    pub value: Option<Vec<u8>>,
}

/// Condition that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Index of the write in the transaction.
    pub index: usize,
    /// Current row, if there is one.
    pub row: Option<Row>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// All writes took effect; the new version of each row that was written.
    Done(Vec<u64>),
    /// No write took effect.
    Conflict(Vec<Conflict>),
}

/// Client of the table. Each call is one attempt.
pub trait Table {
    /// Reads the rows under `keys`, in their order.
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalFuture<'a, Result<Vec<Option<Row>>, Error>>;

    /// Reads up to `limit` rows with keys that begin with `prefix` and follow
    /// `after`, in the order of their keys.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<Item>, Error>>;

    /// Applies all of `writes` or none; a conflict lists every condition that
    /// failed, with the current row.
    fn commit<'a>(&'a self, writes: &'a [Write]) -> LocalFuture<'a, Result<Commit, Error>>;
}
