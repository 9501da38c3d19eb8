/*!
The record of one incarnation.

A batch is written in two steps, each repeatable: its object, then one
transaction with the mark of the chain and a row for each of its jobs. Only one
batch is under way; its bytes stay as they are until both steps are through, so
that a repetition after a lost answer writes the same again.
*/

use std::{cell::RefCell, rc::Rc};

use bluebellpath_runtime::{Notify, clock};
use futures_util::future::{Either, select};

use super::{
    Batch, Config, Entry, Hash, Head, Mark,
    buffer::{Buffer, Chunk},
    mark,
};
use crate::{
    job::{Id, Incarnation},
    platform::{Commit, Conflict, Error, Expect, Fault, Step, Store, Table, Write},
};

/// Batch under way.
#[derive(Clone)]
struct Pending {
    number: u64,
    name: String,
    bytes: Vec<u8>,
    jobs: Vec<Id>,
    closes: bool,
    stored: bool,
}

/// What is worth a batch.
#[derive(Clone, Copy, Debug)]
enum Least {
    /// Anything.
    Item,
    /// As many entries as a batch may hold.
    Batch,
}

/// Where the chain stands.
struct Chain {
    number: u64,
    hash: Hash,
    /// Version of the mark's row, `None` before there is one.
    mark: Option<u64>,
    pending: Option<Pending>,
}

/// Record of one incarnation.
pub struct Log {
    instance: String,
    incarnation: Incarnation,
    config: Config,
    table: Rc<dyn Table>,
    objects: Rc<dyn Store>,
    buffer: RefCell<Buffer>,
    chain: RefCell<Chain>,
    writing: futures_util::lock::Mutex<()>,
    full: Notify,
}

impl Log {
    /// Empty record of `incarnation`, kept in `table` and `objects`.
    pub fn new(
        instance: &str,
        incarnation: Incarnation,
        config: Config,
        table: Rc<dyn Table>,
        objects: Rc<dyn Store>,
    ) -> Log {
        Log {
            instance: instance.to_owned(),
            incarnation,
            config,
            table,
            objects,
            buffer: RefCell::new(Buffer::new(config.buffer_bytes)),
            chain: RefCell::new(Chain {
                number: 0,
                hash: [0; 32],
                mark: None,
                pending: None,
            }),
            writing: futures_util::lock::Mutex::new(()),
            full: Notify::new(),
        }
    }

    /// Appends an entry.
    pub fn append(&self, entry: Entry) {
        let mut buffer = self.buffer.borrow_mut();
        buffer.push(entry);
        if buffer.len() >= self.config.batch {
            self.full.notify();
        }
    }

    /// Entries that wait to be written.
    pub fn len(&self) -> usize {
        self.buffer.borrow().len()
    }

    /// True without anything that waits to be written.
    pub fn is_empty(&self) -> bool {
        self.buffer.borrow().is_empty() && self.chain.borrow().pending.is_none()
    }

    /// Writes batches for ever.
    pub async fn run(self: Rc<Self>) {
        // What fails now is done with the first batch.
        let _ = self.write_all(Least::Item, Least::Batch).await;
        loop {
            let full = std::pin::pin!(self.full.notified());
            let due = std::pin::pin!(clock::sleep(self.config.interval));
            let written = match select(full, due).await {
                Either::Left(_) => self.write_all(Least::Batch, Least::Batch).await,
                // What comes in meanwhile waits for the next time.
                Either::Right(_) => self.write_all(Least::Item, Least::Batch).await,
            };
            if written.is_err() {
                clock::sleep(self.config.interval).await;
            }
        }
    }

    /// Writes all that waits now; an error leaves the rest waiting.
    pub async fn flush(&self) -> Result<(), Error> {
        // One more for the batch under way. What is appended meanwhile may
        // never end.
        let batches = self.len() / self.config.batch + 2;
        for _ in 0..batches {
            self.write_all(Least::Item, Least::Batch).await?;
        }
        Ok(())
    }

    /// Writes one batch out of `first` and more out of `rest`.
    async fn write_all(&self, first: Least, rest: Least) -> Result<(), Error> {
        let _writing = self.writing.lock().await;
        self.open().await?;
        let mut least = first;
        loop {
            self.prepare(least);
            least = rest;
            let pending = self.chain.borrow().pending.clone();
            match pending {
                Some(pending) => self.write(pending).await?,
                None => return Ok(()),
            }
        }
    }

