//! Watches the lease rows and takes shards over.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{Claims, Holder, lease::Lease, pending::Op, shards::Shard};
use crate::{
    peer::Phase,
    platform::{Commit, Expect, Write},
};

/// Watches the lease rows for ever.
pub(super) async fn run(claims: Rc<Claims>) {
    loop {
        observe(&claims).await;
        take_over(&claims).await;
        rebalance(&claims);
        clock::sleep(claims.config.poll).await;
    }
}

async fn observe(claims: &Claims) {
    let shards = 0..claims.config.shards;
    let keys: Vec<String> = shards.map(|it| Lease::row_key(claims.domain, it)).collect();
    let read = claims.table.read(&keys);
    let Some(Ok(rows)) = clock::timeout(claims.config.timeout, read).await else {
        return;
    };
    for (shard, row) in rows.iter().enumerate() {
        let shard = shard as u16;
        // What is held here, only the writer knows the version of.
        if claims.shards.get(shard).holder != Holder::Here {
            claims.shards.observe(shard, row.as_ref());
        }
    }
}

async fn take_over(claims: &Claims) {
    let shards = (0..claims.config.shards).filter(|it| is_due(claims, *it));
    let due: Vec<u16> = shards.collect();
    if due.is_empty() || claims.releasing.get() {
        return;
    }
    let lease = Lease {
        holder: Some(claims.incarnation),
        writer: claims.incarnation,
        operation: claims.operation(),
    };
    let writes: Vec<Write> = due.iter().map(|it| write(claims, *it, &lease)).collect();
    claims.transactions.set(claims.transactions.get() + 1);
    let commit = claims.table.commit(&writes);
    match clock::timeout(claims.config.timeout, commit).await {
        Some(Ok(Commit::Done(versions))) => {
            for (shard, version) in due.iter().zip(versions) {
                claims.shards.hold(*shard, version);
            }
        }
        Some(Ok(Commit::Conflict(conflicts))) => {
            for conflict in conflicts {
                claims
                    .shards
                    .observe(due[conflict.index], conflict.row.as_ref());
            }
        }
        // The next reading shows whether it took effect.
        Some(Err(_)) | None => {}
    }
}

fn write(claims: &Claims, shard: u16, lease: &Lease) -> Write {
    let version = claims.shards.get(shard).version;
    Write {
        key: Lease::row_key(claims.domain, shard),
        expect: version.map_or(Expect::Absent, Expect::Version),
        value: Some(lease.encode()),
    }
}

/// True when this instance should take the shard now.
fn is_due(claims: &Claims, index: u16) -> bool {
    let shard: Shard = claims.shards.get(index);
    let now = clock::now();
    if !shard.known || !claims.has_joined() {
        return false;
    }
    // Others get a little longer, in case the first choice is not there.
    let patience = match preferred(claims, index) {
        Some(_) => claims.config.poll * 2,
        None => Duration::ZERO,
    };
    match shard.holder {
        Holder::Here => false,
        Holder::Nobody => now >= shard.seen + patience,
        Holder::Other(_) => now >= shard.seen + claims.config.lease + patience,
    }
}

/// Serving peer that comes before this instance for the shard.
fn preferred(claims: &Claims, shard: u16) -> Option<String> {
    let own = rank(shard, &claims.membership.identity().name);
    let peers = claims.membership.peers();
    let serving = peers
        .iter()
        .filter(|it| it.heartbeat.phase == Phase::Serving);
    let best = serving.max_by_key(|it| rank(shard, &it.identity.name))?;
    let name = &best.identity.name;
    (rank(shard, name) > own).then(|| name.clone())
}

/// Highest random weight of an instance for a shard.
fn rank(shard: u16, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&shard.to_le_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Hands one shard to the peer that comes first for it.
fn rebalance(claims: &Claims) {
    let settled = claims.began + claims.config.join + claims.config.lease;
    if clock::now() < settled || claims.releasing.get() || !claims.queue.is_empty() {
        return;
    }
    let held = claims.shards.held();
    let stray = held.into_iter().find(|it| preferred(claims, *it).is_some());
    if let Some(shard) = stray {
        let (reply, _) = futures_channel::oneshot::channel();
        claims.queue.push(shard, Op::Release { reply });
    }
}
