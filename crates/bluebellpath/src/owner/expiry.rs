//! Deletes claims past their retention.

use std::rc::Rc;

use bluebellpath_runtime::clock;

use super::{ClaimRow, Claims, claim, write_queue::Op};
use crate::{job::Key, platform::Item};

/// Maximum number of claims read in one scan.
const SCAN_LIMIT: usize = 200;

/// Deletes expired claims of the held shards at regular intervals; never returns.
pub(super) async fn run(claims: Rc<Claims>) {
    loop {
        clock::sleep(claims.config.sweep).await;
        let retention_ms = claims.config.retention.as_millis() as u64;
        let oldest_ms = clock::wall().saturating_sub(retention_ms);
        claims.extensions.remove_claims_before(oldest_ms);
        for shard in claims.shards.held() {
            sweep_shard(&claims, shard).await;
        }
    }
}

async fn sweep_shard(claims: &Claims, shard: u16) {
    let prefix = claim::prefix(claims.domain, shard);
    let mut after: Option<String> = None;
    loop {
        let scan = claims.table.scan(&prefix, after.as_deref(), SCAN_LIMIT);
        let Some(Ok(items)) = clock::timeout(claims.config.table_timeout, scan).await else {
            return;
        };
        let Some(last) = items.last() else { return };
        after = Some(last.key.clone());
        for item in &items {
            delete_if_expired(claims, shard, &prefix, item);
        }
    }
}

fn delete_if_expired(claims: &Claims, shard: u16, prefix: &str, item: &Item) {
    let retention_ms = claims.config.retention.as_millis() as u64;
    let key = item.key.strip_prefix(prefix).and_then(Key::new);
    let row = postcard::from_bytes::<ClaimRow>(&item.row.value).ok();
    let (Some(key), Some(row)) = (key, row) else {
        return;
    };
    let is_expired = row.claimed_ms + retention_ms < clock::wall();
    if is_expired && claims.queue.len() < claims.config.max_pending_claims {
        let op = Op::Outcome {
            key,
            digest: row.digest,
            version: item.row.version,
            claimed_ms: row.claimed_ms,
            outcome: None,
        };
        claims.queue.push(shard, op);
    }
}