    /// Writes all that waits and closes the chain; nothing may be appended any
    /// more.
    pub async fn close(&self) -> Result<(), Error> {
        self.buffer.borrow_mut().close(clock::wall());
        self.flush().await
    }

    /// Makes the next batch unless one is under way.
    fn prepare(&self, least: Least) {
        let mut chain = self.chain.borrow_mut();
        let mut buffer = self.buffer.borrow_mut();
        let enough = match least {
            Least::Item => !buffer.is_empty(),
            Least::Batch => buffer.len() >= self.config.batch,
        };
        if chain.pending.is_some() || !enough {
            return;
        }
        let Chunk {
            jobs,
            items,
            closes,
        } = buffer.take(self.config.batch);
        let number = chain.number + 1;
        let head = Head::new(&self.instance, self.incarnation, number, chain.hash);
        chain.pending = Some(Pending {
            number,
            name: Batch::name(self.incarnation, number),
            bytes: Batch::encode(&head, &items),
            jobs,
            closes,
            stored: false,
        });
    }

    async fn write(&self, pending: Pending) -> Result<(), Error> {
        if !pending.stored {
            self.objects
                .put(&pending.name, pending.bytes.clone())
                .await?;
            if let Some(pending) = self.chain.borrow_mut().pending.as_mut() {
                pending.stored = true;
            }
        }
        let hash = Batch::hash(&pending.bytes);
        let writes = self.rows(&pending, hash);
        let version = match self.table.commit(&writes).await? {
            Commit::Done(versions) => versions.first().copied(),
            Commit::Conflict(conflicts) => {
                // Nobody else writes these rows: an earlier attempt did.
                let version = written(&conflicts, pending.number, hash);
                Some(version.ok_or_else(|| self.foreign())?)
            }
        };
        let mut chain = self.chain.borrow_mut();
        chain.number = pending.number;
        chain.hash = hash;
        chain.mark = version;
        chain.pending = None;
        Ok(())
    }

    /// Marks the chain as begun, so that an incarnation which ends before its
    /// first batch is known to have been.
    async fn open(&self) -> Result<(), Error> {
        if self.chain.borrow().mark.is_some() {
            return Ok(());
        }
        let writes = [self.mark(0, [0; 32], false)];
        let version = match self.table.commit(&writes).await? {
            Commit::Done(versions) => versions.first().copied(),
            Commit::Conflict(conflicts) => {
                let version = written(&conflicts, 0, [0; 32]);
                Some(version.ok_or_else(|| self.foreign())?)
            }
        };
        self.chain.borrow_mut().mark = version;
        Ok(())
    }

    fn mark(&self, number: u64, hash: Hash, closed: bool) -> Write {
        let mark = Mark {
            instance: self.instance.clone(),
            number,
            hash,
            at_ms: clock::wall(),
            closed,
        };
        let expect = match self.chain.borrow().mark {
            Some(version) => Expect::Version(version),
            None => Expect::Absent,
        };
        Write {
            key: Mark::key(self.incarnation),
            expect,
            value: Some(postcard::to_stdvec(&mark).unwrap_or_default()),
        }
    }

    /// Mark of the chain, then a row for each job.
    fn rows(&self, pending: &Pending, hash: Hash) -> Vec<Write> {
        let mut writes = vec![self.mark(pending.number, hash, pending.closes)];
        let mut keys: Vec<String> = pending
            .jobs
            .iter()
            .map(|it| mark::place(it, self.incarnation, pending.number))
            .collect();
        keys.sort();
        keys.dedup();
        writes.extend(keys.into_iter().map(|key| Write {
            key,
            expect: Expect::Absent,
            value: Some(Vec::new()),
        }));
        writes
    }

    fn foreign(&self) -> Error {
        Error {
            step: Step::Commit,
            peer: Mark::key(self.incarnation),
            fault: Fault::Refused,
            detail: "another process writes the record of this incarnation".to_owned(),
        }
    }
}

/// Version of the mark in `conflicts` when it is the one that was to be written:
/// an earlier attempt did, as nobody else writes it.
fn written(conflicts: &[Conflict], number: u64, hash: Hash) -> Option<u64> {
    let row = conflicts.iter().find(|it| it.index == 0)?.row.as_ref()?;
    let mark: Mark = postcard::from_bytes(&row.value).ok()?;
    (mark.number == number && mark.hash == hash).then_some(row.version)
}
