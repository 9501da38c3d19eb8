//! Reads the lease rows and takes shards over.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{
    Claims, Holder, claimed_keys, lease::Lease, shards::ShardState, tenure, write_queue::Op,
};
use crate::{
    peer::Phase,
    platform::{Commit, Expect, Fault, Write},
};

/// Reads the lease rows and takes over shards at regular intervals; never
/// returns.
pub(super) async fn run(claims: Rc<Claims>) {
    loop {
        // No takeover without a successful read: a takeover without a response
        // would keep this instance from granting extensions.
        if read_leases(&claims).await {
            take_over(&claims).await;
        }
        rebalance(&claims);
        clock::sleep(claims.config.poll_interval).await;
    }
}

/// Reads the lease rows; false on failure.
async fn read_leases(claims: &Rc<Claims>) -> bool {
    let shards = 0..claims.config.shard_count;
    let keys: Vec<String> = shards.map(|it| Lease::row_key(claims.domain, it)).collect();
    let sent = clock::now();
    let read = claims.table.read(&keys);
    let Some(Ok(rows)) = clock::timeout(claims.config.table_timeout, read).await else {
        return false;
    };
    claims.outage.last_read.set(Some(clock::now()));
    for (shard, row) in rows.iter().enumerate() {
        let shard = shard as u16;
        // Only the writer knows the current version of a held shard's row.
        if claims.shards.get(shard).holder != Holder::Here {
            let previous = claims.shards.get(shard).version;
            claims.shards.apply_read(shard, row.as_ref(), sent);
            if claims.shards.get(shard).version != previous {
                // A takeover from the previous version can't take effect now.
                claims.unresolved_takeovers.borrow_mut().remove(&shard);
            }
        }
    }
    let held = claims.shards.held();
    let taken_over: Vec<u16> = held
        .into_iter()
        .filter(|it| claims.takeovers.borrow().contains_key(it))
        .collect();
    finish_takeover(claims, &taken_over);
    true
}

async fn take_over(claims: &Rc<Claims>) {
    let shards = (0..claims.config.shard_count).filter(|it| is_due(claims, *it));
    let due: Vec<u16> = shards.collect();
    if due.is_empty() || claims.releasing.get() {
        return;
    }
    check_tenures(claims, &due).await;
    // Extensions may have been granted meanwhile, and time has passed.
    let due: Vec<u16> = due.into_iter().filter(|it| is_due(claims, *it)).collect();
    if due.is_empty() || claims.releasing.get() {
        return;
    }
    let lease = Lease {
        holder: Some(claims.incarnation),
        writer: claims.incarnation,
        tx_id: claims.next_tx_id(),
    };
    let writes: Vec<Write> = due
        .iter()
        .map(|it| lease_write(claims, *it, &lease))
        .collect();
    claims.transactions.set(claims.transactions.get() + 1);
    claims.unresolved_takeovers.borrow_mut().extend(&due);
    let commit = claims.table.commit(&writes);
    match clock::timeout(claims.config.table_timeout, commit).await {
        Some(Ok(Commit::Done(versions))) => {
            for (shard, version) in due.iter().zip(versions) {
                claims.unresolved_takeovers.borrow_mut().remove(shard);
                claims.shards.set_held(*shard, version);
            }
            finish_takeover(claims, &due);
        }
        Some(Ok(Commit::Conflict(conflicts))) => {
            for conflict in conflicts {
                let shard = due[conflict.index];
                claims.unresolved_takeovers.borrow_mut().remove(&shard);
                claims.shards.apply_conflict(shard, conflict.row.as_ref());
            }
        }
        Some(Err(error)) if error.fault == Fault::Refused => {
            let mut unresolved = claims.unresolved_takeovers.borrow_mut();
            unresolved.retain(|it| !due.contains(it));
        }
        // The next read shows whether it took effect.
        Some(Err(_)) | None => {}
    }
}

