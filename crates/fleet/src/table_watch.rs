/*!
Following the platform's tables.

A [`TableReader`] reads one table whole and then asks for what changed. While the
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
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for an answer, where the platform is slow; with the longest
/// pause it ends within the 3 s after which the platform counts as back.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for an answer in times of the last one's.
const TIMEOUT_FACTOR: u32 = 3;

/// Time after which a slow answer says nothing of the next one: the platform
/// counts as back 3 s after a disruption.
const TIMEOUT_MEMORY: Duration = Duration::from_secs(3);

/// Longest wait for a change of the instances. Each writes its own row before it
/// reads the others', so that of two the later one knows the earlier and its
/// beacons make it known; the wait is for a row that an old view did not show.
const INSTANCES_POLL_WAIT: Duration = Duration::from_secs(24);

/// First pause after a call failed.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after a call failed, well within the time in which a
/// configuration must be in force.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// ConfigTiming of the configuration, in parts of the time in which a new one must be
/// in force. Two beacons may be late or lost, which takes a fifth of 2 s, before
/// an instance reads by itself; then one call and its repetition end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigTiming {
    /// Longest wait of the first in line for a change.
    pub poll_wait: Duration,
    /// Ages at which the others read.
    pub schedule: Schedule,
}

impl ConfigTiming {
    /// Part for the wait of the first in line.
    const POLL_WAIT_PART: f64 = 0.3;

    /// Part after which the second in line reads, beyond a wait and two beacons.
    const SECOND_READ_PART: f64 = 0.5;

    /// Part by which the third waits longer, for the second to tell it.
    const READ_STEP_PART: f64 = 0.05;

    /// Shortest time that is kept to, so that a setting of 0 makes no busy loop.
    const MIN_DEADLINE: Duration = Duration::from_millis(500);

    /// ConfigTiming for configurations that must be in force within `apply`.
    pub fn within(deadline: Duration) -> ConfigTiming {
        let deadline = deadline.max(ConfigTiming::MIN_DEADLINE);
        ConfigTiming {
            poll_wait: deadline.mul_f64(ConfigTiming::POLL_WAIT_PART),
            schedule: Schedule {
                first_age: Duration::ZERO,
                second_age: deadline.mul_f64(ConfigTiming::SECOND_READ_PART),
                age_step: deadline.mul_f64(ConfigTiming::READ_STEP_PART),
                max_age: deadline
                    .mul_f64(ConfigTiming::SECOND_READ_PART + ConfigTiming::READ_STEP_PART),
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
        timeout: Duration,
    ) -> LocalFuture<'static, Result<Page<Self::Row>, ReadError>>;
}

/// Table of the entry instances, this product's own.
pub trait InstanceTable: Table<Row = InstanceRow> {
    /// Writes the row of this instance.
    fn register(&self, timeout: Duration) -> LocalFuture<'static, Result<(), ReadError>>;
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
    recovered: Rc<Notify>,
}

impl Watcher {
    /// Follows nothing yet.
    pub fn new(node: &Rc<Node>, log: &Logger) -> Watcher {
        Watcher {
            node: node.clone(),
            log: log.clone(),
            recovered: Rc::default(),
        }
    }

    /// Follows the configuration for ever.
    ///
    /// Two tasks: one reads when it is this instance's turn, the other when a
    /// peer knows a newer configuration.
    pub fn watch_configuration(&self, table: Rc<dyn Table<Row = ConfigDocument>>) {
        let reader = Rc::new(self.reader(table));
        drop(spawn(read_config_in_turn(
            self.node.clone(),
            reader.clone(),
        )));
        drop(spawn(fetch_newer_config(self.node.clone(), reader)));
    }

    /// Follows the list of targets for ever.
    pub fn watch_targets(&self, table: Rc<dyn Table<Row = TargetRow>>) {
        drop(spawn(watch_targets(self.node.clone(), self.reader(table))));
    }

    /// Makes the instance known, and follows the others for ever.
    pub fn watch_instances(&self, table: Rc<dyn InstanceTable>) {
        drop(spawn(watch_instances(
            self.node.clone(),
            self.reader(table),
        )));
    }

    fn reader<T: Table + ?Sized>(&self, table: Rc<T>) -> TableReader<T> {
        TableReader {
            table,
            instance: self.node.name().clone(),
            log: self.log.clone(),
            timeout: Cell::new((ANSWER_TIMEOUT, clock::now())),
            backoff: Cell::new(Duration::ZERO),
            failures: Cell::new(None),
            last_was_full: Cell::new(false),
            recovered: self.recovered.clone(),
        }
    }
}

/// Follows one table.
struct TableReader<T: ?Sized> {
    table: Rc<T>,
    instance: Rc<str>,
    log: Logger,
    /// Time for the next answer, and when that was found.
    timeout: Cell<(Duration, Instant)>,
    backoff: Cell<Duration>,
    /// When the first of the calls was sent that failed one after the other,
    /// and their number.
    failures: Cell<Option<(Instant, u32)>>,
    /// True while the whole table was the last that was read.
    last_was_full: Cell<bool>,
    /// Told when calls for any table are answered again.
    recovered: Rc<Notify>,
}

impl<T: Table + ?Sized> TableReader<T> {
    /// True from a call that failed to the next that is answered.
    fn is_failing(&self) -> bool {
        self.failures.get().is_some()
    }

    /// Whole table, tried until the platform gives it.
    async fn read_all(&self) -> Page<T::Row> {
        loop {
            match self.read(Query::All).await {
                Ok(page) => return page,
                Err(_) => self.back_off().await,
            }
        }
    }

    /// Changes after `version`; `None` where the table must be read anew.
    async fn changes(&self, after: u64, wait: Duration) -> Option<Page<T::Row>> {
        loop {
            match self.read(Query::Changes { after, wait }).await {
                Ok(page) => return Some(page),
                Err(ReadError::Compacted) => return None,
                Err(_) => self.back_off().await,
            }
        }
    }

    /// Makes one call and notes how it ended.
    async fn read(&self, query: Query) -> Result<Page<T::Row>, ReadError> {
        let query = match query {
            // Its loss would show only after the wait.
            Query::Changes { after, .. } if self.is_failing() => Query::Changes {
                after,
                wait: Duration::ZERO,
            },
            query => query,
        };
        let sent = clock::now();
        let answer = match query.wait().is_zero() {
            false => self.wait(query).await,
            true => self.table.read(query, self.answer_timeout()).await,
        };
        match &answer {
            Ok(_) => {
                self.record_answer();
                self.adapt_timeout(query, clock::now() - sent);
                self.last_was_full.set(query == Query::All);
            }
            Err(ReadError::Compacted) => {
                self.record_answer();
                info!(self.log, "history dropped, reading anew";
                    "table" => self.table.name(), "query" => ?query);
                // A whole table that is older than the history is of an old view.
                if self.last_was_full.replace(false) {
                    clock::sleep(MIN_BACKOFF).await;
                }
            }
            Err(fault) => self.record_failure(fault, sent),
        }
        answer
    }

    /// Waits for a change, and asks again once calls for another table were lost
    /// and are answered again: this one may be lost as well.
    async fn wait(&self, query: Query) -> Result<Page<T::Row>, ReadError> {
        loop {
            let reading = self.table.read(query, self.answer_timeout());
            let recovered = pin!(self.recovered.notified());
            match select(reading, recovered).await {
                Either::Left((answer, _)) => return answer,
                Either::Right(_) => {}
            }
        }
    }

    fn record_answer(&self) {
        self.backoff.set(Duration::ZERO);
        if let Some((since, calls)) = self.failures.take() {
            info!(self.log, "store answers again"; "table" => self.table.name(),
                "calls" => calls, "lost_ms" => (clock::now() - since).as_millis());
            self.recovered.notify();
        }
    }

    /// Notes that the call sent at `sent` failed.
    fn record_failure(&self, fault: &ReadError, sent: Instant) {
        let timeout = self.answer_timeout();
        let (since, calls) = self.failures.get().unwrap_or((sent, 0));
        self.failures.set(Some((since, calls + 1)));
        let backoff = (self.backoff.get() * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff.set(backoff);
        if let ReadError::Lost { .. } = fault {
            // The platform may only be slow.
            self.set_timeout(timeout * 2);
        }
        warn!(self.log, "store lost"; "table" => self.table.name(), "error" => %fault,
            "calls" => calls + 1, "waited_ms" => (clock::now() - sent).as_millis(),
            "limit_ms" => self.answer_timeout().as_millis(), "pause_ms" => backoff.as_millis());
    }

    /// Time for the next answer.
    fn answer_timeout(&self) -> Duration {
        let (timeout, set_at) = self.timeout.get();
        match clock::now() - set_at > TIMEOUT_MEMORY && !self.is_failing() {
            true => ANSWER_TIMEOUT,
            false => timeout,
        }
    }

    fn set_timeout(&self, timeout: Duration) {
        let timeout = timeout.clamp(ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
        self.timeout.set((timeout, clock::now()));
    }

    /// Learns from an answer that took `took`, its wait included.
    fn adapt_timeout(&self, query: Query, elapsed: Duration) {
        match elapsed.checked_sub(query.wait()) {
            Some(answer) => self.set_timeout(answer.saturating_mul(TIMEOUT_FACTOR)),
            // A change ended the wait; the answer took some part of this time.
            None => self.set_timeout(
                elapsed
                    .saturating_mul(TIMEOUT_FACTOR)
                    .min(self.answer_timeout()),
            ),
        }
    }

    /// Pauses after a call that failed.
    async fn back_off(&self) {
        let calls = self.failures.get().map_or(0, |it| it.1);
        clock::sleep(self.backoff.get().mul_f64(self.jitter(calls))).await;
    }

    /// Part of a pause, from a half to the whole: instances that lost the
    /// platform together don't come back together.
    fn jitter(&self, calls: u32) -> f64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.instance.as_bytes());
        hasher.update(&calls.to_le_bytes());
        let random_byte = hasher.finalize().as_bytes()[0];
        0.5 + f64::from(random_byte) / 512.0
    }
}

/// Reads the configuration whenever it is the turn of `node`.
async fn read_config_in_turn(
    node: Rc<Node>,
    reader: Rc<TableReader<dyn Table<Row = ConfigDocument>>>,
) {
    let mut full_read_done = false;
    loop {
        let wait = match reader.is_failing() {
            // Others may renew what is known, but not show that the platform
            // answers here again.
            true => Duration::ZERO,
            false => node.wait_for_config_turn().await,
        };
        // Peers may have seen it later than this instance has.
        let after = node.config_observation().table_version;
        let query = match full_read_done {
            true => Query::Changes { after, wait },
            false => Query::All,
        };
        match reader.read(query).await {
            Ok(page) => {
                full_read_done = true;
                let before = node.config_observation();
                node.apply_config_page(&page);
                if node.config_observation() == before {
                    // An old view, or nothing that can be read: the next look is
                    // due at once and would be as good.
                    clock::sleep(node.config_poll_wait()).await;
                }
            }
            Err(ReadError::Compacted) => full_read_done = false,
            Err(_) => reader.back_off().await,
        }
    }
}

/// Fetches the configuration whenever a peer knows a newer one.
///
/// From the platform, as all query at once and one instance's link is narrow; from
/// the peer where the platform does not answer here in the usual time, or shows an
/// old view.
async fn fetch_newer_config(
    node: Rc<Node>,
    reader: Rc<TableReader<dyn Table<Row = ConfigDocument>>>,
) {
    loop {
        let sources = node.wait_for_newer_config().await;
        let after = node.config_observation().table_version;
        if after > 0 && !reader.is_failing() {
            let wait = Duration::ZERO;
            let reading = reader.read(Query::Changes { after, wait });
            if let Some(Ok(page)) = clock::timeout(ANSWER_TIMEOUT, reading).await {
                node.apply_config_page(&page);
            }
        }
        node.fetch_config(&sources, ANSWER_TIMEOUT).await;
        let version = node.config_observation().config_version;
        if sources
            .iter()
            .any(|it| it.observation.config_version > version)
        {
            clock::sleep(MIN_BACKOFF).await;
        }
    }
}

async fn watch_targets(node: Rc<Node>, reader: TableReader<dyn Table<Row = TargetRow>>) {
    loop {
        let page = reader.read_all().await;
        let targets = page.rows.into_iter();
        let targets = targets.filter_map(|(id, target)| target.map(|it| (id, it)));
        node.replace_targets(page.version, targets.collect());
        loop {
            node.wait_for_targets_turn().await;
            let version = node.targets_version().unwrap_or_default();
            match reader.changes(version, Duration::ZERO).await {
                Some(page) => node.update_targets(page.version, page.rows),
                None => break,
            }
        }
    }
}

async fn watch_instances(node: Rc<Node>, reader: TableReader<dyn InstanceTable>) {
    loop {
        let sent = clock::now();
        match reader.table.register(reader.answer_timeout()).await {
            Ok(()) => break,
            Err(fault) => reader.record_failure(&fault, sent),
        }
        reader.back_off().await;
    }
    loop {
        let mut page = reader.read_all().await;
        loop {
            for (name, address) in &page.rows {
                match address {
                    Some(address) => node.membership().add_address(*address),
                    None => info!(reader.log, "instance left"; "instance" => &**name),
                }
            }
            match reader.changes(page.version, INSTANCES_POLL_WAIT).await {
                Some(changes) => page = changes,
                None => break,
            }
        }
    }
}
