//! Going on while the table can't be reached.
//!
//! A claim may stand in memory when no successor can miss it: every other
//! instance of the domain remembers it and promises not to take over for a
//! while. Promises are renewed in rounds, and new claims travel with them. A
//! round counts only when every peer grants it, and a peer that reaches the
//! table itself grants none: then it is for that peer to take over.

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
    Claim, ClaimRow, Claims, ExtensionReply, ExtensionRequest, Held, Holder, Holding,
    claim::Grant,
    pending::{Op, Pending},
};
use crate::{
    job::{Digest, Incarnation, Key},
    peer::{Reply, Request},
};

/// Longest wait for a promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time within which a successful reading counts as reaching the table.
const RECENT: Duration = Duration::from_millis(1_200);

/// What an instance holds without the table.
#[derive(Default)]
pub(super) struct State {
    term: Cell<u64>,
    /// Claims of this outage, in the order in which peers were told.
    claims: RefCell<Vec<Held>>,
    /// Claims that each peer remembers.
    acknowledged: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Time until which every peer has promised.
    until: Rc<Cell<Instant>>,
    /// Claims to be written once the table is back.
    pub(super) owed: RefCell<Vec<Pending>>,
    /// Last time that the table answered a reading.
    pub(super) reached: Cell<Option<Instant>>,
}

impl State {
    /// Time until which claims in memory may be acted on.
    pub(super) fn until(&self) -> Rc<Cell<Instant>> {
        self.until.clone()
    }

    /// Number of claims that stand in memory only.
    pub(super) fn len(&self) -> usize {
        self.owed.borrow().len()
    }

    /// Begins an outage; claims of an earlier one that are still to be written
    /// are told anew.
    fn begin(&self, term: u64, batch: &[Pending]) {
        self.term.set(term);
        let owed = self.owed.borrow();
        let unwritten: BTreeSet<&Key> = batch
            .iter()
            .chain(owed.iter())
            .filter_map(Pending::key)
            .collect();
        let mut claims = self.claims.borrow_mut();
        claims.retain(|it| unwritten.contains(&it.key));
        self.acknowledged.borrow_mut().clear();
    }

    /// Claim of `key` that stands, or stood, in memory.
    pub(super) fn find(&self, key: &Key) -> Option<ClaimRow> {
        let claims = self.claims.borrow();
        let held = claims.iter().find(|it| it.key == *key)?;
        Some(held.claimed.clone())
    }
}

/// Grants claims by promises of the peers, for as long as it is polled.
///
/// `batch` are the claims of a transaction that is on its way; others come from
/// the queue and are owed to the table.
pub(super) async fn run(claims: &Claims, batch: &[Pending]) {
    let state = &claims.hold;
    state.begin(claims.operation(), batch);
    loop {
        let arrived = claims.queue.arrived.notified();
        let room = claims.config.max_pending.saturating_sub(state.len());
        state
            .owed
            .borrow_mut()
            .extend(claims.queue.take_claims(room));
        round(claims, batch).await;
        let renewal = std::pin::pin!(clock::sleep(claims.config.renewal));
        match select(std::pin::pin!(arrived), renewal).await {
            Either::Left(_) => clock::sleep(claims.gap().min(PROMISE_TIMEOUT)).await,
            Either::Right(_) => {}
        }
    }
}

/// One round: tells each peer of the new claims and asks for its promise.
async fn round(claims: &Claims, batch: &[Pending]) {
    let state = &claims.hold;
    let asked = clock::now();
    let fresh = propose(claims, batch);
    let peers = successors(claims);
    let promises = peers.iter().map(|it| ask(claims, *it));
    let granted = join_all(promises).await.into_iter().all(|it| it);
    let valid = claims.config.lease.saturating_sub(claims.config.margin);
    if !granted || clock::now() >= asked + valid {
        return;
    }
    state.until.set(asked + valid);
    grant(claims, batch, &fresh);
}

/// Adds the claims that may stand in memory; their keys.
fn propose(claims: &Claims, batch: &[Pending]) -> Vec<Key> {
    let mut list = claims.hold.claims.borrow_mut();
    let owed = claims.hold.owed.borrow();
    let mut seen = BTreeSet::new();
    let mut proposed = Vec::new();
    for pending in batch.iter().chain(owed.iter()) {
        let Op::Claim { key, digest, reply } = &pending.op else {
            continue;
        };
        // The first claim of a key decides, also one that was given up: its row
        // may yet be written, and taken back.
        let is_first = seen.insert(key);
        if !is_first || !reply.is_waiting() || !may_stand(claims, pending.shard, key) {
            continue;
        }
        let earlier = list.iter().find(|it| it.key == *key);
        match earlier.map(|it| it.claimed.digest) {
            Some(earlier) if earlier != *digest => continue,
            Some(_) => {}
            None => list.push(Held {
                key: key.clone(),
                claimed: claimed(claims, *digest),
            }),
        }
        proposed.push(key.clone());
    }
    proposed
}

