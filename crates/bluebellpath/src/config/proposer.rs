/*!
Changes the configuration.

Two writes make a change, as the design note on configuration tells: one
proposes it, one gives it the time at which it takes effect. Either may have its
answer lost; the operation id, which stands in a row_version of its own, tells what
became of it.
*/

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{Change, Document, HeadRow, LocalConfig, Operation, Refusal, Revision, Store};
use crate::platform::{Commit, Error, Fault, Step, Table};

/// Tries for each of the two writes.
const MAX_ATTEMPTS: u32 = 8;

/// Pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Most changes of others that the loser of a race is shown.
const MAX_REVISIONS_SHOWN: usize = 20;

/// Changes the configuration.
#[derive(Clone)]
pub struct Proposer {
    store: Store,
    local: Rc<LocalConfig>,
}

impl Proposer {
    /// Proposer that tells `current` of what it gets accepted.
    pub fn new(table: Rc<dyn Table>, local: Rc<LocalConfig>) -> Proposer {
        Proposer {
            store: Store::new(table),
            local,
        }
    }

    /// Rows in the table.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Document that the operation would make, without making it.
    pub async fn dry_run(&self, operation: &Operation) -> Result<Document, Refusal> {
        let (head_row, _) = self.read_head(operation).await.map_err(unavailable)?;
        self.prepare(operation, &head_row).await
    }

    /// Makes the operation's changes, once however often it is asked for.
    pub async fn propose(&self, operation: &Operation) -> Result<Revision, Refusal> {
        let mut last_error = None;
        // True once an attempt may have taken effect.
        let mut uncertain = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(operation).await {
                Ok(accepted) => {
                    self.local.append(std::slice::from_ref(&accepted));
                    return Ok(accepted);
                }
                Err(AttemptError::Refused(refusal)) => return Err(*refusal),
                Err(AttemptError::NoEffect(error)) => last_error = Some(error),
                Err(AttemptError::Uncertain(error)) => {
                    last_error = Some(error);
                    uncertain = true;
                }
                // Lost a race for the head: look who won.
                Err(AttemptError::Conflict) => {}
            }
            clock::sleep(RETRY_DELAY).await;
        }
        let error = last_error.unwrap_or_else(contention_error);
        Err(match uncertain {
            true => Refusal::Unknown {
                operation: operation.id.clone(),
                error,
            },
            false => unavailable(error),
        })
    }

    /// One attempt.
    async fn attempt(&self, operation: &Operation) -> Result<Revision, AttemptError> {
        let (head_row, made_version) = self
            .read_head(operation)
            .await
            .map_err(AttemptError::NoEffect)?;
        if let Some(version) = made_version {
            let accepted = self.ensure_dated(&head_row, version).await?;
            return check_same_changes(operation, accepted);
        }
        if head_row.head.effective_ms.is_none() {
            // Somebody's proposal stands first. Dating it helps both.
            // What became of it shows at the next attempt.
            drop(self.ensure_dated(&head_row, head_row.head.version).await);
            return Err(AttemptError::Conflict);
        }
        // Refused for good even if an earlier attempt is still under way: with
        // the head moved on, that one can't take effect any more.
        let document = match self.prepare(operation, &head_row).await {
            Err(Refusal::Unavailable { error }) => return Err(AttemptError::NoEffect(error)),
            other => other.map_err(|it| AttemptError::Refused(Box::new(it)))?,
        };
        let accepted = Revision {
            version: head_row.head.version + 1,
            operation: operation.id.clone(),
            author: operation.author.clone(),
            reason: operation.reason.clone(),
            effective_ms: None,
            digest: document.digest(),
            changes: operation.changes.clone(),
        };
        let commit = self.store.propose(&head_row, &accepted, &document).await;
        match commit.map_err(write_error)? {
            Commit::Done(rows) => {
                let row_version = rows.first().copied().unwrap_or_default();
                let head_row = proposed_head(&head_row, &accepted, row_version);
                self.set_effective_time(&head_row, &accepted).await
            }
            Commit::Conflict(_) => Err(AttemptError::Conflict),
        }
    }

    async fn read_head(&self, operation: &Operation) -> Result<(HeadRow, Option<u64>), Error> {
        let (head_row, made_version) = self.store.operation(&operation.id).await?;
        let head_row =
            head_row.ok_or_else(|| malformed_error("the table holds no configuration"))?;
        Ok((head_row, made_version))
    }

    /// Changed document, or why the operation can't be accepted.
    async fn prepare(
        &self,
        operation: &Operation,
        head_row: &HeadRow,
    ) -> Result<Document, Refusal> {
        let head = &head_row.head;
        if operation.base != head.version {
            let since = self
                .store
                .history(operation.base, MAX_REVISIONS_SHOWN)
                .await;
            return Err(Refusal::Lost {
                base: operation.base,
                since: since.map_err(unavailable)?,
            });
        }
        let document = self.store.document(head.version).await;
        let before = document
            .map_err(unavailable)?
            .ok_or_else(|| unavailable(malformed_error("the history has a gap")))?;
        let mut after = before.clone();
        operation.changes.iter().for_each(|it| it.apply(&mut after));
        let faults = after.check();
        if !faults.is_empty() {
            return Err(Refusal::Faults { faults });
        }
        if Change::between(&before, &after).is_empty() {
            let version = head.version;
            return Err(Refusal::Unchanged { version });
        }
        Ok(after)
    }

    /// Accepted form of `version`, which is given its effective time if it has
    /// none.
    async fn ensure_dated(
        &self,
        head_row: &HeadRow,
        version: u64,
    ) -> Result<Revision, AttemptError> {
        let change = self
            .store
            .change(version)
            .await
            .map_err(AttemptError::Uncertain)?;
        let change = change
            .ok_or_else(|| AttemptError::Uncertain(malformed_error("the history has a gap")))?;
        match change.effective_ms {
            Some(_) => Ok(change),
            None if head_row.head.version == version => {
                self.set_effective_time(head_row, &change).await
            }
            None => Err(AttemptError::Uncertain(malformed_error(
                "the head has moved meanwhile",
            ))),
        }
    }

    async fn set_effective_time(
        &self,
        head_row: &HeadRow,
        accepted: &Revision,
    ) -> Result<Revision, AttemptError> {
        // Read after the proposal stood in the table, never before.
        let effective_ms = clock::wall() + self.local.timing().activation_delay_ms();
        let dated = self
            .store
            .set_effective_time(head_row, accepted, effective_ms)
            .await;
        match dated.map_err(AttemptError::Uncertain)? {
            (Commit::Done(_), accepted) => Ok(accepted),
            // Somebody else has dated it; the next attempt reads how.
            (Commit::Conflict(_), _) => {
                Err(AttemptError::Uncertain(malformed_error("dated by another")))
            }
        }
    }
}

