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
    acquisition, claim,
    claim::Grant,
    claimed_keys::ClaimedKeys,
    expiry,
    extension::Extensions,
    outage,
    shards::Shards,
    tenure,
    write_queue::{ClaimReply, Op, WriteQueue},
    writer,
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
    pub(super) queue: WriteQueue,
    pub(super) last_tx_id: Cell<u64>,
    pub(super) started: Instant,
    pub(super) releasing: Cell<bool>,
    pub(super) transactions: Cell<u64>,
    pub(super) claimed_keys: ClaimedKeys,
    pub(super) extensions: Extensions,
    pub(super) outage: outage::Outage,
    /// Shards that are being taken over; true if no instance has a complete
    /// report on the predecessor.
    pub(super) takeovers: RefCell<BTreeMap<u16, bool>>,
    /// Shards with a takeover that may still take effect.
    pub(super) unresolved_takeovers: RefCell<BTreeSet<u16>>,
    /// Shards that may have unknown claims of a predecessor, with the time until
    /// which keys without a row are indeterminate.
    pub(super) indeterminate_until: RefCell<BTreeMap<u16, Instant>>,
}

impl Claims {
    /// Creates the claims of the instance to which `membership` belongs, in a
    /// system of `domains` domains.
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
            shards: Shards::new(identity.incarnation, config.shard_count),
            table,
            membership,
            domains,
            config,
            queue: WriteQueue::default(),
            last_tx_id: Cell::new(0),
            started: clock::now(),
            releasing: Cell::new(false),
            transactions: Cell::new(0),
            claimed_keys: ClaimedKeys::default(),
            extensions: Extensions::new(config.forget_promises),
            outage: outage::Outage::default(),
            takeovers: RefCell::default(),
            unresolved_takeovers: RefCell::default(),
            indeterminate_until: RefCell::default(),
        }
    }

    /// Starts the background tasks that keep leases and write claims.
    pub fn start(self: &Rc<Self>) {
        drop(spawn(acquisition::run(self.clone())));
        drop(spawn(writer::run(self.clone())));
        drop(spawn(expiry::run(self.clone())));
    }

    /// True once this instance has had the time to hear from its peers.
    pub fn has_joined(&self) -> bool {
        clock::now() >= self.started + self.config.join_delay
    }

    /// Holder of the shard of `key`.
    pub fn holder(&self, key: &Key) -> Holder {
        self.shards.get(self.shard(key)).holder
    }

    /// Shards whose lease this instance holds.
    pub fn held(&self) -> Vec<u16> {
        self.shards.held()
    }

    /// Notified when the holder of a shard changes.
    pub fn changed(&self) -> &Notify {
        &self.shards.holder_changed
    }

    /// Claims `key` for the job with `digest`.
    ///
    /// Waits for as long as the table gives no definite answer. A caller that
    /// stops waiting must not start the job: its claim is dropped, or withdrawn
    /// if it took effect.
    pub async fn claim(&self, key: &Key, digest: Digest) -> Claim {
        if self.holder(key) != Holder::Here {
            return Claim::Moved;
        }
        if self.queue.len() >= self.config.max_pending_claims {
            return Claim::Busy;
        }
        if let Some(claim) = self.predecessor_claim(key).await {
            return claim;
        }
        let (reply, claim) = oneshot::channel();
        let op = Op::Claim {
            key: key.clone(),
            digest,
            reply: ClaimReply::new(reply),
        };
        self.queue.push(self.shard(key), op);
        claim.await.unwrap_or(Claim::Moved)
    }

    /// Result that follows from a predecessor's claim; `None` if the key is to
    /// be claimed in the table.
    async fn predecessor_claim(&self, key: &Key) -> Option<Claim> {
        if let Some(row) = self.extensions.find(key) {
            return Some(Claim::Taken(row));
        }
        if !self.is_indeterminate(self.shard(key)) {
            return None;
        }
        let row = self.read_row(key).await.ok().flatten();
        Some(row.map_or(Claim::Doubtful, Claim::Taken))
    }

    /// True while keys of the shard may have been used without a row.
    pub(super) fn is_indeterminate(&self, shard: u16) -> bool {
        let indeterminate_until = self.indeterminate_until.borrow();
        indeterminate_until
            .get(&shard)
            .is_some_and(|it| clock::now() < *it)
    }

    /// Time until which claims in memory are valid.
    pub fn held_until(&self) -> Rc<Cell<Instant>> {
        self.outage.extension_until()
    }

    /// Handles the extension request of a peer that can't reach the table.
    pub fn handle_extension(&self, request: ExtensionRequest) -> ExtensionReply {
        outage::handle_request(self, request)
    }

    /// Knowledge of this instance about what `holder` did.
    pub fn account(&self, holder: Incarnation) -> TenureReport {
        tenure::report(self, holder)
    }

    pub(super) fn add_claimed_key(&self, shard: u16, key: &Key) {
        self.claimed_keys
            .insert(shard, key, self.config.max_claimed_keys);
    }

    /// Records the outcome of a claimed job; without one the key may be claimed
    /// again.
    pub fn ended(&self, key: &Key, digest: Digest, grant: Grant, outcome: Option<Outcome>) {
        // A claim in memory has no row yet.
        if grant.in_memory || self.queue.len() >= self.config.max_pending_claims {
            return;
        }
        let op = Op::Outcome {
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
        let in_memory = || self.extensions.find(key).or_else(|| self.outage.find(key));
        if let Some(row) = in_memory() {
            return Lookup::Used(row);
        }
        let row = self.read_row(key).await;
        // A claim in memory may have been added during the read.
        match (row, in_memory()) {
            (Ok(Some(row)), _) | (_, Some(row)) => Lookup::Used(row),
            (Ok(None), None) if !self.is_indeterminate(self.shard(key)) => Lookup::Unused,
            (Ok(None), None) | (Err(_), None) => Lookup::Unclear,
        }
    }

    async fn read_row(&self, key: &Key) -> Result<Option<ClaimRow>, Error> {
        let keys = [claim::row_key(self.domain, self.shard(key), key)];
        let rows = self.table.read(&keys).await?;
        let row = rows.into_iter().next().flatten();
        Ok(row.and_then(|it| postcard::from_bytes(&it.value).ok()))
    }

    /// Releases all shards, so that peers take them over immediately.
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

    /// True once a planned stop has begun to release the shards.
    pub fn is_releasing(&self) -> bool {
        self.releasing.get()
    }

    /// Number of transactions sent so far.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Minimum interval between transactions, so that all instances together
    /// stay within the write limit of the table.
    pub(super) fn write_interval(&self) -> Duration {
        let here = self.membership.peers().len() as u32 + 1;
        let instances = here * u32::from(self.domains);
        Duration::from_secs(1) * instances / self.config.max_writes_per_s.max(1)
    }

    pub(super) fn next_tx_id(&self) -> u64 {
        self.last_tx_id.set(self.last_tx_id.get() + 1);
        self.last_tx_id.get()
    }

    fn shard(&self, key: &Key) -> u16 {
        key.shard(self.config.shard_count)
    }
}
