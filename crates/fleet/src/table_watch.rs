/*!
Following the platform's tables.

A [`Follower`] reads one table whole and then asks for what changed. While the
platform is away the last known state stays in use.

A call that waits for a change and one whose answer was lost look the same until
the wait is over. So nothing that must be known in time hangs on one call: the
wait is a part of that time, a call that is sent while the platform may still be
away does not wait, and what is known is read again once it is too old
([`read_schedule`](crate::read_schedule)), whichever call or peer should have brought it.
*/

use std::{cell::Cell, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock, spawn};
use derive_more::{Display, Error};
use futures_util::future::{Either, select};
use slog::{Logger, info, warn};

use crate::{Target, node::Node, read_schedule::Schedule};

/// Shortest time for an answer, some hundred times the usual.
const ANSWER: Duration = Duration::from_millis(300);

/// Longest time for an answer, where the platform is slow; with the longest
/// pause it ends within the 3 s after which the platform counts as back.
const MAX_ANSWER: Duration = Duration::from_millis(1_500);

/// Time for an answer in times of the last one's.
const ANSWER_FACTOR: u32 = 3;

/// Time after which a slow answer says nothing of the next one: the platform
/// counts as back 3 s after a disruption.
const ANSWER_MEMORY: Duration = Duration::from_secs(3);

/// Longest wait for a change of the instances. Each writes its own row before it
/// reads the others', so that of two the later one knows the earlier and its
/// beacons make it known; the wait is for a row that an old view did not show.
const INSTANCES: Duration = Duration::from_secs(24);

/// First pause after a call failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a call failed, well within the time in which a
/// configuration must be in force.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Timing of the configuration, in parts of the time in which a new one must be
/// in force. Two beacons may be late or lost, which takes a fifth of 2 s, before
/// an instance reads by itself; then one call and its repetition end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest wait of the first in line for a change.
    pub hold: Duration,
    /// Ages at which the others read.
    pub schedule: Schedule,
}

impl Timing {
    /// Part for the wait of the first in line.
    const HOLD: f64 = 0.3;

    /// Part after which the second in line reads, beyond a wait and two beacons.
    const SECOND: f64 = 0.5;

    /// Part by which the third waits longer, for the second to tell it.
    const STEP: f64 = 0.05;

    /// Shortest time that is kept to, so that a setting of 0 makes no busy loop.
    const MIN_APPLY: Duration = Duration::from_millis(500);

    /// Timing for configurations that must be in force within `apply`.
    pub fn within(apply: Duration) -> Timing {
        let apply = apply.max(Timing::MIN_APPLY);
        Timing {
            hold: apply.mul_f64(Timing::HOLD),
            schedule: Schedule {
                first_age: Duration::ZERO,
                second_age: apply.mul_f64(Timing::SECOND),
                age_step: apply.mul_f64(Timing::STEP),
                max_age: apply.mul_f64(Timing::SECOND + Timing::STEP),
            },
        }
    }
}

/// What is asked of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
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

impl Query {
    /// Longest that the answer may wait for a change.
    fn wait(self) -> Duration {
        match self {
            Query::All => Duration::ZERO,
            Query::Changes { wait, .. } => wait,
        }
    }
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
pub enum ReadError {
    /// Changes since that version are no longer kept.
    #[display("history is no longer available")]
    Compacted,
    /// No answer, or none in time.
    #[display("{detail}")]
    Lost {
        /// Call and cause.
        detail: String,
    },
    /// Refused, or answered with something of no use.
    #[display("{detail}")]
    Refused {
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
        query: Query,
        limit: Duration,
    ) -> LocalFuture<'static, Result<Page<Self::Row>, ReadError>>;
}

/// Table of the entry instances, this product's own.
pub trait InstanceTable: Table<Row = InstanceRow> {
    /// Writes the row of this instance.
    fn register(&self, limit: Duration) -> LocalFuture<'static, Result<(), ReadError>>;
}

/// Row of the configuration: the operator's document.
pub type ConfigDocument = Rc<str>;

/// Row of a target; `None` for one that is gone or can't be used.
pub type TargetRow = (Rc<str>, Option<Target>);

/// Row of an entry instance; `None` for one that is gone.
pub type InstanceRow = (Rc<str>, Option<SocketAddr>);

/// Follows the tables for one instance.
pub struct Watcher {
    node: Rc<Node>,
    log: Logger,
    regained: Rc<Notify>,
}

impl Watcher {
    /// Follows nothing yet.
    pub fn new(node: &Rc<Node>, log: &Logger) -> Watcher {
        Watcher {
            node: node.clone(),
            log: log.clone(),
            regained: Rc::default(),
        }
    }

