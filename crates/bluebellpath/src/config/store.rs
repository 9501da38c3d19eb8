//! Rows of the configuration in the table.

use std::rc::Rc;

use serde::{Serialize, de::DeserializeOwned};

use super::{Document, Head, HeadRow, Revision, Snapshot};
use crate::platform::{Commit, Error, Expect, Fault, Row, Step, Table, Write};

/// Number of versions between snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 256;

/// Number of revisions requested together with the head.
const READ_AHEAD: u64 = 4;

/// Operation id of the first version.
const INITIAL_OPERATION: &str = "first-start";

const HEAD_KEY: &str = "config/head";
const CHANGE_PREFIX: &str = "config/change/";

/// Access to the rows of the configuration in the table. Each call makes one or
/// two requests.
#[derive(Clone)]
pub struct Store(Rc<dyn Table>);

/// Head with the next few revisions after a known version.
pub struct HeadAndChanges {
    /// Head row; `None` if the table is empty.
    pub head_row: Option<HeadRow>,
    /// Revisions after the known version, ordered by version.
    pub changes: Vec<Revision>,
}

impl Store {
    /// Uses the rows in `table`.
    pub fn new(table: Rc<dyn Table>) -> Store {
        Store(table)
    }

    /// Reads the head and the next few revisions after `known` in one request.
    pub async fn head_and_changes(&self, known: u64) -> Result<HeadAndChanges, Error> {
        let changes = (known + 1..=known + READ_AHEAD).map(change_key);
        let keys: Vec<String> = [HEAD_KEY.to_owned()].into_iter().chain(changes).collect();
        let mut rows = self.0.read(&keys).await?.into_iter();
        let head_row = rows.next().flatten().map(|it| head_row(&it)).transpose()?;
        let changes = rows.map_while(|it| it.map(|it| parse(&it)));
        Ok(HeadAndChanges {
            head_row,
            changes: changes.collect::<Result<_, Error>>()?,
        })
    }

    /// Reads the head, and the version that `operation` made, if any.
    pub async fn operation(
        &self,
        operation: &str,
    ) -> Result<(Option<HeadRow>, Option<u64>), Error> {
        let keys = [HEAD_KEY.to_owned(), operation_key(operation)];
        let mut rows = self.0.read(&keys).await?.into_iter();
        let head_row = rows.next().flatten().map(|it| head_row(&it)).transpose()?;
        let version = rows.next().flatten().map(|it| parse(&it)).transpose()?;
        Ok((head_row, version))
    }

    /// Reads the newest accepted version; 0 if the table is empty.
    pub async fn newest(&self) -> Result<u64, Error> {
        let head_row = self.head_and_changes(0).await?.head_row;
        Ok(head_row.map_or(0, |it| it.accepted_version()))
    }

    /// Reads the revision that made `version`.
    pub async fn change(&self, version: u64) -> Result<Option<Revision>, Error> {
        let mut rows = self.0.read(&[change_key(version)]).await?;
        rows.pop().flatten().map(|it| parse(&it)).transpose()
    }

    /// Reads up to `limit` revisions after version `after`.
    pub async fn history(&self, after: u64, limit: usize) -> Result<Vec<Revision>, Error> {
        let items = self
            .0
            .scan(CHANGE_PREFIX, Some(&change_key(after)), limit)
            .await?;
        items.iter().map(|it| parse(&it.row)).collect()
    }

    /// Reads the snapshot of `version`.
    pub async fn snapshot(&self, version: u64) -> Result<Option<Snapshot>, Error> {
        let mut rows = self.0.read(&[snapshot_key(version)]).await?;
        rows.pop().flatten().map(|it| parse(&it)).transpose()
    }

    /// Reads the newer of the last two snapshots that is in force at `now_ms`, or the
    /// snapshot of version 1. `newest` is the version of the last snapshot.
    pub async fn snapshot_in_force(
        &self,
        newest: u64,
        now_ms: u64,
    ) -> Result<Option<Snapshot>, Error> {
        let before = newest.saturating_sub(SNAPSHOT_INTERVAL).max(1);
        let keys = [newest, before].map(|it| [snapshot_key(it), change_key(it)]);
        let rows = self.0.read(keys.as_flattened()).await?;
        for pair in rows.chunks(2) {
            let [Some(snapshot), Some(revision)] = pair else {
                continue;
            };
            let (snapshot, revision): (Snapshot, Revision) = (parse(snapshot)?, parse(revision)?);
            let effective_ms = revision.effective_ms.unwrap_or(u64::MAX);
            if effective_ms <= now_ms || snapshot.version == 1 {
                return Ok(Some(Snapshot {
                    effective_ms,
                    ..snapshot
                }));
            }
        }
        Ok(None)
    }

