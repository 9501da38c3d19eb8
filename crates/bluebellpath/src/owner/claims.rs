//! Claims of one incarnation.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, Notify, clock, spawn};
use futures_channel::oneshot;
use futures_util::future::join_all;

use super::{
    Claim, ClaimRow, Config, ExtensionReply, ExtensionRequest, Holder, Lookup, TenureReport,
    account, claim,
    claim::Grant,
    hold, keeper,
    known::Known,
    pending::{Op, Queue, Waiter},
    promise::Promises,
    shards::Shards,
    sweep, writer,
};
use crate::{
    job::{Digest, Incarnation, Key, Outcome},
    peer::Membership,
    platform::{Error, Table},
    settings::Domain,
};

/// Shards and claims of one incarnation.
pub struct Claims {
    pub(super) table: Rc<dyn Table>,
    pub(super) membership: Rc<Membership>,
    pub(super) incarnation: Incarnation,
    pub(super) domain: Domain,
    pub(super) domains: u16,
    pub(super) config: Config,
    pub(super) shards: Shards,
    pub(super) queue: Queue,
    pub(super) operations: Cell<u64>,
    pub(super) began: Instant,
    pub(super) releasing: Cell<bool>,
    pub(super) transactions: Cell<u64>,
    pub(super) known: Known,
    pub(super) promises: Promises,
    pub(super) hold: hold::State,
    /// Shards that are being taken over, and whether nobody accounts for them.
    pub(super) taking: RefCell<BTreeMap<u16, bool>>,
    /// Shards of which a take-over may still take effect.
    pub(super) unsure: RefCell<BTreeSet<u16>>,
    /// Shards whose last holder nobody accounts for, and until when.
    pub(super) doubtful: RefCell<BTreeMap<u16, Instant>>,
}

impl Claims {
    /// Claims in `table` on behalf of the instance that `membership` is of, in
    /// a system of `domains` domains.
    pub fn new(
        table: Rc<dyn Table>,
        membership: Rc<Membership>,
        domains: u16,
        config: Config,
    ) -> Claims {
        let identity = membership.identity();
        Claims {
            incarnation: identity.incarnation,
            domain: identity.domain,
            shards: Shards::new(identity.incarnation, config.shards),
            table,
            membership,
            domains,
            config,
            queue: Queue::default(),
            operations: Cell::new(0),
            began: clock::now(),
            releasing: Cell::new(false),
            transactions: Cell::new(0),
            known: Known::default(),
            promises: Promises::new(config.forget_promises),
            hold: hold::State::default(),
            taking: RefCell::default(),
            unsure: RefCell::default(),
            doubtful: RefCell::default(),
        }
    }

    /// Starts the tasks that keep leases and write claims.
    pub fn start(self: &Rc<Self>) {
        drop(spawn(keeper::run(self.clone())));
        drop(spawn(writer::run(self.clone())));
        drop(spawn(sweep::run(self.clone())));
    }

    /// True once this instance has had the time to hear of its peers.
    pub fn has_joined(&self) -> bool {
        clock::now() >= self.began + self.config.join
    }

    /// Who holds the shard of `key`.
    pub fn holder(&self, key: &Key) -> Holder {
        self.shards.get(self.shard(key)).holder
    }

    /// Shards whose lease this instance holds.
    pub fn held(&self) -> Vec<u16> {
        self.shards.held()
    }

    /// Signals that a shard changed hands.
    pub fn changed(&self) -> &Notify {
        &self.shards.changed
    }

    /// Claims `key` for the job with `digest`.
    ///
    /// Waits for as long as the table gives no definite answer. A caller that
    /// stops waiting must not start the job: its claim is dropped, or taken
    /// back where it took effect.
    pub async fn claim(&self, key: &Key, digest: Digest) -> Claim {
        if self.holder(key) != Holder::Here {
            return Claim::Moved;
        }
        if self.queue.len() >= self.config.max_pending {
            return Claim::Busy;
        }
        if let Some(claim) = self.remembered(key).await {
            return claim;
        }
        let (reply, claim) = oneshot::channel();
        let op = Op::Claim {
            key: key.clone(),
            digest,
            reply: Waiter::new(reply),
        };
        self.queue.push(self.shard(key), op);
        claim.await.unwrap_or(Claim::Moved)
    }

