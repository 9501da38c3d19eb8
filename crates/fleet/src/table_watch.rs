/*!
Watches on the platform's tables.

A [`TableReader`] reads a whole table once and then asks for its changes. While
the platform is unavailable, the last known state stays in use.

A query that waits for a change and one whose answer was lost look the same
until the wait ends. Therefore nothing that has a deadline depends on one query:
the wait takes only a part of that deadline, a query that is sent while the
platform may still be unavailable doesn't wait, and state that is too old is
read again ([`read_schedule`](crate::read_schedule)), whichever query or peer
should have delivered it.
*/

use std::{cell::Cell, collections::BTreeMap, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock, spawn};
use derive_more::{Display, Error};
use futures_util::future::{Either, select};
use slog::{Logger, info, warn};

use crate::{
    Target,
    evacuation::EvacuationRow,
    identity::{Claim, IdentityStore},
    node::Node,
    read_schedule::Schedule,
};

/// Initial and shortest timeout of an answer, some hundred times the usual
/// latency.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest timeout of an answer from a slow platform. Together with
/// [`MAX_BACKOFF`] it ends within 3 s, after which the platform must count as
/// available again.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout as a multiple of the last answer's latency.
const TIMEOUT_FACTOR: u32 = 3;

/// Time after which the latency of an answer says nothing about the next one.
/// The platform must count as available 3 s after a disruption.
const TIMEOUT_MEMORY: Duration = Duration::from_secs(3);

/// Longest wait for a change of the instances. An instance writes its own row
/// before it reads the others. Of two new instances, the later one therefore
/// knows the earlier one, and its heartbeats make it known there. The wait
/// covers rows that a stale view did not show.
const INSTANCES_POLL_WAIT: Duration = Duration::from_secs(24);

/// Pause between two reads of the instances. Instances that start together register
/// one after the other, and each row would otherwise cost every other instance a
/// query.
const INSTANCES_READ_PAUSE: Duration = Duration::from_millis(250);

/// Time in which peers report the identities of earlier processes before the first
/// claim of one.
const REPORT_TIME: Duration = Duration::from_millis(50);

/// Time after which an identity that peers report is used before it is stored.
const CLAIM_PATIENCE: Duration = Duration::from_millis(600);

/// Time between two looks at what changes in the list of targets while the whole list is
/// read, half of the shortest notice of a target that leaves.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(1_000);

/// First pause after a failed query.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause after a failed query, well within the deadline of a
/// configuration.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Timing of configuration reads, as fractions of the deadline within which a
/// new configuration must be in force. Two heartbeats may be late or lost, a
/// fifth of a deadline of 2 s, before another instance reads by itself; then one
/// query and its retry still fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigTiming {
    /// Longest wait for a change by the instance of the first rank.
    pub poll_wait: Duration,
    /// Ages of the configuration at which the instances read it.
    pub schedule: Schedule,
}

impl ConfigTiming {
    /// Fraction for the wait of the first rank.
    const POLL_WAIT_FRACTION: f64 = 0.3;

    /// Fraction after which the second rank reads: longer than a wait and two
    /// heartbeats.
    const SECOND_READ_FRACTION: f64 = 0.5;

    /// Additional fraction for the third rank, so that the second can inform it.
    const READ_STEP_FRACTION: f64 = 0.05;

    /// Shortest deadline in use, so that a setting of 0 causes no busy loop.
    const MIN_DEADLINE: Duration = Duration::from_millis(500);

    /// Returns the timing for configurations that must be in force within
    /// `deadline`.
    pub fn within(deadline: Duration) -> ConfigTiming {
        let deadline = deadline.max(ConfigTiming::MIN_DEADLINE);
        ConfigTiming {
            poll_wait: deadline.mul_f64(ConfigTiming::POLL_WAIT_FRACTION),
            schedule: Schedule {
                first_age: Duration::ZERO,
                second_age: deadline.mul_f64(ConfigTiming::SECOND_READ_FRACTION),
                age_step: deadline.mul_f64(ConfigTiming::READ_STEP_FRACTION),
                max_age: deadline
                    .mul_f64(ConfigTiming::SECOND_READ_FRACTION + ConfigTiming::READ_STEP_FRACTION),
            },
        }
    }
}