    /// Computes the document at `version` from the last snapshot before it.
    pub async fn document(&self, version: u64) -> Result<Option<Document>, Error> {
        let start = (version / SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL).max(1);
        let Some(snapshot) = self.snapshot(start).await? else {
            return Ok(None);
        };
        let changes = self.history(start, (version - start) as usize).await?;
        if changes.len() as u64 != version - start {
            return Ok(None);
        }
        let mut document = (*snapshot.document).clone();
        let all = changes.iter().flat_map(|it| &it.changes);
        all.for_each(|it| it.apply(&mut document));
        Ok(Some(document))
    }

    /// Writes the first version unless one exists.
    pub async fn initialize(&self, document: &Document, now_ms: u64) -> Result<Commit, Error> {
        self.0.commit(&initial_writes(document, now_ms)).await
    }

    /// Writes `revision`, which has no effective time, and moves the head to it by
    /// compare-and-set.
    pub async fn propose(
        &self,
        head_row: &HeadRow,
        revision: &Revision,
        document: &Document,
    ) -> Result<Commit, Error> {
        let before = &head_row.head;
        let has_snapshot = revision.version.is_multiple_of(SNAPSHOT_INTERVAL);
        let head = Head {
            version: revision.version,
            operation: revision.operation.clone(),
            effective_ms: None,
            floor_ms: before.effective_ms.unwrap_or(before.floor_ms),
            digest: revision.digest.clone(),
            snapshot: if has_snapshot {
                revision.version
            } else {
                before.snapshot
            },
        };
        let operation = operation_key(&revision.operation);
        let mut writes = vec![
            write(
                HEAD_KEY.to_owned(),
                Expect::Version(head_row.row_version),
                &head,
            ),
            write(change_key(revision.version), Expect::Absent, revision),
            write(operation, Expect::Absent, &revision.version),
        ];
        if has_snapshot {
            let value = Snapshot {
                version: revision.version,
                // Readers take the time from the row of the revision instead.
                effective_ms: u64::MAX,
                document: Rc::new(document.clone()),
            };
            writes.push(write(snapshot_key(revision.version), Expect::Any, &value));
        }
        self.0.commit(&writes).await
    }

    /// Sets the effective time of the proposed revision, which is returned with it.
    pub async fn set_effective_time(
        &self,
        head_row: &HeadRow,
        revision: &Revision,
        effective_ms: u64,
    ) -> Result<(Commit, Revision), Error> {
        let effective_ms = Some(effective_ms.max(head_row.head.floor_ms));
        let head = Head {
            effective_ms,
            ..head_row.head.clone()
        };
        let revision = Revision {
            effective_ms,
            ..revision.clone()
        };
        let writes = [
            write(
                HEAD_KEY.to_owned(),
                Expect::Version(head_row.row_version),
                &head,
            ),
            write(change_key(revision.version), Expect::Any, &revision),
        ];
        Ok((self.0.commit(&writes).await?, revision))
    }
}

/// Writes of the first version. It is in force at once, as no earlier version
/// exists.
pub fn initial_writes(document: &Document, now_ms: u64) -> Vec<Write> {
    let digest = document.digest();
    let head = Head {
        version: 1,
        operation: INITIAL_OPERATION.to_owned(),
        effective_ms: Some(now_ms),
        floor_ms: now_ms,
        digest: digest.clone(),
        snapshot: 1,
    };
    let revision = Revision {
        version: 1,
        operation: INITIAL_OPERATION.to_owned(),
        author: "bluebellpath".to_owned(),
        reason: "first start on an empty table".to_owned(),
        effective_ms: Some(now_ms),
        digest,
        changes: Vec::new(),
    };
    let snapshot = Snapshot {
        version: 1,
        effective_ms: now_ms,
        document: Rc::new(document.clone()),
    };
    vec![
        write(HEAD_KEY.to_owned(), Expect::Absent, &head),
        write(change_key(1), Expect::Absent, &revision),
        write(operation_key(INITIAL_OPERATION), Expect::Absent, &1u64),
        write(snapshot_key(1), Expect::Absent, &snapshot),
    ]
}

fn change_key(version: u64) -> String {
    format!("{CHANGE_PREFIX}{version:012}")
}

fn operation_key(operation: &str) -> String {
    format!("config/operation/{operation}")
}

fn snapshot_key(version: u64) -> String {
    format!("config/snapshot/{version:012}")
}

fn write(key: String, expect: Expect, value: &impl Serialize) -> Write {
    let value = serde_json::to_vec(value).unwrap_or_default();
    Write {
        key,
        expect,
        value: Some(value),
    }
}

fn head_row(row: &Row) -> Result<HeadRow, Error> {
    Ok(HeadRow {
        head: parse(row)?,
        row_version: row.version,
    })
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_slice(&row.value).map_err(|error| Error {
        step: Step::Read,
        peer: "configuration".to_owned(),
        fault: Fault::Malformed,
        detail: error.to_string(),
    })
}
