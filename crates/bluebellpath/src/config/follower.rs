/*!
Keeps [`LocalConfig`] up to date.

Two tasks: one reads the head when it is this instance's turn, one takes from
peers' heartbeats what they know. The two instances with the lowest names read
all the time; the others only when their confirmation grows old.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, clock, spawn};
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{Logger, info, warn};

use super::{Document, LocalConfig, Reading, Revision, Store, Timing, Update};
use crate::{
    peer::{Heartbeat, Link, Membership, Peer, Reply, Request},
    platform::{Error, Table},
};

/// Instances of a domain that read all the time. The second one keeps a change
/// within its bound when the first is cut off while the table is slow.
const READERS: u32 = 2;

/// Most readings that wait for the table at once.
const MAX_READINGS: u32 = 12;

/// Time after which another peer is asked beside one that has not answered, many
/// round trips within a domain.
const HEDGE: Duration = Duration::from_millis(100);

/// Changes read at once by an instance that lags.
const PAGE: usize = 600;

/// Keeps [`LocalConfig`] up to date.
pub struct Follower {
    current: Rc<LocalConfig>,
    store: Store,
    membership: Rc<Membership>,
    link: Rc<dyn Link>,
    log: Logger,
    started: Instant,
    readings: Cell<u32>,
    /// Proposed version without effective time, and when it was first seen.
    undated: RefCell<Option<(u64, Instant)>>,
}

impl Follower {
    /// Follower of `current`.
    pub fn new(
        current: Rc<LocalConfig>,
        table: Rc<dyn Table>,
        membership: Rc<Membership>,
        link: Rc<dyn Link>,
        log: Logger,
    ) -> Follower {
        Follower {
            current,
            store: Store::new(table),
            membership,
            link,
            log,
            started: clock::now(),
            readings: Cell::new(0),
            undated: RefCell::default(),
        }
    }

    /// Follows for ever, unless the configuration is fixed.
    pub async fn run(self: Rc<Self>) {
        if self.current.is_fixed() {
            return;
        }
        drop(spawn(self.clone().spread()));
        loop {
            if self.is_due() && self.readings.get() < MAX_READINGS {
                drop(spawn(self.clone().read()));
            }
            clock::sleep(self.timing().interval).await;
        }
    }

    fn timing(&self) -> &Timing {
        self.current.timing()
    }

    /// True when this instance should read the head by itself.
    fn is_due(&self) -> bool {
        let own = &self.membership.identity().name;
        let peers = self.membership.peers();
        let rank = peers.iter().filter(|it| it.identity.name < *own).count() as u32;
        let Some(read_ms) = self.current.read_ms().filter(|_| rank >= READERS) else {
            return true;
        };
        let age = Duration::from_millis(clock::wall().saturating_sub(read_ms));
        age >= self.timing().stale + self.timing().stale_step * (rank - READERS).min(2)
    }

    /// One reading. Readings overlap, so that a slow table delays each of them
    /// but not their rate.
    async fn read(self: Rc<Self>) {
        self.readings.set(self.readings.get() + 1);
        let result = self.read_once().await;
        self.readings.set(self.readings.get() - 1);
        if let Err(error) = result {
            warn!(self.log, "configuration not read"; "error" => %error);
        }
    }

    async fn read_once(&self) -> Result<(), Error> {
        // Taken before the request: the reading shows what was there after it.
        let read_ms = clock::wall();
        let newest = self.current.newest();
        let ahead = clock::timeout(self.timing().reading, self.store.ahead(newest)).await;
        // One that takes longer would confirm nothing any more.
        let Some(ahead) = ahead.transpose()? else {
            return Ok(());
        };
        let Some(reading) = ahead.reading else {
            return self.found().await;
        };
        if !self.current.is_loaded() {
            self.load(&reading).await?;
        }
        self.learn(&ahead.changes);
        let newest = reading.accepted_version();
        if self.current.newest() < newest {
            let changes = self.store.history(self.current.newest(), PAGE).await?;
            self.learn(&changes);
        }
        if self.current.newest() < newest {
            self.load(&reading).await?;
        }
        match reading.head.effective_ms {
            Some(_) => self.current.observe(reading.head.version, Some(read_ms)),
            None => self.date_orphan(reading).await?,
        }
        Ok(())
    }

    fn learn(&self, changes: &[Revision]) {
        if !self.current.learn(changes) {
            warn!(
                self.log,
                "a change of the configuration does not fit its digest"
            );
        }
    }

    /// Writes the first version of all.
    async fn found(&self) -> Result<(), Error> {
        let document = Document::default();
        self.store.found(&document, clock::wall()).await?;
        let ahead = self.store.ahead(0).await?;
        match ahead.reading {
            Some(reading) => self.load(&reading).await,
            None => Ok(()),
        }
    }

    /// Takes the whole configuration from the table.
    async fn load(&self, reading: &Reading) -> Result<(), Error> {
        let newest = reading.head.snapshot;
        let start = self.store.start(newest, clock::wall()).await?;
        let Some(start) = start else { return Ok(()) };
        let changes = self.store.history(start.version, PAGE).await?;
        if !self.current.install(start, &changes) {
            warn!(
                self.log,
                "the configuration in the table does not fit its digests"
            );
        }
        info!(self.log, "configuration loaded"; "version" => self.current.newest());
        Ok(())
    }

    /// Dates a change whose proposer has not done so for some time.
    async fn date_orphan(&self, reading: Reading) -> Result<(), Error> {
        let version = reading.head.version;
        let first_seen = {
            let mut undated = self.undated.borrow_mut();
            let (_, seen) = undated
                .filter(|it| it.0 == version)
                .unwrap_or((version, clock::now()));
            *undated = Some((version, seen));
            seen
        };
        if clock::now() - first_seen < self.timing().orphaned {
            return Ok(());
        }
        let Some(accepted) = self.store.change(version).await? else {
            return Ok(());
        };
        let effective_ms = clock::wall() + self.timing().delay_ms();
        self.store.date(&reading, &accepted, effective_ms).await?;
        Ok(())
    }

    /// Takes what peers know, heartbeat by heartbeat.
    async fn spread(self: Rc<Self>) {
        loop {
            let changed = self.membership.changed().notified();
            if self.current.is_loaded() {
                self.catch_up().await;
            }
            for peer in self.membership.peers() {
                self.observe(&peer.heartbeat);
            }
            if !self.current.is_loaded() {
                self.bootstrap().await;
            }
            changed.await;
        }
    }

    /// Fetches what peers know and this instance does not, from one peer after
    /// the other; one that does not answer at once holds up none of the others.
    async fn catch_up(&self) {
        let mut fetching = FuturesUnordered::new();
        for peer in self.membership.peers() {
            if peer.heartbeat.config_version <= self.current.newest() {
                continue;
            }
            fetching.push(async move { self.fetch(&peer).await });
            if let Some(Some(Some(update))) = clock::timeout(HEDGE, fetching.next()).await {
                self.install(update);
            }
        }
        let newest = || {
            let peers = self.membership.peers().into_iter();
            peers.map(|it| it.heartbeat.config_version).max()
        };
        while newest() > Some(self.current.newest()) {
            match fetching.next().await {
                Some(Some(update)) => self.install(update),
                Some(None) => {}
                None => return,
            }
        }
    }

    fn observe(&self, heartbeat: &Heartbeat) {
        if self.current.is_loaded() && heartbeat.config_version > 0 {
            self.current
                .observe(heartbeat.config_version, heartbeat.config_read_ms);
        }
    }

    async fn fetch(&self, peer: &Peer) -> Option<Update> {
        let after = self.current.newest();
        let call = self
            .link
            .call(peer.identity.address, Request::Config { after });
        match clock::timeout(self.timing().call, call).await {
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
            self.current.install(snapshot, &update.changes);
        } else {
            self.learn(&update.changes);
        }
        if update.read_ms.is_some() && self.current.newest() >= update.heard {
            self.current.observe(update.heard, update.read_ms);
        }
    }

    /// Takes a configuration from peers, for an instance that has none.
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
        // The table may have answered meanwhile.
        let Some(best) = best.filter(|_| !self.current.is_loaded()) else {
            return;
        };
        let until = self
            .timing()
            .confirmed_until(best.read_ms.unwrap_or_default());
        let confirmed = clock::wall() < until;
        let settled = clock::now() - self.started >= self.timing().settle;
        // A version that somebody heard of and nobody has may have been acted
        // under: only the table can tell.
        let whole = newest(&best) >= heard;
        if confirmed || (settled && whole) {
            info!(self.log, "configuration from a peer"; "version" => newest(&best));
            self.install(best);
        }
    }
}

/// Newest version in an update for an instance that knows nothing.
fn newest(update: &Update) -> u64 {
    let last = update.changes.last().map(|it| it.version);
    let start = update.snapshot.as_ref().map(|it| it.version);
    last.or(start).unwrap_or(0)
}
