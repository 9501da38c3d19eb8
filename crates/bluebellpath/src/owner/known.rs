//! Keys of the held shards that are claimed in the table.
//!
//! While the table can't be reached, this is how the holder of a shard knows
//! that a key is fresh.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    rc::Rc,
};

use bluebellpath_runtime::{clock, spawn};

use super::{Claims, Holder, claim};
use crate::job::Key;

/// Claims in one reading.
const PAGE: usize = 1_000;

/// Hash of a key; 16 bytes keep a million keys in a few tens of MB.
type Short = [u8; 16];

#[derive(Default)]
struct Shard {
    complete: bool,
    keys: HashSet<Short>,
}

/// Keys of the held shards that are claimed in the table.
#[derive(Default)]
pub(super) struct Known {
    shards: RefCell<BTreeMap<u16, Shard>>,
    count: Cell<usize>,
}

impl Known {
    /// Adds a claimed key; beyond `limit` keys the shard counts as incomplete.
    pub(super) fn insert(&self, shard: u16, key: &Key, limit: usize) {
        let mut shards = self.shards.borrow_mut();
        let shard = shards.entry(shard).or_default();
        if self.count.get() >= limit {
            self.count.set(self.count.get() - shard.keys.len());
            *shard = Shard::default();
        } else if shard.keys.insert(short(key)) {
            self.count.set(self.count.get() + 1);
        }
    }

    /// Whether the key is claimed; `None` when that is not known.
    pub(super) fn find(&self, shard: u16, key: &Key) -> Option<bool> {
        let shards = self.shards.borrow();
        let shard = shards.get(&shard).filter(|it| it.complete)?;
        Some(shard.keys.contains(&short(key)))
    }

    /// Forgets a shard that is held no more.
    pub(super) fn forget(&self, shard: u16) {
        if let Some(shard) = self.shards.borrow_mut().remove(&shard) {
            self.count.set(self.count.get() - shard.keys.len());
        }
    }

    fn complete(&self, shard: u16) {
        let mut shards = self.shards.borrow_mut();
        shards.entry(shard).or_default().complete = true;
    }
}

fn short(key: &Key) -> Short {
    let hash = blake3::hash(key.as_str().as_bytes());
    let mut short = Short::default();
    short.copy_from_slice(&hash.as_bytes()[..16]);
    short
}

/// Reads the claims of shards that were taken over.
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
    let limit = claims.config.max_known;
    let mut after: Option<String> = None;
    while claims.shards.get(shard).holder == Holder::Here {
        let scan = claims.table.scan(&prefix, after.as_deref(), PAGE);
        let Some(Ok(items)) = clock::timeout(claims.config.timeout, scan).await else {
            clock::sleep(claims.config.poll).await;
            continue;
        };
        let Some(last) = items.last() else {
            return claims.known.complete(shard);
        };
        after = Some(last.key.clone());
        let keys = items.iter().filter_map(|it| it.key.strip_prefix(&prefix));
        for key in keys.filter_map(Key::new) {
            claims.known.insert(shard, &key, limit);
        }
    }
}
