/*!
Keeps [`LocalConfig`] up to date.

One task reads the head from the table, another fetches newer versions that peers
announce in their heartbeats. In each domain, the two instances with the lowest
names read at every interval. The others read only when their last confirmed read
is too old.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, clock, spawn};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{Logger, info, warn};

use super::{Document, HeadRow, LocalConfig, Revision, Store, Timing, Update};
use crate::{
    peer::{Heartbeat, Link, Membership, Peer, Reply, Request},
    platform::{Error, Table},
};

/// Number of instances in a domain that read at every interval. The second one
/// keeps the delay of a change within its bound when the first is cut off while
/// the table is slow.
const READERS_PER_DOMAIN: u32 = 2;

/// Maximum concurrent reads of the head.
const MAX_CONCURRENT_READS: u32 = 12;

/// Delay before the next peer is asked while an earlier one has not answered. It is
/// many round trips within a domain.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Maximum revisions read at once by an instance that lags.
const HISTORY_PAGE: usize = 600;

/// Keeps [`LocalConfig`] up to date.
pub struct Follower {
    local: Rc<LocalConfig>,
    store: Store,
    membership: Rc<Membership>,
    link: Rc<dyn Link>,
    log: Logger,
    started: Instant,
    reads_in_flight: Cell<u32>,
    /// Proposed version without an effective time, and when it was first seen.
    undated_version: RefCell<Option<(u64, Instant)>>,
}

impl Follower {
    /// Creates a follower that updates `local`.
    pub fn new(
        local: Rc<LocalConfig>,
        table: Rc<dyn Table>,
        membership: Rc<Membership>,
        link: Rc<dyn Link>,
        log: Logger,
    ) -> Follower {
        Follower {
            local,
            store: Store::new(table),
            membership,
            link,
            log,
            started: clock::now(),
            reads_in_flight: Cell::new(0),
            undated_version: RefCell::default(),
        }
    }

    /// Runs for ever, or returns at once if the configuration is fixed.
    pub async fn run(self: Rc<Self>) {
        if self.local.is_fixed() {
            return;
        }
        drop(spawn(self.clone().follow_peers()));
        loop {
            if self.should_read() && self.reads_in_flight.get() < MAX_CONCURRENT_READS {
                drop(spawn(self.clone().read()));
            }
            clock::sleep(self.timing().read_interval).await;
        }
    }

    fn timing(&self) -> &Timing {
        self.local.timing()
    }

    /// True if this instance should read the head now.
    fn should_read(&self) -> bool {
        let own = &self.membership.identity().name;
        let peers = self.membership.peers();
        let rank = peers.iter().filter(|it| it.identity.name < *own).count() as u32;
        let Some(read_ms) = self.local.read_ms().filter(|_| rank >= READERS_PER_DOMAIN) else {
            return true;
        };
        let age = Duration::from_millis(clock::wall().saturating_sub(read_ms));
        age >= self.timing().stale_after
            + self.timing().stale_step * (rank - READERS_PER_DOMAIN).min(2)
    }

    /// Reads the head once. Reads overlap, so that a slow table delays each of them
    /// without lowering their rate.
    async fn read(self: Rc<Self>) {
        self.reads_in_flight.set(self.reads_in_flight.get() + 1);
        let result = self.read_once().await;
        self.reads_in_flight.set(self.reads_in_flight.get() - 1);
        if let Err(error) = result {
            warn!(self.log, "configuration not read"; "error" => %error);
        }
    }

    async fn read_once(&self) -> Result<(), Error> {
        // Taken before the request, as the response shows a later state.
        let read_ms = clock::wall();
        let newest = self.local.newest();
        let latest = clock::timeout(
            self.timing().read_timeout,
            self.store.head_and_changes(newest),
        )
        .await;
        // A read that takes longer would not confirm anything.
        let Some(latest) = latest.transpose()? else {
            return Ok(());
        };
        let Some(head_row) = latest.head_row else {
            return self.initialize().await;
        };
        if !self.local.is_loaded() {
            self.load(&head_row).await?;
        }
        self.append(&latest.changes);
        let newest = head_row.accepted_version();
        if self.local.newest() < newest {
            let changes = self
                .store
                .history(self.local.newest(), HISTORY_PAGE)
                .await?;
            self.append(&changes);
        }
        if self.local.newest() < newest {
            self.load(&head_row).await?;
        }
        match head_row.head.effective_ms {
            Some(_) => self.local.confirm(head_row.head.version, Some(read_ms)),
            None => self.complete_abandoned(head_row).await?,
        }
        Ok(())
    }

    fn append(&self, changes: &[Revision]) {
        if !self.local.append(changes) {
            warn!(
                self.log,
                "a change of the configuration does not match its digest"
            );
        }
    }

    /// Writes the first version to an empty table and loads it.
    async fn initialize(&self) -> Result<(), Error> {
        let document = Document::default();
        self.store.initialize(&document, clock::wall()).await?;
        let latest = self.store.head_and_changes(0).await?;
        match latest.head_row {
            Some(head_row) => self.load(&head_row).await,
            None => Ok(()),
        }
    }

    /// Loads the whole configuration from the table.
    async fn load(&self, head_row: &HeadRow) -> Result<(), Error> {
        let newest = head_row.head.snapshot;
        let base = self.store.snapshot_in_force(newest, clock::wall()).await?;
        let Some(base) = base else { return Ok(()) };
        let changes = self.store.history(base.version, HISTORY_PAGE).await?;
        if !self.local.install(base, &changes) {
            warn!(
                self.log,
                "the configuration in the table does not match its digests"
            );
        }
        info!(self.log, "configuration loaded"; "version" => self.local.newest());
        Ok(())
    }

    /// Sets the effective time of a revision whose proposer has not done so within
    /// [`Timing::undated_timeout`].
    async fn complete_abandoned(&self, head_row: HeadRow) -> Result<(), Error> {
        let version = head_row.head.version;
        let first_seen = {
            let mut undated_version = self.undated_version.borrow_mut();
            let (_, seen) = undated_version
                .filter(|it| it.0 == version)
                .unwrap_or((version, clock::now()));
            *undated_version = Some((version, seen));
            seen
        };
        if clock::now() - first_seen < self.timing().undated_timeout {
            return Ok(());
        }
        let Some(revision) = self.store.change(version).await? else {
            return Ok(());
        };
        let effective_ms = clock::wall() + self.timing().activation_delay_ms();
        self.store
            .set_effective_time(&head_row, &revision, effective_ms)
            .await?;
        Ok(())
    }

    /// Catches up with peers whenever the membership or a heartbeat changes.
    async fn follow_peers(self: Rc<Self>) {
        loop {
            let changed = self.membership.changed().notified();
            if self.local.is_loaded() {
                self.catch_up().await;
            }
            for peer in self.membership.peers() {
                self.confirm(&peer.heartbeat);
            }
            if !self.local.is_loaded() {
                self.bootstrap().await;
            }
            changed.await;
        }
    }

    /// Fetches newer versions from peers, one after the other. A slow peer delays
    /// the request to the next one by at most [`HEDGE_DELAY`].
    async fn catch_up(&self) {
        let mut fetching = FuturesUnordered::new();
        for peer in self.membership.peers() {
            if peer.heartbeat.config_version <= self.local.newest() {
                continue;
            }
            fetching.push(async move { self.fetch(&peer).await });
            if let Some(Some(Some(update))) = clock::timeout(HEDGE_DELAY, fetching.next()).await {
                self.install(update);
            }
        }
        let newest = || {
            let peers = self.membership.peers().into_iter();
            peers.map(|it| it.heartbeat.config_version).max()
        };
        while newest() > Some(self.local.newest()) {
            match fetching.next().await {
                Some(Some(update)) => self.install(update),
                Some(None) => {}
                None => return,
            }
        }
    }

    fn confirm(&self, heartbeat: &Heartbeat) {
        if self.local.is_loaded() && heartbeat.config_version > 0 {
            self.local
                .confirm(heartbeat.config_version, heartbeat.config_read_ms);
        }
    }

    async fn fetch(&self, peer: &Peer) -> Option<Update> {
        let after = self.local.newest();
        let call = self
            .link
            .call(peer.identity.address, Request::Config { after });
        match clock::timeout(self.timing().peer_timeout, call).await {
            Some(Ok(Reply::Config(update))) => Some(*update),
            Some(Ok(_)) | None => None,
            Some(Err(error)) => {
                warn!(self.log, "no configuration from a peer"; "error" => %error);
                None
            }
        }
    }

    fn install(&self, update: Update) {
        if let Some(snapshot) = update.snapshot {
            self.local.install(snapshot, &update.changes);
        } else {
            self.append(&update.changes);
        }
        if update.read_ms.is_some() && self.local.newest() >= update.heard {
            self.local.confirm(update.heard, update.read_ms);
        }
    }

    /// Loads the first configuration from peers.
    async fn bootstrap(&self) {
        let mut best: Option<Update> = None;
        let mut heard = 0;
        for peer in self.membership.peers() {
            let Some(update) = self.fetch(&peer).await else {
                continue;
            };
            heard = heard.max(update.heard).max(peer.heartbeat.config_version);
            if newest(&update) >= best.as_ref().map_or(0, newest) {
                best = Some(update);
            }
        }
        // The table may have supplied a configuration in the meantime.
        let Some(best) = best.filter(|_| !self.local.is_loaded()) else {
            return;
        };
        let until = self
            .timing()
            .confirmed_until(best.read_ms.unwrap_or_default());
        let confirmed = clock::wall() < until;
        let waited = clock::now() - self.started >= self.timing().peer_wait;
        // A version that a peer mentions and none holds may already have been used.
        // Only the table can supply it.
        let complete = newest(&best) >= heard;
        if confirmed || (waited && complete) {
            info!(self.log, "configuration from a peer"; "version" => newest(&best));
            self.install(best);
        }
    }
}

/// Newest version in an update for an instance without a configuration.
fn newest(update: &Update) -> u64 {
    let last = update.changes.last().map(|it| it.version);
    let snapshot = update.snapshot.as_ref().map(|it| it.version);
    last.or(snapshot).unwrap_or(0)
}