/// Query to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Return all rows.
    All,
    /// Return the rows that changed after a version.
    Changes {
        /// Version.
        after: u64,
        /// Longest time to wait for the first change.
        wait: Duration,
    },
}

impl Query {
    /// Returns the longest time that the answer may wait for a change.
    fn wait(self) -> Duration {
        match self {
            Query::All => Duration::ZERO,
            Query::Changes { wait, .. } => wait,
        }
    }
}

/// Rows at one version of the platform's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// Rows.
    pub rows: Vec<T>,
    /// Version.
    pub version: u64,
}

/// Failure of a query.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// Changes since that version are no longer available.
    #[display("history is no longer available")]
    Compacted,
    /// The changes are more than one answer may hold. They would be as many again.
    #[display("{detail}")]
    TooLarge {
        /// Query and cause.
        detail: String,
    },
    /// There was no answer in time.
    #[display("{detail}")]
    Lost {
        /// Query and cause.
        detail: String,
    },
    /// The query was refused, or its answer is unusable.
    #[display("{detail}")]
    Refused {
        /// Query and cause.
        detail: String,
    },
}

/// Table of the platform.
pub trait Table {
    /// Row, or the tombstone of a removed one.
    type Row;

    /// Returns the name for logs.
    fn name(&self) -> &'static str;

    /// Reads rows. The query fails as lost if its answer takes `timeout` longer
    /// than the wait that the query allows.
    fn read(
        &self,
        query: Query,
        timeout: Duration,
    ) -> LocalFuture<'static, Result<Page<Self::Row>, ReadError>>;

    /// Returns the version after which changes complete the reading of the whole table
    /// that is under way; `None` before its first rows and without one.
    fn reading_version(&self) -> Option<u64> {
        None
    }
}

/// Table of the entry instances, which this project writes itself.
pub trait InstanceTable: Table<Row = InstanceRow> {
    /// Writes the row of this instance.
    fn register(&self, timeout: Duration) -> LocalFuture<'static, Result<(), ReadError>>;
}

/// Row of the operator's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRow {
    /// Configuration document.
    Config(Rc<str>),
    /// Request to evacuate a failure domain.
    Evacuation(EvacuationRow),
}

/// Row of a target; `None` if it was removed or can't be used.
pub type TargetRow = (Rc<str>, Option<Target>);

/// Row of an entry instance; `None` if it was removed.
pub type InstanceRow = (Rc<str>, Option<SocketAddr>);

/// Keeps one instance up to date with the tables.
pub struct Watcher {
    node: Rc<Node>,
    log: Logger,
    recovered: Rc<Notify>,
}

impl Watcher {
    /// Creates a watcher without any watch.
    pub fn new(node: &Rc<Node>, log: &Logger) -> Watcher {
        Watcher {
            node: node.clone(),
            log: log.clone(),
            recovered: Rc::default(),
        }
    }

    /// Watches the operator's table, with the configuration and the evacuated
    /// domains, until the process ends.
    ///
    /// One task reads when it is this instance's turn, another when a peer knows
    /// a newer configuration.
    pub fn watch_configuration(&self, table: Rc<dyn Table<Row = OperatorRow>>) {
        let reader = Rc::new(self.reader(table));
        drop(spawn(read_config_in_turn(
            self.node.clone(),
            reader.clone(),
        )));
        drop(spawn(fetch_newer_config(self.node.clone(), reader)));
    }