    /// Follows the configuration for ever.
    ///
    /// Two tasks: one reads when it is this instance's turn, the other when a
    /// peer knows a newer configuration.
    pub fn watch_configuration(&self, table: Rc<dyn Table<Row = ConfigDocument>>) {
        let follower = Rc::new(self.follower(table));
        drop(spawn(in_turn(self.node.clone(), follower.clone())));
        drop(spawn(on_hint(self.node.clone(), follower)));
    }

    /// Follows the list of targets for ever.
    pub fn watch_targets(&self, table: Rc<dyn Table<Row = TargetRow>>) {
        drop(spawn(targets(self.node.clone(), self.follower(table))));
    }

    /// Makes the instance known, and follows the others for ever.
    pub fn watch_instances(&self, table: Rc<dyn InstanceTable>) {
        drop(spawn(instances(self.node.clone(), self.follower(table))));
    }

    fn follower<T: Table + ?Sized>(&self, table: Rc<T>) -> Follower<T> {
        Follower {
            table,
            instance: self.node.name().clone(),
            log: self.log.clone(),
            limit: Cell::new((ANSWER, clock::now())),
            pause: Cell::new(Duration::ZERO),
            lost: Cell::new(None),
            listed: Cell::new(false),
            regained: self.regained.clone(),
        }
    }
}

/// Follows one table.
struct Follower<T: ?Sized> {
    table: Rc<T>,
    instance: Rc<str>,
    log: Logger,
    /// Time for the next answer, and when that was found.
    limit: Cell<(Duration, Instant)>,
    pause: Cell<Duration>,
    /// When the first of the calls was sent that failed one after the other,
    /// and their number.
    lost: Cell<Option<(Instant, u32)>>,
    /// True while the whole table was the last that was read.
    listed: Cell<bool>,
    /// Told when calls for any table are answered again.
    regained: Rc<Notify>,
}

impl<T: Table + ?Sized> Follower<T> {
    /// True from a call that failed to the next that is answered.
    fn is_lost(&self) -> bool {
        self.lost.get().is_some()
    }

    /// Whole table, tried until the platform gives it.
    async fn list(&self) -> Page<T::Row> {
        loop {
            match self.read(Query::All).await {
                Ok(page) => return page,
                Err(_) => self.rest().await,
            }
        }
    }

    /// Changes after `version`; `None` where the table must be read anew.
    async fn changes(&self, after: u64, wait: Duration) -> Option<Page<T::Row>> {
        loop {
            match self.read(Query::Changes { after, wait }).await {
                Ok(page) => return Some(page),
                Err(ReadError::Compacted) => return None,
                Err(_) => self.rest().await,
            }
        }
    }

    /// Makes one call and notes how it ended.
    async fn read(&self, query: Query) -> Result<Page<T::Row>, ReadError> {
        let query = match query {
            // Its loss would show only after the wait.
            Query::Changes { after, .. } if self.is_lost() => Query::Changes {
                after,
                wait: Duration::ZERO,
            },
            query => query,
        };
        let sent = clock::now();
        let answer = match query.wait().is_zero() {
            false => self.wait(query).await,
            true => self.table.read(query, self.limit()).await,
        };
        match &answer {
            Ok(_) => {
                self.answered();
                self.learn_limit(query, clock::now() - sent);
                self.listed.set(query == Query::All);
            }
            Err(ReadError::Compacted) => {
                self.answered();
                info!(self.log, "history dropped, reading anew";
                    "table" => self.table.name(), "query" => ?query);
                // A whole table that is older than the history is of an old view.
                if self.listed.replace(false) {
                    clock::sleep(FIRST_PAUSE).await;
                }
            }
            Err(fault) => self.failed(fault, sent),
        }
        answer
    }

    /// Waits for a change, and asks again once calls for another table were lost
    /// and are answered again: this one may be lost as well.
    async fn wait(&self, query: Query) -> Result<Page<T::Row>, ReadError> {
        loop {
            let reading = self.table.read(query, self.limit());
            let regained = pin!(self.regained.notified());
            match select(reading, regained).await {
                Either::Left((answer, _)) => return answer,
                Either::Right(_) => {}
            }
        }
    }

    fn answered(&self) {
        self.pause.set(Duration::ZERO);
        if let Some((since, calls)) = self.lost.take() {
            info!(self.log, "store answers again"; "table" => self.table.name(),
                "calls" => calls, "lost_ms" => (clock::now() - since).as_millis());
            self.regained.notify();
        }
    }

