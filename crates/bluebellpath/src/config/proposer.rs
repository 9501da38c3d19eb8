/*!
Changes the configuration.

Two writes make a revision: the first proposes it, the second sets its effective
time (see the design note on configuration). The response to either may be lost.
Each operation id has a row of its own, which tells whether the operation made a
revision.
*/

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{Change, Document, HeadRow, LocalConfig, Operation, Refusal, Revision, Store};
use crate::platform::{Commit, Error, Fault, Step, Table};

/// Maximum attempts to get an operation accepted.
const MAX_ATTEMPTS: u32 = 8;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum revisions returned with [`Refusal::Lost`].
const MAX_REVISIONS_SHOWN: usize = 20;

/// Gets change requests of operators accepted.
#[derive(Clone)]
pub struct Proposer {
    store: Store,
    local: Rc<LocalConfig>,
}

impl Proposer {
    /// Creates a proposer that appends accepted revisions to `local`.
    pub fn new(table: Rc<dyn Table>, local: Rc<LocalConfig>) -> Proposer {
        Proposer {
            store: Store::new(table),
            local,
        }
    }

    /// Access to the rows of the configuration.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the document that the operation would produce, without writing it.
    pub async fn dry_run(&self, operation: &Operation) -> Result<Document, Refusal> {
        let (head_row, _) = self.read_head(operation).await.map_err(unavailable)?;
        self.prepare(operation, &head_row).await
    }

    /// Applies the operation. Repeated calls with the same id apply it once.
    pub async fn propose(&self, operation: &Operation) -> Result<Revision, Refusal> {
        let mut last_error = None;
        // True once an attempt may have had an effect.
        let mut uncertain = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(operation).await {
                Ok(revision) => {
                    self.local.append(std::slice::from_ref(&revision));
                    return Ok(revision);
                }
                Err(AttemptError::Refused(refusal)) => return Err(*refusal),
                Err(AttemptError::NoEffect(error)) => last_error = Some(error),
                Err(AttemptError::Uncertain(error)) => {
                    last_error = Some(error);
                    uncertain = true;
                }
                // Another write of the head won; the next attempt reads it.
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

    /// Makes one attempt.
    async fn attempt(&self, operation: &Operation) -> Result<Revision, AttemptError> {
        let (head_row, made_version) = self
            .read_head(operation)
            .await
            .map_err(AttemptError::NoEffect)?;
        if let Some(version) = made_version {
            let revision = self.ensure_effective_time(&head_row, version).await?;
            return check_same_changes(operation, revision);
        }
        if head_row.head.effective_ms.is_none() {
            // Another proposal has no effective time yet. Setting it lets both
            // operations proceed; the next attempt reads the result.
            drop(
                self.ensure_effective_time(&head_row, head_row.head.version)
                    .await,
            );
            return Err(AttemptError::Conflict);
        }
        // A refusal is final even if an earlier attempt is still in flight: the
        // head has changed, so the compare-and-set of that attempt must fail.
        let document = match self.prepare(operation, &head_row).await {
            Err(Refusal::Unavailable { error }) => return Err(AttemptError::NoEffect(error)),
            other => other.map_err(|it| AttemptError::Refused(Box::new(it)))?,
        };
        let revision = Revision {
            version: head_row.head.version + 1,
            operation: operation.id.clone(),
            author: operation.author.clone(),
            reason: operation.reason.clone(),
            effective_ms: None,
            digest: document.digest(),
            changes: operation.changes.clone(),
        };
        let commit = self.store.propose(&head_row, &revision, &document).await;
        match commit.map_err(write_error)? {
            Commit::Done(rows) => {
                let row_version = rows.first().copied().unwrap_or_default();
                let head_row = proposed_head(&head_row, &revision, row_version);
                self.schedule(&head_row, &revision).await
            }
            Commit::Conflict(_) => Err(AttemptError::Conflict),
        }
    }

    async fn read_head(&self, operation: &Operation) -> Result<(HeadRow, Option<u64>), Error> {
        let (head_row, made_version) = self.store.operation(&operation.id).await?;
        let head_row = head_row.ok_or_else(|| malformed("the table holds no configuration"))?;
        Ok((head_row, made_version))
    }

    /// Returns the changed document, or why the operation is refused.
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
            .ok_or_else(|| unavailable(malformed("the history has a gap")))?;
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

    /// Returns the revision of `version`, after setting its effective time if it
    /// has none.
    async fn ensure_effective_time(
        &self,
        head_row: &HeadRow,
        version: u64,
    ) -> Result<Revision, AttemptError> {
        let change = self
            .store
            .change(version)
            .await
            .map_err(AttemptError::Uncertain)?;
        let change =
            change.ok_or_else(|| AttemptError::Uncertain(malformed("the history has a gap")))?;
        match change.effective_ms {
            Some(_) => Ok(change),
            None if head_row.head.version == version => self.schedule(head_row, &change).await,
            None => Err(AttemptError::Uncertain(malformed(
                "the head changed while the change was read",
            ))),
        }
    }

    /// Sets the effective time of the proposed revision.
    async fn schedule(
        &self,
        head_row: &HeadRow,
        revision: &Revision,
    ) -> Result<Revision, AttemptError> {
        // The clock must be read after the proposal was written, never before.
        let effective_ms = clock::wall() + self.local.timing().activation_delay_ms();
        let result = self
            .store
            .set_effective_time(head_row, revision, effective_ms)
            .await;
        match result.map_err(AttemptError::Uncertain)? {
            (Commit::Done(_), revision) => Ok(revision),
            // Another instance set the effective time; the next attempt reads it.
            (Commit::Conflict(_), _) => Err(AttemptError::Uncertain(malformed(
                "another instance set the effective time",
            ))),
        }
    }
}

/// Why an attempt did not yield an accepted revision.
enum AttemptError {
    /// The operation is refused; a retry can't succeed.
    Refused(Box<Refusal>),
    /// This attempt certainly had no effect.
    NoEffect(Error),
    /// This attempt may have had an effect.
    Uncertain(Error),
    /// Another write changed the head first.
    Conflict,
}

/// Returns the earlier result of a repeated operation, or an error if its id was
/// used for other changes.
fn check_same_changes(operation: &Operation, revision: Revision) -> Result<Revision, AttemptError> {
    if revision.changes == operation.changes {
        return Ok(revision);
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

fn proposed_head(before: &HeadRow, revision: &Revision, row_version: u64) -> HeadRow {
    let mut head = before.head.clone();
    head.floor_ms = head.effective_ms.unwrap_or(head.floor_ms);
    head.version = revision.version;
    head.operation.clone_from(&revision.operation);
    head.effective_ms = None;
    head.digest.clone_from(&revision.digest);
    if revision
        .version
        .is_multiple_of(super::store::SNAPSHOT_INTERVAL)
    {
        head.snapshot = revision.version;
    }
    HeadRow { head, row_version }
}

fn malformed(detail: &str) -> Error {
    Error {
        step: Step::Read,
        peer: "configuration".to_owned(),
        fault: Fault::Malformed,
        detail: detail.to_owned(),
    }
}

fn contention_error() -> Error {
    malformed("other operators changed the configuration during every attempt")
}