    /// Watches the list of targets until the process ends.
    pub fn watch_targets(&self, table: Rc<dyn Table<Row = TargetRow>>) {
        let follower = self.reader(table.clone());
        let reader = self.reader(table);
        drop(spawn(watch_targets(self.node.clone(), reader, follower)));
    }

    /// Claims an identity for this process.
    pub fn claim_identity(&self, store: Rc<dyn IdentityStore>) {
        drop(spawn(claim_identity(
            self.node.clone(),
            store,
            self.log.clone(),
        )));
    }

    /// Registers the instance, and watches the others until the process ends.
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

/// Reads one table, with adaptive timeouts and back-off.
struct TableReader<T: ?Sized> {
    table: Rc<T>,
    instance: Rc<str>,
    log: Logger,
    /// Timeout of the next answer, and when it was set.
    timeout: Cell<(Duration, Instant)>,
    backoff: Cell<Duration>,
    /// Start of the first of the consecutive failures, and their number.
    failures: Cell<Option<(Instant, u32)>>,
    /// True while the last successful read was of the whole table.
    last_was_full: Cell<bool>,
    /// Notified when queries to any table are answered again.
    recovered: Rc<Notify>,
}

impl<T: Table + ?Sized> TableReader<T> {
    /// Returns true while the last query failed.
    fn is_failing(&self) -> bool {
        self.failures.get().is_some()
    }

    /// Reads the whole table, with retries until it succeeds.
    async fn read_all(&self) -> Page<T::Row> {
        loop {
            match self.read(Query::All).await {
                Ok(page) => return page,
                Err(_) => self.back_off().await,
            }
        }
    }

    /// Reads the changes after `version`. Returns `None` if the whole table must
    /// be read again.
    async fn changes(&self, after: u64, wait: Duration) -> Option<Page<T::Row>> {
        loop {
            match self.read(Query::Changes { after, wait }).await {
                Ok(page) => return Some(page),
                Err(ReadError::Compacted | ReadError::TooLarge { .. }) => return None,
                Err(_) => self.back_off().await,
            }
        }
    }

    /// Sends one query and records the result.
    async fn read(&self, query: Query) -> Result<Page<T::Row>, ReadError> {
        let query = match query {
            // If it were lost, that would show only after the wait.
            Query::Changes { after, .. } if self.is_failing() => Query::Changes {
                after,
                wait: Duration::ZERO,
            },
            query => query,
        };
        let sent_at = clock::now();
        let answer = match query.wait().is_zero() {
            false => self.wait(query).await,
            true => self.table.read(query, self.answer_timeout()).await,
        };
        match &answer {
            Ok(_) => {
                self.record_answer();
                self.adapt_timeout(query, clock::now() - sent_at);
                self.last_was_full.set(query == Query::All);
            }
            Err(cause @ (ReadError::Compacted | ReadError::TooLarge { .. })) => {
                self.record_answer();
                info!(self.log, "changes not available, reading the whole table";
                    "table" => self.table.name(), "query" => ?query, "cause" => %cause);
                // A whole table that is older than the available history comes
                // from a stale view.
                if self.last_was_full.replace(false) {
                    clock::sleep(MIN_BACKOFF).await;
                }
            }
            Err(fault) => self.record_failure(fault, sent_at),
        }
        answer
    }

