/*!
Following the platform's tables.

A [`Follower`] reads one table whole and then asks for what changed. While the
platform is away the last known state stays in use.
*/

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, LocalFuture, clock, spawn};
use derive_more::{Display, Error};
use slog::{Logger, info, warn};

use crate::{Target, node::Node};

/// Time for an answer, beyond the wait that was asked for.
const ANSWER: Duration = Duration::from_millis(1_500);

/// Longest wait for a change of the configuration.
const CONFIGURATION: Duration = Duration::from_secs(8);

/// Longest wait for a change of the instances, which make themselves known to
/// all others when they start; this is for one that was missed.
const INSTANCES: Duration = Duration::from_secs(24);

/// First pause after a call failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a call failed, well within the time in which a
/// configuration must be in force.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// What is asked of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// All rows.
    All,
    /// Rows that changed after a version.
    Changes {
        /// Version.
        after: u64,
        /// Longest that the answer may wait for the first change.
        wait: Duration,
    },
}

/// Rows as of one version of the platform's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// Rows.
    pub rows: Vec<T>,
    /// Version.
    pub version: u64,
}

/// Call that failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// Changes since that version are no longer kept.
    #[display("history is no longer available")]
    Compacted,
    /// No answer, or one that is of no use.
    #[display("{detail}")]
    Failed {
        /// Call and cause.
        detail: String,
    },
}

/// Table of the platform.
pub trait Table {
    /// Row, or what is left of one that was removed.
    type Row;

    /// Name in the log.
    fn name(&self) -> &'static str;

    /// Asks for rows; an answer that takes `limit` longer than the wait that it
    /// was asked for counts as lost.
    fn read(
        &self,
        ask: Ask,
        limit: Duration,
    ) -> LocalFuture<'static, Result<Page<Self::Row>, Fault>>;
}

/// Table of the entry instances, this product's own.
pub trait Registry: Table<Row = Registered> {
    /// Writes the row of this instance.
    fn register(&self, limit: Duration) -> LocalFuture<'static, Result<(), Fault>>;
}

/// Row of the configuration: the operator's document.
pub type Document = Rc<str>;

/// Row of a target; `None` for one that is gone or can't be used.
pub type Listed = (Rc<str>, Option<Target>);

/// Row of an entry instance; `None` for one that is gone.
pub type Registered = (Rc<str>, Option<SocketAddr>);

/// Follows one table.
struct Follower<T: ?Sized> {
    table: Rc<T>,
    instance: Rc<str>,
    log: Logger,
    pause: Cell<Duration>,
    /// When the first of the calls was sent that failed one after the other,
    /// and their number.
    lost: Cell<Option<(Instant, u32)>>,
}

impl<T: Table + ?Sized> Follower<T> {
    fn new(table: Rc<T>, instance: &Rc<str>, log: &Logger) -> Follower<T> {
        Follower {
            table,
            instance: instance.clone(),
            log: log.clone(),
            pause: Cell::new(Duration::ZERO),
            lost: Cell::new(None),
        }
    }

    /// Whole table, tried until the platform gives it.
    async fn list(&self) -> Page<T::Row> {
        loop {
            let sent = clock::now();
            match self.table.read(Ask::All, ANSWER).await {
                Ok(page) => {
                    self.regained();
                    return page;
                }
                Err(fault) => self.failed(&fault, sent).await,
            }
        }
    }

    /// Changes after `version`; `None` where the table must be read anew.
    async fn changes(&self, after: u64, wait: Duration) -> Option<Page<T::Row>> {
        loop {
            let sent = clock::now();
            match self.table.read(Ask::Changes { after, wait }, ANSWER).await {
                Ok(page) => {
                    self.regained();
                    return Some(page);
                }
                Err(Fault::Compacted) => {
                    info!(self.log, "history dropped, reading anew";
                        "table" => self.table.name(), "after" => after);
                    return None;
                }
                Err(fault) => self.failed(&fault, sent).await,
            }
        }
    }

    fn regained(&self) {
        self.pause.set(Duration::ZERO);
        if let Some((since, calls)) = self.lost.take() {
            info!(self.log, "store answers again"; "table" => self.table.name(),
                "calls" => calls, "lost_ms" => (clock::now() - since).as_millis());
        }
    }

    /// Notes that the call sent at `sent` failed, and pauses.
    async fn failed(&self, fault: &Fault, sent: Instant) {
        let (since, calls) = self.lost.get().unwrap_or((sent, 0));
        self.lost.set(Some((since, calls + 1)));
        let pause = (self.pause.get() * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.pause.set(pause);
        let pause = pause.mul_f64(self.spread(calls));
        warn!(self.log, "store lost"; "table" => self.table.name(), "error" => %fault,
            "calls" => calls + 1, "waited_ms" => (clock::now() - sent).as_millis(),
            "pause_ms" => pause.as_millis());
        clock::sleep(pause).await;
    }

    /// Part of a pause, from a half to the whole: instances that lost the
    /// platform together don't come back together.
    fn spread(&self, calls: u32) -> f64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.instance.as_bytes());
        hasher.update(&calls.to_le_bytes());
        let draw = hasher.finalize().as_bytes()[0];
        0.5 + f64::from(draw) / 512.0
    }
}

/// Follows the configuration for `node` for ever.
pub fn configuration(node: &Rc<Node>, table: Rc<dyn Table<Row = Document>>, log: &Logger) {
    let follower = Follower::new(table, node.name(), log);
    let node = node.clone();
    drop(spawn(async move {
        loop {
            let mut page = follower.list().await;
            loop {
                node.note_config_told();
                for document in &page.rows {
                    node.offer(document, "store");
                }
                match follower.changes(page.version, CONFIGURATION).await {
                    Some(changes) => page = changes,
                    None => break,
                }
            }
        }
    }));
}

/// Follows the list of targets for `node` for ever.
pub fn targets(node: &Rc<Node>, table: Rc<dyn Table<Row = Listed>>, log: &Logger) {
    let follower = Follower::new(table, node.name(), log);
    let node = node.clone();
    drop(spawn(async move {
        loop {
            let page = follower.list().await;
            let listed = page.rows.into_iter();
            let listed = listed.filter_map(|(id, target)| target.map(|it| (id, it)));
            node.set_targets(page.version, listed.collect());
            loop {
                node.targets_due().await;
                let version = node.targets_version().unwrap_or_default();
                match follower.changes(version, Duration::ZERO).await {
                    Some(page) => node.change_targets(page.version, page.rows),
                    None => break,
                }
            }
        }
    }));
}

/// Makes `node` known, and follows the other instances for ever.
pub fn instances(node: &Rc<Node>, table: Rc<dyn Registry>, log: &Logger) {
    let follower = Follower::new(table, node.name(), log);
    let node = node.clone();
    drop(spawn(async move {
        loop {
            let sent = clock::now();
            match follower.table.register(ANSWER).await {
                Ok(()) => break,
                Err(fault) => follower.failed(&fault, sent).await,
            }
        }
        loop {
            let mut page = follower.list().await;
            loop {
                for (name, address) in &page.rows {
                    match address {
                        Some(address) => node.roster().learn(*address),
                        None => info!(follower.log, "instance left"; "instance" => &**name),
                    }
                }
                match follower.changes(page.version, INSTANCES).await {
                    Some(changes) => page = changes,
                    None => break,
                }
            }
        }
    }));
}
