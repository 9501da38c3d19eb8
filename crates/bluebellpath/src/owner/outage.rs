//! Grants claims while the table can't be reached.
//!
//! A claim may be held in memory only if no successor can miss it: every other
//! instance of the domain keeps a copy and extends the holder's leases for a
//! while. The holder renews the extensions in rounds, which also carry the new
//! claims. A round counts only if every peer grants its extension. A peer that
//! reaches the table itself refuses, because it can take the shards over.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::{Instant, clock};
use futures_util::future::{Either, join_all, select};

use super::{
    Claim, ClaimRow, Claims, ExtensionReply, ExtensionRequest, Holder, ReplicatedClaim, ShardLease,
    claim::Grant,
    write_queue::{Op, PendingWrite},
};
use crate::{
    job::{Digest, Incarnation, Key},
    peer::{Reply, Request},
};

/// Maximum wait for a peer's reply to an extension request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Age up to which a successful read shows that the table can be reached.
const REACHABLE_WINDOW: Duration = Duration::from_millis(1_200);

/// State of a holder during an outage of the table.
#[derive(Default)]
pub(super) struct Outage {
    id: Cell<u64>,
    /// Claims of this outage, in the order in which they are sent to peers.
    replicated: RefCell<Vec<ReplicatedClaim>>,
    /// Number of claims that each peer has copies of.
    acknowledged: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Time until which all peers have extended the leases.
    extension_until: Rc<Cell<Instant>>,
    /// Claims to be written once the table can be reached.
    pub(super) unwritten: RefCell<Vec<PendingWrite>>,
    /// Time of the last successful read of the table.
    pub(super) last_read: Cell<Option<Instant>>,
}

impl Outage {
    /// Time until which claims in memory are valid.
    pub(super) fn extension_until(&self) -> Rc<Cell<Instant>> {
        self.extension_until.clone()
    }

    /// Number of claims to be written once the table can be reached.
    pub(super) fn unwritten_count(&self) -> usize {
        self.unwritten.borrow().len()
    }

    /// Starts an outage; claims of an earlier one that are not yet written are
    /// sent to the peers again.
    fn begin(&self, id: u64, batch: &[PendingWrite]) {
        self.id.set(id);
        let unwritten = self.unwritten.borrow();
        let unwritten_keys: BTreeSet<&Key> = batch
            .iter()
            .chain(unwritten.iter())
            .filter_map(PendingWrite::key)
            .collect();
        let mut replicated = self.replicated.borrow_mut();
        replicated.retain(|it| unwritten_keys.contains(&it.key));
        self.acknowledged.borrow_mut().clear();
    }

    /// Row of the claim of `key` that is, or was, held in memory.
    pub(super) fn find(&self, key: &Key) -> Option<ClaimRow> {
        let replicated = self.replicated.borrow();
        let claim = replicated.iter().find(|it| it.key == *key)?;
        Some(claim.row.clone())
    }
}

/// Grants claims under extensions of the peers, for as long as it is polled.
///
/// `batch` holds the claims of a transaction without a response. Other claims
/// come from the queue and are written once the table can be reached.
pub(super) async fn run(claims: &Claims, batch: &[PendingWrite]) {
    let outage = &claims.outage;
    outage.begin(claims.next_tx_id(), batch);
    loop {
        let arrived = claims.queue.arrived.notified();
        let free = claims
            .config
            .max_pending_claims
            .saturating_sub(outage.unwritten_count());
        outage
            .unwritten
            .borrow_mut()
            .extend(claims.queue.take_claims(free));
        extend_leases(claims, batch).await;
        let renewal = std::pin::pin!(clock::sleep(claims.config.renewal_interval));
        match select(std::pin::pin!(arrived), renewal).await {
            Either::Left(_) => clock::sleep(claims.write_interval().min(REPLY_TIMEOUT)).await,
            Either::Right(_) => {}
        }
    }
}

/// One round: sends the new claims to each peer and asks for an extension.
async fn extend_leases(claims: &Claims, batch: &[PendingWrite]) {
    let outage = &claims.outage;
    let asked = clock::now();
    let keys = replicate_claims(claims, batch);
    let peers = possible_successors(claims);
    let extensions = peers.iter().map(|it| request_extension(claims, *it));
    let granted = join_all(extensions).await.into_iter().all(|it| it);
    let valid = claims
        .config
        .lease_duration
        .saturating_sub(claims.config.clock_margin);
    if !granted || clock::now() >= asked + valid {
        return;
    }
    outage.extension_until.set(asked + valid);
    grant_claims(claims, batch, &keys);
}