fn claimed(claims: &Claims, digest: Digest) -> ClaimRow {
    ClaimRow {
        incarnation: claims.incarnation,
        digest,
        claimed_ms: clock::wall(),
        outcome: None,
    }
}

/// True for a key that is fresh for certain, in a shard that is accounted for.
fn may_stand(claims: &Claims, shard: u16, key: &Key) -> bool {
    claims.shards.get(shard).holder == Holder::Here
        && claims.known.find(shard, key) == Some(false)
        && claims.promises.find(key).is_none()
        && !claims.is_doubtful(shard)
}

fn grant(claims: &Claims, batch: &[Pending], keys: &[Key]) {
    let grant = Grant {
        version: 0,
        claimed_ms: clock::wall(),
        in_memory: true,
    };
    let owed = claims.hold.owed.borrow();
    for pending in batch.iter().chain(owed.iter()) {
        let Op::Claim { key, reply, .. } = &pending.op else {
            continue;
        };
        if keys.contains(key) && reply.is_waiting() {
            claims.know(pending.shard, key);
            reply.send(Claim::Granted(grant));
        }
    }
}

/// Addresses of all instances that might take over.
fn successors(claims: &Claims) -> Vec<SocketAddr> {
    let mut addresses = claims.membership.entries(claims.domain);
    let peers = claims.membership.peers();
    addresses.extend(peers.iter().map(|it| it.identity.address));
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Asks one peer; true when it promises and remembers every claim.
async fn ask(claims: &Claims, peer: SocketAddr) -> bool {
    let state = &claims.hold;
    let known = state.acknowledged.borrow().get(&peer).copied();
    let mut first = known.unwrap_or(0);
    // A peer that was replaced remembers less than was told to its predecessor.
    for _ in 0..2 {
        let total = state.claims.borrow().len() as u64;
        let Some(promise) = call(claims, peer, first).await else {
            return false;
        };
        state
            .acknowledged
            .borrow_mut()
            .insert(peer, promise.have.min(total));
        if promise.granted {
            return promise.have >= total;
        }
        if promise.have >= first {
            return false;
        }
        first = promise.have;
    }
    false
}

async fn call(claims: &Claims, peer: SocketAddr, first: u64) -> Option<ExtensionReply> {
    let news = {
        let list = claims.hold.claims.borrow();
        list.get(first as usize..).unwrap_or_default().to_vec()
    };
    let hold = ExtensionRequest {
        holder: claims.incarnation,
        shards: claims.shards.holdings(),
        term: claims.hold.term.get(),
        for_ms: claims.config.lease.as_millis() as u64,
        first,
        claims: news,
    };
    let link = claims.membership.link();
    let call = link.call(peer, Request::Hold(hold));
    match clock::timeout(PROMISE_TIMEOUT, call).await {
        Some(Ok(Reply::Promise(promise))) => Some(promise),
        _ => None,
    }
}

/// Answers a peer that asks for a promise.
pub(super) fn promise(claims: &Claims, hold: ExtensionRequest) -> ExtensionReply {
    let now = clock::now();
    let reached = claims.hold.reached.get();
    let reaches = reached.is_some_and(|it| now < it + RECENT);
    // A take-over whose answer is missing may still take effect.
    let unsure = !claims.unsure.borrow().is_empty();
    let agrees = hold.shards.iter().all(|it| agrees(claims, it, hold.holder));
    if reaches || claims.releasing.get() || unsure || !agrees {
        return ExtensionReply {
            granted: false,
            have: hold.first,
        };
    }
    claims.promises.give(hold, claims.config.max_held)
}

/// False when a later version of the lease row is known, and is not `holder`'s:
/// then somebody has taken the shard over, and `holder` has not noticed.
fn agrees(claims: &Claims, holding: &Holding, holder: Incarnation) -> bool {
    if holding.shard >= claims.config.shards {
        return false;
    }
    let shard = claims.shards.get(holding.shard);
    shard.version <= holding.version || shard.holder == Holder::Other(holder)
}