/// Why an attempt brought no accepted change.
enum AttemptError {
    /// Refused for good.
    Refused(Box<Refusal>),
    /// This attempt certainly had no effect.
    NoEffect(Error),
    /// This attempt may have had an effect.
    Uncertain(Error),
    /// Others wrote meanwhile.
    Conflict,
}

/// Result of an operation that was accepted before, unless its id served for
/// something else.
fn check_same_changes(operation: &Operation, accepted: Revision) -> Result<Revision, AttemptError> {
    if accepted.changes == operation.changes {
        return Ok(accepted);
    }
    let operation = operation.id.clone();
    Err(AttemptError::Refused(Box::new(Refusal::Mismatch {
        operation,
    })))
}

fn write_error(error: Error) -> AttemptError {
    match error.fault {
        Fault::Refused => AttemptError::NoEffect(error),
        Fault::Unknown | Fault::Malformed => AttemptError::Uncertain(error),
    }
}

fn unavailable(error: Error) -> Refusal {
    Refusal::Unavailable { error }
}

fn proposed_head(before: &HeadRow, accepted: &Revision, row_version: u64) -> HeadRow {
    let mut head = before.head.clone();
    head.floor_ms = head.effective_ms.unwrap_or(head.floor_ms);
    head.version = accepted.version;
    head.operation.clone_from(&accepted.operation);
    head.effective_ms = None;
    head.digest.clone_from(&accepted.digest);
    if accepted
        .version
        .is_multiple_of(super::store::SNAPSHOT_INTERVAL)
    {
        head.snapshot = accepted.version;
    }
    HeadRow { head, row_version }
}

fn malformed_error(detail: &str) -> Error {
    Error {
        step: Step::Read,
        peer: "configuration".to_owned(),
        fault: Fault::Malformed,
        detail: detail.to_owned(),
    }
}

fn contention_error() -> Error {
    malformed_error("others changed the configuration all the time")
}
