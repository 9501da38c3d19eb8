//! A table of the platform that instances follow, in memory, with faults.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::table_watch::{InstanceRow, InstanceTable, Page, Query, ReadError, Table};
use bluebellpath_runtime::{LocalFuture, Notify, clock};
use futures_util::future::select;

/// One way between an instance and the platform.
const WAY: Duration = Duration::from_millis(2);

/// Table whose version rises with time, as if other rows changed all the while.
pub struct Feed<T>(Rc<Inner<T>>);

struct Inner<T> {
    log: RefCell<Vec<Change<T>>>,
    changed: Notify,
    away: RefCell<BTreeSet<usize>>,
    /// Times that calls were lost.
    losses: Cell<u64>,
    delay: Cell<Duration>,
    /// Versions that instances see for good.
    stuck: RefCell<BTreeMap<usize, u64>>,
    /// Version before which changes are no longer kept.
    compacted: Cell<u64>,
    calls: RefCell<BTreeMap<usize, u32>>,
}

struct Change<T> {
    version: u64,
    key: Rc<str>,
    row: T,
}

impl<T> Clone for Feed<T> {
    fn clone(&self) -> Feed<T> {
        Feed(self.0.clone())
    }
}

impl<T> Default for Feed<T> {
    fn default() -> Feed<T> {
        Feed(Rc::new(Inner {
            log: RefCell::default(),
            changed: Notify::new(),
            away: RefCell::default(),
            losses: Cell::new(0),
            delay: Cell::default(),
            stuck: RefCell::default(),
            compacted: Cell::new(0),
            calls: RefCell::default(),
        }))
    }
}

impl<T: Clone + 'static> Feed<T> {
    /// What the instance `number` sees of the table.
    pub fn side(&self, number: usize) -> Side<T> {
        Side {
            feed: self.clone(),
            number,
        }
    }

    /// Writes a row.
    pub fn put(&self, key: &str, row: T) {
        let change = Change {
            version: now(),
            key: key.into(),
            row,
        };
        self.0.log.borrow_mut().push(change);
        self.0.changed.notify();
    }

    /// Loses every call of these instances until they are let back.
    pub fn lose(&self, numbers: impl IntoIterator<Item = usize>) {
        self.0.away.borrow_mut().extend(numbers);
        self.silence();
    }

    /// Answers all instances again; calls that were lost stay lost.
    pub fn answer(&self) {
        self.0.away.borrow_mut().clear();
    }

    /// Ends what [`Feed::lose`] and [`Feed::stand_still`] did to an instance.
    pub fn let_back(&self, number: usize) {
        self.0.away.borrow_mut().remove(&number);
        self.0.stuck.borrow_mut().remove(&number);
    }

    /// Answers all calls later by `delay` from now on.
    pub fn slow_down(&self, delay: Duration) {
        self.0.delay.set(delay);
    }

    /// Loses the calls that wait now, as connections do that fall silent.
    pub fn silence(&self) {
        self.0.losses.set(self.0.losses.get() + 1);
    }

    /// Shows an instance the table as it is now for good.
    pub fn stand_still(&self, number: usize) {
        self.0.stuck.borrow_mut().insert(number, now());
    }

    /// Forgets all changes up to now, but not what they led to.
    pub fn compact(&self) {
        self.0.compacted.set(now());
    }

    /// Calls of all instances so far.
    pub fn calls(&self) -> u32 {
        self.0.calls.borrow().values().sum()
    }

    fn version(&self, number: usize) -> u64 {
        let stuck = self.0.stuck.borrow();
        stuck.get(&number).copied().unwrap_or_else(now)
    }

    /// Rows that changed after `after`, as the instance `number` sees them.
    fn page(&self, number: usize, after: u64) -> Page<T> {
        let version = self.version(number);
        let log = self.0.log.borrow();
        let seen = log.iter().filter(|it| it.version <= version);
        let newest: BTreeMap<_, _> = seen.map(|it| (&it.key, it)).collect();
        let rows = newest.into_values().filter(|it| it.version > after);
        Page {
            rows: rows.map(|it| it.row.clone()).collect(),
            version,
        }
    }

    async fn serve(&self, number: usize, query: Query) -> Result<Page<T>, ReadError> {
        let (after, wait) = match query {
            Query::All => return Ok(self.page(number, 0)),
            Query::Changes { after, wait } => (after, wait),
        };
        let end = clock::now() + wait;
        loop {
            if after < self.0.compacted.get() {
                return Err(ReadError::Compacted);
            }
            let page = self.page(number, after);
            if !page.rows.is_empty() || clock::now() >= end {
                return Ok(page);
            }
            let changed = std::pin::pin!(self.0.changed.notified());
            select(changed, clock::sleep_until(end)).await;
        }
    }
}

impl Feed<InstanceRow> {
    /// What the instance `number` sees of the table, with the row that it writes.
    pub fn member(&self, number: usize, name: &str, address: SocketAddr) -> Member {
        Member {
            side: self.side(number),
            row: (name.into(), Some(address)),
        }
    }
}

/// What one instance sees of the table of instances.
pub struct Member {
    side: Side<InstanceRow>,
    row: InstanceRow,
}

impl Table for Member {
    type Row = InstanceRow;

    fn name(&self) -> &'static str {
        "instances"
    }

    fn read(
        &self,
        query: Query,
        limit: Duration,
    ) -> LocalFuture<'static, Result<Page<InstanceRow>, ReadError>> {
        self.side.read(query, limit)
    }
}

impl InstanceTable for Member {
    fn register(&self, _: Duration) -> LocalFuture<'static, Result<(), ReadError>> {
        let (feed, row) = (self.side.feed.clone(), self.row.clone());
        Box::pin(async move {
            clock::sleep(WAY).await;
            feed.put(&row.0.clone(), row);
            Ok(())
        })
    }
}

/// What one instance sees of a table.
pub struct Side<T> {
    feed: Feed<T>,
    number: usize,
}

impl<T: Clone + 'static> Table for Side<T> {
    type Row = T;

    fn name(&self) -> &'static str {
        "table"
    }

    fn read(
        &self,
        query: Query,
        limit: Duration,
    ) -> LocalFuture<'static, Result<Page<T>, ReadError>> {
        let (feed, number) = (self.feed.clone(), self.number);
        *feed.0.calls.borrow_mut().entry(number).or_default() += 1;
        let limit = match query {
            Query::All => limit,
            Query::Changes { wait, .. } => wait + limit,
        };
        Box::pin(async move {
            let losses = feed.0.losses.get();
            let answering = async {
                clock::sleep(WAY).await;
                if feed.0.away.borrow().contains(&number) {
                    future::pending::<()>().await;
                }
                let answer = feed.serve(number, query).await;
                clock::sleep(WAY + feed.0.delay.get()).await;
                if feed.0.losses.get() != losses {
                    future::pending::<()>().await;
                }
                answer
            };
            let answer = clock::timeout(limit, std::pin::pin!(answering)).await;
            answer.unwrap_or_else(|| {
                Err(ReadError::Lost {
                    detail: "timed out".to_owned(),
                })
            })
        })
    }
}

/// Version of the table now.
fn now() -> u64 {
    1 + clock::now().as_nanos() / 1_000_000
}