    /// Notes that the call sent at `sent` failed.
    fn failed(&self, fault: &ReadError, sent: Instant) {
        let limit = self.limit();
        let (since, calls) = self.lost.get().unwrap_or((sent, 0));
        self.lost.set(Some((since, calls + 1)));
        let pause = (self.pause.get() * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.pause.set(pause);
        if let ReadError::Lost { .. } = fault {
            // The platform may only be slow.
            self.set_limit(limit * 2);
        }
        warn!(self.log, "store lost"; "table" => self.table.name(), "error" => %fault,
            "calls" => calls + 1, "waited_ms" => (clock::now() - sent).as_millis(),
            "limit_ms" => self.limit().as_millis(), "pause_ms" => pause.as_millis());
    }

    /// Time for the next answer.
    fn limit(&self) -> Duration {
        let (limit, found) = self.limit.get();
        match clock::now() - found > ANSWER_MEMORY && !self.is_lost() {
            true => ANSWER,
            false => limit,
        }
    }

    fn set_limit(&self, limit: Duration) {
        let limit = limit.clamp(ANSWER, MAX_ANSWER);
        self.limit.set((limit, clock::now()));
    }

    /// Learns from an answer that took `took`, its wait included.
    fn learn_limit(&self, query: Query, took: Duration) {
        match took.checked_sub(query.wait()) {
            Some(answer) => self.set_limit(answer.saturating_mul(ANSWER_FACTOR)),
            // A change ended the wait; the answer took some part of this time.
            None => self.set_limit(took.saturating_mul(ANSWER_FACTOR).min(self.limit())),
        }
    }

    /// Pauses after a call that failed.
    async fn rest(&self) {
        let calls = self.lost.get().map_or(0, |it| it.1);
        clock::sleep(self.pause.get().mul_f64(self.spread(calls))).await;
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

/// Reads the configuration whenever it is the turn of `node`.
async fn in_turn(node: Rc<Node>, follower: Rc<Follower<dyn Table<Row = ConfigDocument>>>) {
    let mut listed = false;
    loop {
        let wait = match follower.is_lost() {
            // Others may renew what is known, but not show that the platform
            // answers here again.
            true => Duration::ZERO,
            false => node.config_due().await,
        };
        // Peers may have seen it later than this instance has.
        let after = node.config_seen().platform;
        let query = match listed {
            true => Query::Changes { after, wait },
            false => Query::All,
        };
        match follower.read(query).await {
            Ok(page) => {
                listed = true;
                let before = node.config_seen();
                node.take_configuration(&page);
                if node.config_seen() == before {
                    // An old view, or nothing that can be read: the next look is
                    // due at once and would be as good.
                    clock::sleep(node.config_hold()).await;
                }
            }
            Err(ReadError::Compacted) => listed = false,
            Err(_) => follower.rest().await,
        }
    }
}

/// Fetches the configuration whenever a peer knows a newer one.
///
/// From the platform, as all query at once and one instance's link is narrow; from
/// the peer where the platform does not answer here in the usual time, or shows an
/// old view.
async fn on_hint(node: Rc<Node>, follower: Rc<Follower<dyn Table<Row = ConfigDocument>>>) {
    loop {
        let hints = node.config_hints().await;
        let after = node.config_seen().platform;
        if after > 0 && !follower.is_lost() {
            let wait = Duration::ZERO;
            let reading = follower.read(Query::Changes { after, wait });
            if let Some(Ok(page)) = clock::timeout(ANSWER, reading).await {
                node.take_configuration(&page);
            }
        }
        node.fetch_config(&hints, ANSWER).await;
        let version = node.config_seen().version;
        if hints.iter().any(|it| it.config.version > version) {
            clock::sleep(FIRST_PAUSE).await;
        }
    }
}

async fn targets(node: Rc<Node>, follower: Follower<dyn Table<Row = TargetRow>>) {
    loop {
        let page = follower.list().await;
        let listed = page.rows.into_iter();
        let listed = listed.filter_map(|(id, target)| target.map(|it| (id, it)));
        node.replace_targets(page.version, listed.collect());
        loop {
            node.wait_for_targets_turn().await;
            let version = node.targets_version().unwrap_or_default();
            match follower.changes(version, Duration::ZERO).await {
                Some(page) => node.update_targets(page.version, page.rows),
                None => break,
            }
        }
    }
}

async fn instances(node: Rc<Node>, follower: Follower<dyn InstanceTable>) {
    loop {
        let sent = clock::now();
        match follower.table.register(follower.limit()).await {
            Ok(()) => break,
            Err(fault) => follower.failed(&fault, sent),
        }
        follower.rest().await;
    }
    loop {
        let mut page = follower.list().await;
        loop {
            for (name, address) in &page.rows {
                match address {
                    Some(address) => node.membership().add_address(*address),
                    None => info!(follower.log, "instance left"; "instance" => &**name),
                }
            }
            match follower.changes(page.version, INSTANCES).await {
                Some(changes) => page = changes,
                None => break,
            }
        }
    }
}
