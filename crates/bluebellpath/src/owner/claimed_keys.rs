//! In-memory copy of the claimed keys of the held shards.
//!
//! While the table can't be reached, it tells the holder of a shard whether a
//! key is unclaimed.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    rc::Rc,
};

use bluebellpath_runtime::{clock, spawn};

use super::{Claims, Holder, claim};
use crate::job::Key;

/// Maximum number of claims read in one scan.
const SCAN_LIMIT: usize = 1_000;

/// Truncated hash of a key; with 16 bytes a million keys take a few tens of MB.
type KeyHash = [u8; 16];

#[derive(Default)]
struct ShardKeys {
    is_complete: bool,
    hashes: HashSet<KeyHash>,
}

/// Claimed keys of the held shards.
#[derive(Default)]
pub(super) struct ClaimedKeys {
    shards: RefCell<BTreeMap<u16, ShardKeys>>,
    count: Cell<usize>,
}

impl ClaimedKeys {
    /// Adds a claimed key. Beyond `limit` keys in total, drops the keys of the
    /// shard and marks it as incomplete.
    pub(super) fn insert(&self, shard: u16, key: &Key, limit: usize) {
        let mut shards = self.shards.borrow_mut();
        let shard = shards.entry(shard).or_default();
        if self.count.get() >= limit {
            self.count.set(self.count.get() - shard.hashes.len());
            *shard = ShardKeys::default();
        } else if shard.hashes.insert(hash_key(key)) {
            self.count.set(self.count.get() + 1);
        }
    }

    /// Whether the key is claimed; `None` if the shard is incomplete.
    pub(super) fn is_claimed(&self, shard: u16, key: &Key) -> Option<bool> {
        let shards = self.shards.borrow();
        let shard = shards.get(&shard).filter(|it| it.is_complete)?;
        Some(shard.hashes.contains(&hash_key(key)))
    }

    /// Drops the keys of a shard that is no longer held.
    pub(super) fn remove_shard(&self, shard: u16) {
        if let Some(shard) = self.shards.borrow_mut().remove(&shard) {
            self.count.set(self.count.get() - shard.hashes.len());
        }
    }

    fn mark_complete(&self, shard: u16) {
        let mut shards = self.shards.borrow_mut();
        shards.entry(shard).or_default().is_complete = true;
    }
}

fn hash_key(key: &Key) -> KeyHash {
    let hash = blake3::hash(key.as_str().as_bytes());
    let mut truncated = KeyHash::default();
    truncated.copy_from_slice(&hash.as_bytes()[..16]);
    truncated
}

/// Loads the claimed keys of shards that were taken over, in the background.
pub(super) fn load(claims: &Rc<Claims>, shards: Vec<u16>) {
    let claims = claims.clone();
    drop(spawn(async move {
        for shard in shards {
            load_shard(&claims, shard).await;
        }
    }));
}

async fn load_shard(claims: &Claims, shard: u16) {
    let prefix = claim::prefix(claims.domain, shard);
    let limit = claims.config.max_claimed_keys;
    let mut after: Option<String> = None;
    while claims.shards.get(shard).holder == Holder::Here {
        let scan = claims.table.scan(&prefix, after.as_deref(), SCAN_LIMIT);
        let Some(Ok(items)) = clock::timeout(claims.config.table_timeout, scan).await else {
            clock::sleep(claims.config.poll_interval).await;
            continue;
        };
        let Some(last) = items.last() else {
            return claims.claimed_keys.mark_complete(shard);
        };
        after = Some(last.key.clone());
        let keys = items.iter().filter_map(|it| it.key.strip_prefix(&prefix));
        for key in keys.filter_map(Key::new) {
            claims.claimed_keys.insert(shard, &key, limit);
        }
    }
}