    /// What earlier holders left of the key, other than its row.
    async fn remembered(&self, key: &Key) -> Option<Claim> {
        if let Some(claimed) = self.promises.find(key) {
            return Some(Claim::Taken(claimed));
        }
        if !self.is_doubtful(self.shard(key)) {
            return None;
        }
        let row = self.read(key).await.ok().flatten();
        Some(row.map_or(Claim::Doubtful, Claim::Taken))
    }

    /// True while keys of the shard may have been used without a trace.
    pub(super) fn is_doubtful(&self, shard: u16) -> bool {
        let doubtful = self.doubtful.borrow();
        doubtful.get(&shard).is_some_and(|it| clock::now() < *it)
    }

    /// Time until which claims in memory may be acted on.
    pub fn held_until(&self) -> Rc<Cell<Instant>> {
        self.hold.until()
    }

    /// Answers a peer that can't reach the table and asks for a promise.
    pub fn promise(&self, hold: ExtensionRequest) -> ExtensionReply {
        hold::promise(self, hold)
    }

    /// What this instance knows of the tenure of `holder`.
    pub fn account(&self, holder: Incarnation) -> TenureReport {
        account::of(self, holder)
    }

    pub(super) fn know(&self, shard: u16, key: &Key) {
        self.known.insert(shard, key, self.config.max_known);
    }

    /// Records what became of a job that was claimed; without an outcome the
    /// key may be claimed anew.
    pub fn ended(&self, key: &Key, digest: Digest, grant: Grant, outcome: Option<Outcome>) {
        // The row of a claim in memory is not there yet.
        if grant.in_memory || self.queue.len() >= self.config.max_pending {
            return;
        }
        let op = Op::End {
            key: key.clone(),
            digest,
            version: grant.version,
            claimed_ms: grant.claimed_ms,
            outcome,
        };
        self.queue.push(self.shard(key), op);
    }

    /// Looks up whether `key` was used, in memory and in the table.
    pub async fn find(&self, key: &Key) -> Lookup {
        let in_memory = || self.promises.find(key).or_else(|| self.hold.find(key));
        if let Some(claimed) = in_memory() {
            return Lookup::Used(claimed);
        }
        let row = self.read(key).await;
        // A claim may have come to stand in memory meanwhile.
        match (row, in_memory()) {
            (Ok(Some(claimed)), _) | (_, Some(claimed)) => Lookup::Used(claimed),
            (Ok(None), None) if !self.is_doubtful(self.shard(key)) => Lookup::Unused,
            (Ok(None), None) | (Err(_), None) => Lookup::Unclear,
        }
    }

    async fn read(&self, key: &Key) -> Result<Option<ClaimRow>, Error> {
        let keys = [claim::row_key(self.domain, self.shard(key), key)];
        let rows = self.table.read(&keys).await?;
        let row = rows.into_iter().next().flatten();
        Ok(row.and_then(|it| postcard::from_bytes(&it.value).ok()))
    }

    /// Hands all shards back, so that peers take them over at once.
    pub async fn release(&self) {
        self.releasing.set(true);
        let released = self.shards.held().into_iter().map(|shard| {
            let (reply, released) = oneshot::channel();
            self.queue.push(shard, Op::Release { reply });
            released
        });
        let released: Vec<_> = released.collect();
        join_all(released).await;
    }

    /// True once a planned stop hands the shards back.
    pub fn is_releasing(&self) -> bool {
        self.releasing.get()
    }

    /// Transactions made so far.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Shortest time between two transactions, so that all instances together
    /// stay within the table's writes.
    pub(super) fn gap(&self) -> Duration {
        let here = self.membership.peers().len() as u32 + 1;
        let instances = here * u32::from(self.domains);
        Duration::from_secs(1) * instances / self.config.writes_per_s.max(1)
    }

    pub(super) fn operation(&self) -> u64 {
        self.operations.set(self.operations.get() + 1);
        self.operations.get()
    }

    fn shard(&self, key: &Key) -> u16 {
        key.shard(self.config.shards)
    }
}
