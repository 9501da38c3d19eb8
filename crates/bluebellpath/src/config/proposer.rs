/*!
Changes the configuration.

Two writes make a change, as the design note on configuration tells: one
proposes it, one gives it the time at which it takes effect. Either may have its
answer lost; the operation id, which stands in a row of its own, tells what
became of it.
*/

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{Change, Document, LocalConfig, Operation, Reading, Refusal, Revision, Store};
use crate::platform::{Commit, Error, Fault, Step, Table};

/// Tries for each of the two writes.
const TRIES: u32 = 8;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Most changes of others that the loser of a race is shown.
const MAX_SINCE: usize = 20;

/// Changes the configuration.
#[derive(Clone)]
pub struct Proposer {
    store: Store,
    current: Rc<LocalConfig>,
}

impl Proposer {
    /// Proposer that tells `current` of what it gets accepted.
    pub fn new(table: Rc<dyn Table>, current: Rc<LocalConfig>) -> Proposer {
        Proposer {
            store: Store::new(table),
            current,
        }
    }

    /// Rows in the table.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Document that the operation would make, without making it.
    pub async fn dry_run(&self, operation: &Operation) -> Result<Document, Refusal> {
        let (reading, _) = self.look(operation).await.map_err(unavailable)?;
        self.prepare(operation, &reading).await
    }

    /// Makes the operation's changes, once however often it is asked for.
    pub async fn propose(&self, operation: &Operation) -> Result<Revision, Refusal> {
        let mut failed = None;
        // True once an attempt may have taken effect.
        let mut open = false;
        for _ in 0..TRIES {
            match self.attempt(operation).await {
                Ok(accepted) => {
                    self.current.learn(std::slice::from_ref(&accepted));
                    return Ok(accepted);
                }
                Err(Attempt::Refused(refusal)) => return Err(*refusal),
                Err(Attempt::Certain(error)) => failed = Some(error),
                Err(Attempt::Open(error)) => {
                    failed = Some(error);
                    open = true;
                }
                // Lost a race for the head: look who won.
                Err(Attempt::Conflict) => {}
            }
            clock::sleep(PAUSE).await;
        }
        let error = failed.unwrap_or_else(busy);
        Err(match open {
            true => Refusal::Unknown {
                operation: operation.id.clone(),
                error,
            },
            false => unavailable(error),
        })
    }

    /// One attempt.
    async fn attempt(&self, operation: &Operation) -> Result<Revision, Attempt> {
        let (reading, made) = self.look(operation).await.map_err(Attempt::Certain)?;
        if let Some(version) = made {
            let accepted = self.finish(&reading, version).await?;
            return same(operation, accepted);
        }
        if reading.head.effective_ms.is_none() {
            // Somebody's proposal stands first. Dating it helps both.
            // What became of it shows at the next attempt.
            drop(self.finish(&reading, reading.head.version).await);
            return Err(Attempt::Conflict);
        }
        // Refused for good even if an earlier attempt is still under way: with
        // the head moved on, that one can't take effect any more.
        let document = match self.prepare(operation, &reading).await {
            Err(Refusal::Unavailable { error }) => return Err(Attempt::Certain(error)),
            other => other.map_err(|it| Attempt::Refused(Box::new(it)))?,
        };
        let accepted = Revision {
            version: reading.head.version + 1,
            operation: operation.id.clone(),
            author: operation.author.clone(),
            reason: operation.reason.clone(),
            effective_ms: None,
            digest: document.digest(),
            changes: operation.changes.clone(),
        };
        let commit = self.store.propose(&reading, &accepted, &document).await;
        match commit.map_err(written)? {
            Commit::Done(rows) => {
                let row = rows.first().copied().unwrap_or_default();
                let reading = proposed(&reading, &accepted, row);
                self.date(&reading, &accepted).await
            }
            Commit::Conflict(_) => Err(Attempt::Conflict),
        }
    }

    async fn look(&self, operation: &Operation) -> Result<(Reading, Option<u64>), Error> {
        let (reading, made) = self.store.operation(&operation.id).await?;
        let reading = reading.ok_or_else(|| malformed("the table holds no configuration"))?;
        Ok((reading, made))
    }

    /// Changed document, or why the operation can't be accepted.
    async fn prepare(&self, operation: &Operation, reading: &Reading) -> Result<Document, Refusal> {
        let head = &reading.head;
        if operation.base != head.version {
            let since = self.store.history(operation.base, MAX_SINCE).await;
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

    /// Accepted form of `version`, which is given its effective time if it has
    /// none.
    async fn finish(&self, reading: &Reading, version: u64) -> Result<Revision, Attempt> {
        let change = self.store.change(version).await.map_err(Attempt::Open)?;
        let change = change.ok_or_else(|| Attempt::Open(malformed("the history has a gap")))?;
        match change.effective_ms {
            Some(_) => Ok(change),
            None if reading.head.version == version => self.date(reading, &change).await,
            None => Err(Attempt::Open(malformed("the head has moved meanwhile"))),
        }
    }

    async fn date(&self, reading: &Reading, accepted: &Revision) -> Result<Revision, Attempt> {
        // Read after the proposal stood in the table, never before.
        let effective_ms = clock::wall() + self.current.timing().delay_ms();
        let dated = self.store.date(reading, accepted, effective_ms).await;
        match dated.map_err(Attempt::Open)? {
            (Commit::Done(_), accepted) => Ok(accepted),
            // Somebody else has dated it; the next attempt reads how.
            (Commit::Conflict(_), _) => Err(Attempt::Open(malformed("dated by another"))),
        }
    }
}

/// Why an attempt brought no accepted change.
enum Attempt {
    /// Refused for good.
    Refused(Box<Refusal>),
    /// This attempt certainly had no effect.
    Certain(Error),
    /// This attempt may have had an effect.
    Open(Error),
    /// Others wrote meanwhile.
    Conflict,
}

/// Result of an operation that was accepted before, unless its id served for
/// something else.
fn same(operation: &Operation, accepted: Revision) -> Result<Revision, Attempt> {
    if accepted.changes == operation.changes {
        return Ok(accepted);
    }
    let operation = operation.id.clone();
    Err(Attempt::Refused(Box::new(Refusal::Mismatch { operation })))
}

fn written(error: Error) -> Attempt {
    match error.fault {
        Fault::Refused => Attempt::Certain(error),
        Fault::Unknown | Fault::Malformed => Attempt::Open(error),
    }
}

fn unavailable(error: Error) -> Refusal {
    Refusal::Unavailable { error }
}

fn proposed(before: &Reading, accepted: &Revision, row: u64) -> Reading {
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
    Reading { head, row }
}

fn malformed(detail: &str) -> Error {
    Error {
        step: Step::Read,
        peer: "configuration".to_owned(),
        fault: Fault::Malformed,
        detail: detail.to_owned(),
    }
}

fn busy() -> Error {
    malformed("others changed the configuration all the time")
}