    /// Sends a query that waits for a change. Sends it again if queries to
    /// another table were lost and are answered again, as this one may have been
    /// lost too.
    async fn wait(&self, query: Query) -> Result<Page<T::Row>, ReadError> {
        loop {
            let answer = self.table.read(query, self.answer_timeout());
            let recovered = pin!(self.recovered.notified());
            match select(answer, recovered).await {
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

    /// Records that the query sent at `sent_at` failed.
    fn record_failure(&self, fault: &ReadError, sent_at: Instant) {
        let timeout = self.answer_timeout();
        let (since, calls) = self.failures.get().unwrap_or((sent_at, 0));
        self.failures.set(Some((since, calls + 1)));
        let backoff = (self.backoff.get() * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff.set(backoff);
        if let ReadError::Lost { .. } = fault {
            // The platform may only be slow.
            self.set_timeout(timeout * 2);
        }
        warn!(self.log, "store lost"; "table" => self.table.name(), "error" => %fault,
            "calls" => calls + 1, "waited_ms" => (clock::now() - sent_at).as_millis(),
            "limit_ms" => self.answer_timeout().as_millis(), "pause_ms" => backoff.as_millis());
    }

    /// Returns the timeout of the next answer.
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

    /// Adapts the timeout to an answer that took `elapsed`, including its wait.
    fn adapt_timeout(&self, query: Query, elapsed: Duration) {
        match elapsed.checked_sub(query.wait()) {
            Some(answer) => self.set_timeout(answer.saturating_mul(TIMEOUT_FACTOR)),
            // A change ended the wait early; the answer took an unknown part of
            // this time.
            None => self.set_timeout(
                elapsed
                    .saturating_mul(TIMEOUT_FACTOR)
                    .min(self.answer_timeout()),
            ),
        }
    }

    /// Pauses after a failed query.
    async fn back_off(&self) {
        let calls = self.failures.get().map_or(0, |it| it.1);
        clock::sleep(self.backoff.get().mul_f64(self.jitter(calls))).await;
    }

    /// Returns a fraction of a pause, from a half to the whole, so that
    /// instances that lost the platform together don't retry at the same moment.
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
    reader: Rc<TableReader<dyn Table<Row = OperatorRow>>>,
) {
    let mut full_read_done = false;
    loop {
        let wait = match reader.is_failing() {
            // Peers may confirm the configuration, but can't show that the
            // platform answers this instance again.
            true => Duration::ZERO,
            false => node.wait_for_config_turn().await,
        };
        // Peers may have seen a later table version than this instance.
        let after = node.operator_table_version();
        let query = match full_read_done {
            true => Query::Changes { after, wait },
            false => Query::All,
        };
        match reader.read(query).await {
            Ok(page) => {
                let before = node.config_observation();
                full_read_done = node.apply_operator_page(query, page).is_ok();
                if full_read_done && node.config_observation() == before {
                    // The view is stale or its rows are unreadable. The next
                    // read would be due at once and give the same result.
                    clock::sleep(node.config_poll_wait()).await;
                }
            }
            Err(ReadError::Compacted | ReadError::TooLarge { .. }) => full_read_done = false,
            Err(_) => reader.back_off().await,
        }
    }
}

/// Fetches the configuration whenever a peer knows a newer one.
///
/// The platform is asked first, as all instances fetch at the same time and the
/// bandwidth of one peer is limited. The peer is asked if the platform does not
/// answer in the usual time, or shows a stale view.
async fn fetch_newer_config(node: Rc<Node>, reader: Rc<TableReader<dyn Table<Row = OperatorRow>>>) {
    loop {
        let sources = node.wait_for_newer_config().await;
        let after = node.operator_table_version();
        if after > 0 && !reader.is_failing() {
            let wait = Duration::ZERO;
            let query = Query::Changes { after, wait };
            if let Some(Ok(page)) = clock::timeout(ANSWER_TIMEOUT, reader.read(query)).await {
                // The next read in turn notices missing changes too.
                let _ = node.apply_operator_page(query, page);
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

type TargetReader = TableReader<dyn Table<Row = TargetRow>>;

async fn watch_targets(node: Rc<Node>, reader: TargetReader, follower: TargetReader) {
    loop {
        let page = read_all_targets(&node, &reader, &follower).await;
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

/// Reads the whole list of targets, and follows its changes meanwhile.
async fn read_all_targets(
    node: &Node,
    reader: &TargetReader,
    follower: &TargetReader,
) -> Page<TargetRow> {
    let mut followed = FollowedChanges::default();
    let mut reading = pin!(reader.read_all());
    let page = loop {
        let following = pin!(async {
            clock::sleep(FOLLOW_INTERVAL).await;
            followed.follow(node, follower).await;
        });
        if let Either::Left((page, _)) = select(reading.as_mut(), following).await {
            break page;
        }
    };
    if followed.version.is_some() {
        // Later pages may have shown newer rows than those that were followed.
        followed.follow(node, follower).await;
    }
    followed.complete(page)
}

/// Changes of the list of targets during a reading of the whole list.
#[derive(Default)]
struct FollowedChanges {
    /// Version after which all changes are known.
    from: Option<u64>,
    /// Version up to which they are known.
    version: Option<u64>,
    rows: BTreeMap<Rc<str>, Option<Target>>,
}

impl FollowedChanges {
    /// Reads the next changes and lets `node` use them. Failures are left to the next
    /// call.
    async fn follow(&mut self, node: &Node, reader: &TargetReader) {
        let Some(after) = self.version.or_else(|| reader.table.reading_version()) else {
            return;
        };
        let wait = Duration::ZERO;
        match reader.read(Query::Changes { after, wait }).await {
            Ok(page) => {
                self.from.get_or_insert(after);
                self.version = Some(page.version);
                self.rows.extend(page.rows.iter().cloned());
                node.amend_targets(page.rows);
            }
            Err(ReadError::Compacted | ReadError::TooLarge { .. }) => {
                *self = FollowedChanges::default();
            }
            Err(_) => {}
        }
    }

    /// Adds the changes to the rows of the whole list.
    fn complete(self, page: Page<TargetRow>) -> Page<TargetRow> {
        let mut rows: BTreeMap<_, _> = page.rows.into_iter().collect();
        rows.extend(self.rows);
        // A reading whose last pages came from an older view lacks changes before that.
        let is_complete = self.from.is_some_and(|it| it <= page.version);
        let version = self.version.filter(|_| is_complete);
        Page {
            rows: rows.into_iter().collect(),
            version: version.unwrap_or(page.version),
        }
    }
}

/// Claims an identity, with retries until one is stored.
async fn claim_identity(node: Rc<Node>, store: Rc<dyn IdentityStore>, log: Logger) {
    let mut claim = Claim::default();
    let mut timeout = ANSWER_TIMEOUT;
    clock::sleep(REPORT_TIME).await;
    let since = clock::now();
    loop {
        let reported = node.reported_identities();
        let (identity, previous) = claim.next(node.name(), &reported);
        match store.claim(identity, previous, timeout).await {
            Ok(result) if claim.record(result) => {
                info!(log, "identity claimed"; "number" => identity.number(),
                    "life" => identity.life());
                node.set_identity(identity);
                return;
            }
            Ok(result) => info!(log, "identity not available"; "number" => identity.number(),
                "life" => identity.life(), "result" => ?result),
            Err(error) => {
                warn!(log, "identity not claimed"; "error" => %error);
                if clock::now() - since > CLAIM_PATIENCE
                    && let Some(identity) = claim.without_store(&reported)
                {
                    info!(log, "identity used before it is stored"; "number" => identity.number(),
                        "life" => identity.life(), "reported" => reported.len());
                    node.set_identity(identity);
                }
                timeout = (timeout * 2).min(MAX_ANSWER_TIMEOUT);
                clock::sleep(MIN_BACKOFF).await;
            }
        }
    }
}

async fn watch_instances(node: Rc<Node>, reader: TableReader<dyn InstanceTable>) {
    loop {
        let sent_at = clock::now();
        match reader.table.register(reader.answer_timeout()).await {
            Ok(()) => break,
            Err(fault) => reader.record_failure(&fault, sent_at),
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
            clock::sleep(INSTANCES_READ_PAUSE).await;
            match reader.changes(page.version, INSTANCES_POLL_WAIT).await {
                Some(changes) => page = changes,
                None => break,
            }
        }
    }
}
