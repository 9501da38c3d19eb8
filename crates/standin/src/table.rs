//! Transactional table in memory.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bluebellpath::platform::{self, Commit, Conflict, Error, Expect, Item, Row, Step, Write};
use bluebellpath_runtime::{LocalFuture, Scope};

use crate::Faults;

#[derive(Default)]
struct Inner {
    rows: RefCell<BTreeMap<String, Row>>,
    reads: RefCell<BTreeMap<String, u64>>,
    faults: Faults,
}

impl Inner {
    fn count(&self, keys: &[String]) {
        let mut reads = self.reads.borrow_mut();
        for key in keys {
            *reads.entry(key.clone()).or_default() += 1;
        }
    }
}

/// Transactional table in memory; clones share their rows.
#[derive(Clone, Default)]
pub struct Table(Rc<Inner>);

impl Table {
    /// Empty table.
    pub fn new() -> Table {
        Table::default()
    }

    /// Faults of this table.
    pub fn faults(&self) -> &Faults {
        &self.0.faults
    }

    /// Rows at present.
    pub fn len(&self) -> usize {
        self.0.rows.borrow().len()
    }

    /// Row under `key`, at once and without faults.
    pub fn get(&self, key: &str) -> Option<Row> {
        self.0.rows.borrow().get(key).cloned()
    }

    /// Readings of the row under `key` so far.
    pub fn reads(&self, key: &str) -> u64 {
        self.0.reads.borrow().get(key).copied().unwrap_or(0)
    }

    /// All rows, for [`Table::restore`].
    pub fn save(&self) -> BTreeMap<String, Row> {
        self.0.rows.borrow().clone()
    }

    /// Puts back what [`Table::save`] gave, which no platform may do: for tests
    /// that prove a checker.
    pub fn restore(&self, rows: BTreeMap<String, Row>) {
        *self.0.rows.borrow_mut() = rows;
    }

    /// True without rows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Makes all of `writes` or none, at once and without faults.
    pub fn apply(&self, writes: &[Write]) -> Commit {
        let mut rows = self.0.rows.borrow_mut();
        let conflicts: Vec<Conflict> = writes
            .iter()
            .enumerate()
            .filter(|(_, it)| !holds(it.expect, rows.get(&it.key)))
            .map(|(index, it)| Conflict {
                index,
                row: rows.get(&it.key).cloned(),
            })
            .collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        let versions = writes.iter().map(|it| apply(&mut rows, it)).collect();
        Commit::Done(versions)
    }
}

fn holds(expect: Expect, row: Option<&Row>) -> bool {
    match expect {
        Expect::Any => true,
        Expect::Absent => row.is_none(),
        Expect::Version(version) => row.is_some_and(|it| it.version == version),
    }
}

fn apply(rows: &mut BTreeMap<String, Row>, write: &Write) -> u64 {
    let version = rows.get(&write.key).map_or(0, |it| it.version) + 1;
    match &write.value {
        Some(value) => {
            rows.insert(
                write.key.clone(),
                Row {
                    version,
                    value: value.clone(),
                },
            );
        }
        None => {
            rows.remove(&write.key);
        }
    }
    version
}

impl platform::Table for Table {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalFuture<'a, Result<Vec<Option<Row>>, Error>> {
        Box::pin(async move {
            self.0.count(keys);
            self.0.faults.enter(Step::Read).await?;
            let rows = keys
                .iter()
                .map(|it| self.0.rows.borrow().get(it).cloned())
                .collect();
            self.0.faults.leave(Step::Read, rows).await
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<Item>, Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::Scan).await?;
            let items = {
                let rows = self.0.rows.borrow();
                let found = rows
                    .range(prefix.to_owned()..)
                    .take_while(|it| it.0.starts_with(prefix));
                found
                    .filter(|it| after.is_none_or(|after| it.0.as_str() > after))
                    .take(limit)
                    .map(|(key, row)| Item {
                        key: key.clone(),
                        row: row.clone(),
                    })
                    .collect()
            };
            self.0.faults.leave(Step::Scan, items).await
        })
    }

    fn commit<'a>(&'a self, writes: &'a [Write]) -> LocalFuture<'a, Result<Commit, Error>> {
        let (table, writes) = (self.clone(), writes.to_vec());
        Box::pin(async move {
            // A request on its way takes effect whether or not its client still
            // waits for the answer.
            let request = Scope::new().spawn(async move {
                table.0.faults.enter(Step::Commit).await?;
                let commit = table.apply(&writes);
                table.0.faults.leave(Step::Commit, commit).await
            });
            match request.await {
                Some(result) => result,
                None => std::future::pending().await,
            }
        })
    }
}