/// Finds out, before a takeover, which shards may have unknown claims.
async fn check_tenures(claims: &Claims, due: &[u16]) {
    let predecessors = due
        .iter()
        .filter_map(|it| match claims.shards.get(*it).holder {
            Holder::Other(holder) => Some((*it, holder)),
            Holder::Here | Holder::Nobody => None,
        });
    let predecessors: Vec<_> = predecessors.collect();
    let incomplete = tenure::incomplete_shards(claims, &predecessors).await;
    let mut takeovers = claims.takeovers.borrow_mut();
    for shard in due {
        takeovers.insert(*shard, incomplete.contains(shard));
    }
}

/// Updates the state of shards that were taken over.
fn finish_takeover(claims: &Rc<Claims>, shards: &[u16]) {
    if shards.is_empty() {
        return;
    }
    for shard in shards {
        let is_incomplete = claims.takeovers.borrow_mut().remove(shard);
        let until = clock::now() + claims.config.indeterminate_period;
        let mut indeterminate_until = claims.indeterminate_until.borrow_mut();
        match is_incomplete {
            Some(true) => indeterminate_until.insert(*shard, until),
            _ => indeterminate_until.remove(shard),
        };
        claims.claimed_keys.remove_shard(*shard);
    }
    tenure::import_claims(claims, shards);
    claimed_keys::load(claims, shards.to_vec());
}

fn lease_write(claims: &Claims, shard: u16, lease: &Lease) -> Write {
    let version = claims.shards.get(shard).version;
    Write {
        key: Lease::row_key(claims.domain, shard),
        expect: version.map_or(Expect::Absent, Expect::Version),
        value: Some(lease.encode()),
    }
}

/// True if this instance should take the shard over now.
fn is_due(claims: &Claims, index: u16) -> bool {
    let shard: ShardState = claims.shards.get(index);
    let now = clock::now();
    if !shard.was_read || !claims.has_joined() {
        return false;
    }
    // Waits longer if a peer is preferred, so that the peer goes first if it is
    // available.
    let extra_delay = match preferred_peer(claims, index) {
        Some(_) => claims.config.poll_interval,
        None => Duration::ZERO,
    };
    match shard.holder {
        Holder::Here => false,
        Holder::Nobody => {
            let joined = claims.started + claims.config.join_delay;
            now >= shard.first_seen.max(joined) + extra_delay
        }
        Holder::Other(holder) => {
            let discovered = claims.started + claims.config.discovery_time;
            let expired = shard.first_seen + claims.config.lease_duration + extra_delay;
            now >= discovered && now >= expired && !claims.extensions.is_active(holder)
        }
    }
}

/// Name of the serving peer with the highest weight for the shard, if that is
/// higher than the weight of this instance.
fn preferred_peer(claims: &Claims, shard: u16) -> Option<String> {
    let own = rendezvous_weight(shard, &claims.membership.identity().name);
    let peers = claims.membership.peers();
    let serving = peers
        .iter()
        .filter(|it| it.heartbeat.phase == Phase::Serving);
    let best = serving.max_by_key(|it| rendezvous_weight(shard, &it.identity.name))?;
    let name = &best.identity.name;
    (rendezvous_weight(shard, name) > own).then(|| name.clone())
}

/// Weight of an instance for a shard in rendezvous hashing.
fn rendezvous_weight(shard: u16, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&shard.to_le_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Releases at most one shard for which a peer is preferred.
fn rebalance(claims: &Claims) {
    let settled = claims.started + claims.config.join_delay + claims.config.lease_duration;
    if clock::now() < settled || claims.releasing.get() || !claims.queue.is_empty() {
        return;
    }
    let held = claims.shards.held();
    let misplaced = held
        .into_iter()
        .find(|it| preferred_peer(claims, *it).is_some());
    if let Some(shard) = misplaced {
        let (reply, _) = futures_channel::oneshot::channel();
        claims.queue.push(shard, Op::Release { reply });
    }
}
