//! Watches the lease rows and takes shards over.

use std::{rc::Rc, time::Duration};

use bluebellpath_runtime::clock;

use super::{Claims, Holder, account, known, lease::Lease, pending::Op, shards::Shard};
use crate::{
    peer::Phase,
    platform::{Commit, Expect, Fault, Write},
};

/// Watches the lease rows for ever.
pub(super) async fn run(claims: Rc<Claims>) {
    loop {
        // A table that can't be read is not written to either: a take-over with
        // an open end would keep this instance from promising anything.
        if observe(&claims).await {
            take_over(&claims).await;
        }
        rebalance(&claims);
        clock::sleep(claims.config.poll).await;
    }
}

/// Reads the lease rows; false when that failed.
async fn observe(claims: &Rc<Claims>) -> bool {
    let shards = 0..claims.config.shards;
    let keys: Vec<String> = shards.map(|it| Lease::row_key(claims.domain, it)).collect();
    let sent = clock::now();
    let read = claims.table.read(&keys);
    let Some(Ok(rows)) = clock::timeout(claims.config.timeout, read).await else {
        return false;
    };
    claims.hold.reached.set(Some(clock::now()));
    for (shard, row) in rows.iter().enumerate() {
        let shard = shard as u16;
        // What is held here, only the writer knows the version of.
        if claims.shards.get(shard).holder != Holder::Here {
            let before = claims.shards.get(shard).version;
            claims.shards.read(shard, row.as_ref(), sent);
            if claims.shards.get(shard).version != before {
                // A take-over from the earlier version can't take effect now.
                claims.unsure.borrow_mut().remove(&shard);
            }
        }
    }
    let adopted = claims.shards.held();
    let new: Vec<u16> = adopted
        .into_iter()
        .filter(|it| claims.taking.borrow().contains_key(it))
        .collect();
    taken(claims, &new);
    true
}

async fn take_over(claims: &Rc<Claims>) {
    let shards = (0..claims.config.shards).filter(|it| is_due(claims, *it));
    let due: Vec<u16> = shards.collect();
    if due.is_empty() || claims.releasing.get() {
        return;
    }
    account(claims, &due).await;
    // Promises may have been given meanwhile, or time lost.
    let due: Vec<u16> = due.into_iter().filter(|it| is_due(claims, *it)).collect();
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
    claims.unsure.borrow_mut().extend(&due);
    let commit = claims.table.commit(&writes);
    match clock::timeout(claims.config.timeout, commit).await {
        Some(Ok(Commit::Done(versions))) => {
            for (shard, version) in due.iter().zip(versions) {
                claims.unsure.borrow_mut().remove(shard);
                claims.shards.hold(*shard, version);
            }
            taken(claims, &due);
        }
        Some(Ok(Commit::Conflict(conflicts))) => {
            for conflict in conflicts {
                let shard = due[conflict.index];
                claims.unsure.borrow_mut().remove(&shard);
                claims.shards.observe(shard, conflict.row.as_ref());
            }
        }
        Some(Err(error)) if error.fault == Fault::Refused => {
            let mut unsure = claims.unsure.borrow_mut();
            unsure.retain(|it| !due.contains(it));
        }
        // The next reading shows whether it took effect.
        Some(Err(_)) | None => {}
    }
}

/// Finds out which shards nobody accounts for, before they are taken over.
async fn account(claims: &Claims, due: &[u16]) {
    let followed = due
        .iter()
        .filter_map(|it| match claims.shards.get(*it).holder {
            Holder::Other(holder) => Some((*it, holder)),
            Holder::Here | Holder::Nobody => None,
        });
    let followed: Vec<_> = followed.collect();
    let missing = account::missing(claims, &followed).await;
    let mut taking = claims.taking.borrow_mut();
    for shard in due {
        taking.insert(*shard, missing.contains(shard));
    }
}

/// Takes note of shards that were taken over.
fn taken(claims: &Rc<Claims>, shards: &[u16]) {
    if shards.is_empty() {
        return;
    }
    for shard in shards {
        let doubtful = claims.taking.borrow_mut().remove(shard);
        let until = clock::now() + claims.config.doubt;
        let mut all = claims.doubtful.borrow_mut();
        match doubtful {
            Some(true) => all.insert(*shard, until),
            _ => all.remove(shard),
        };
        claims.known.forget(*shard);
    }
    account::enter(claims, shards);
    known::load(claims, shards.to_vec());
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
        Some(_) => claims.config.poll,
        None => Duration::ZERO,
    };
    match shard.holder {
        Holder::Here => false,
        Holder::Nobody => {
            let joined = claims.began + claims.config.join;
            now >= shard.seen.max(joined) + patience
        }
        Holder::Other(holder) => {
            let settled = claims.began + claims.config.settle;
            let lapsed = shard.seen + claims.config.lease + patience;
            now >= settled && now >= lapsed && !claims.promises.binds(holder)
        }
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