/// Adds the claims that may be held in memory and returns their keys.
fn replicate_claims(claims: &Claims, batch: &[PendingWrite]) -> Vec<Key> {
    let mut replicated = claims.outage.replicated.borrow_mut();
    let unwritten = claims.outage.unwritten.borrow();
    let mut seen = BTreeSet::new();
    let mut keys = Vec::new();
    for pending in batch.iter().chain(unwritten.iter()) {
        let Op::Claim { key, digest, reply } = &pending.op else {
            continue;
        };
        // The first claim of a key decides, even if it was abandoned: its row
        // may still be written, and withdrawn later.
        let is_first = seen.insert(key);
        if !is_first || !reply.is_waiting() || !is_unclaimed(claims, pending.shard, key) {
            continue;
        }
        let earlier = replicated.iter().find(|it| it.key == *key);
        match earlier.map(|it| it.row.digest) {
            Some(earlier) if earlier != *digest => continue,
            Some(_) => {}
            None => replicated.push(ReplicatedClaim {
                key: key.clone(),
                row: new_row(claims, *digest),
            }),
        }
        keys.push(key.clone());
    }
    keys
}

fn new_row(claims: &Claims, digest: Digest) -> ClaimRow {
    ClaimRow {
        incarnation: claims.incarnation,
        digest,
        claimed_ms: clock::wall(),
        outcome: None,
    }
}

/// True if the key is certainly unclaimed, in a held shard whose earlier claims
/// are all known.
fn is_unclaimed(claims: &Claims, shard: u16, key: &Key) -> bool {
    claims.shards.get(shard).holder == Holder::Here
        && claims.claimed_keys.is_claimed(shard, key) == Some(false)
        && claims.extensions.find(key).is_none()
        && !claims.is_indeterminate(shard)
}

fn grant_claims(claims: &Claims, batch: &[PendingWrite], keys: &[Key]) {
    let grant = Grant {
        version: 0,
        claimed_ms: clock::wall(),
        in_memory: true,
    };
    let unwritten = claims.outage.unwritten.borrow();
    for pending in batch.iter().chain(unwritten.iter()) {
        let Op::Claim { key, reply, .. } = &pending.op else {
            continue;
        };
        if keys.contains(key) && reply.is_waiting() {
            claims.add_claimed_key(pending.shard, key);
            reply.send(Claim::Granted(grant));
        }
    }
}

/// Addresses of all instances that might take shards over.
fn possible_successors(claims: &Claims) -> Vec<SocketAddr> {
    let mut addresses = claims.membership.entries(claims.domain);
    let peers = claims.membership.peers();
    addresses.extend(peers.iter().map(|it| it.identity.address));
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Asks one peer; true if it grants the extension and has copies of all claims.
async fn request_extension(claims: &Claims, peer: SocketAddr) -> bool {
    let outage = &claims.outage;
    let acknowledged = outage.acknowledged.borrow().get(&peer).copied();
    let mut first = acknowledged.unwrap_or(0);
    // A replaced peer has fewer claims than were sent to its predecessor; the
    // second attempt sends the missing ones.
    for _ in 0..2 {
        let total = outage.replicated.borrow().len() as u64;
        let Some(reply) = send_request(claims, peer, first).await else {
            return false;
        };
        outage
            .acknowledged
            .borrow_mut()
            .insert(peer, reply.have.min(total));
        if reply.granted {
            return reply.have >= total;
        }
        if reply.have >= first {
            return false;
        }
        first = reply.have;
    }
    false
}

async fn send_request(claims: &Claims, peer: SocketAddr, first: u64) -> Option<ExtensionReply> {
    let new_claims = {
        let replicated = claims.outage.replicated.borrow();
        replicated
            .get(first as usize..)
            .unwrap_or_default()
            .to_vec()
    };
    let request = ExtensionRequest {
        holder: claims.incarnation,
        shards: claims.shards.held_leases(),
        term: claims.outage.id.get(),
        for_ms: claims.config.lease_duration.as_millis() as u64,
        first,
        claims: new_claims,
    };
    let link = claims.membership.link();
    let call = link.call(peer, Request::ExtendClaims(request));
    match clock::timeout(REPLY_TIMEOUT, call).await {
        Some(Ok(Reply::Extension(reply))) => Some(reply),
        _ => None,
    }
}

/// Handles the extension request of a peer.
pub(super) fn handle_request(claims: &Claims, request: ExtensionRequest) -> ExtensionReply {
    let now = clock::now();
    let last_read = claims.outage.last_read.get();
    let is_reachable = last_read.is_some_and(|it| now < it + REACHABLE_WINDOW);
    // A takeover without a response may still take effect.
    let has_unresolved = !claims.unresolved_takeovers.borrow().is_empty();
    let is_current = request
        .shards
        .iter()
        .all(|it| is_current(claims, it, request.holder));
    if is_reachable || claims.releasing.get() || has_unresolved || !is_current {
        return ExtensionReply {
            granted: false,
            have: request.first,
        };
    }
    claims
        .extensions
        .grant(request, claims.config.max_replicated_claims)
}

/// False if a later version of the lease row is known that doesn't name
/// `holder`: another instance has taken the shard over unnoticed by `holder`.
fn is_current(claims: &Claims, lease: &ShardLease, holder: Incarnation) -> bool {
    if lease.shard >= claims.config.shard_count {
        return false;
    }
    let shard = claims.shards.get(lease.shard);
    shard.version <= lease.version || shard.holder == Holder::Other(holder)
}
