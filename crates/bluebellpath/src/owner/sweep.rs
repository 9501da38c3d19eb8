//! Deletes claims past their retention.

use std::rc::Rc;

use bluebellpath_runtime::clock;

use super::{ClaimRow, Claims, claim, pending::Op};
use crate::{job::Key, platform::Item};

/// Claims in one reading.
const PAGE: usize = 200;

/// Searches the held shards for ever.
pub(super) async fn run(claims: Rc<Claims>) {
    loop {
        clock::sleep(claims.config.sweep).await;
        let retention_ms = claims.config.retention.as_millis() as u64;
        let oldest = clock::wall().saturating_sub(retention_ms);
        claims.promises.expire(oldest);
        for shard in claims.shards.held() {
            sweep(&claims, shard).await;
        }
    }
}

async fn sweep(claims: &Claims, shard: u16) {
    let prefix = claim::prefix(claims.domain, shard);
    let mut after: Option<String> = None;
    loop {
        let scan = claims.table.scan(&prefix, after.as_deref(), PAGE);
        let Some(Ok(items)) = clock::timeout(claims.config.timeout, scan).await else {
            return;
        };
        let Some(last) = items.last() else { return };
        after = Some(last.key.clone());
        for item in &items {
            expire(claims, shard, &prefix, item);
        }
    }
}

fn expire(claims: &Claims, shard: u16, prefix: &str, item: &Item) {
    let retention_ms = claims.config.retention.as_millis() as u64;
    let key = item.key.strip_prefix(prefix).and_then(Key::new);
    let claimed = postcard::from_bytes::<ClaimRow>(&item.row.value).ok();
    let (Some(key), Some(claimed)) = (key, claimed) else {
        return;
    };
    let is_old = claimed.claimed_ms + retention_ms < clock::wall();
    if is_old && claims.queue.len() < claims.config.max_pending {
        let op = Op::End {
            key,
            digest: claimed.digest,
            version: item.row.version,
            claimed_ms: claimed.claimed_ms,
            outcome: None,
        };
        claims.queue.push(shard, op);
    }
}
