//! State of the shards of the domain.

use std::cell::RefCell;

use bluebellpath_runtime::{Instant, Notify, clock};

use super::{ShardLease, lease::Lease};
use crate::{job::Incarnation, platform};

/// Holder of a shard, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// This instance.
    Here,
    /// Another incarnation.
    Other(Incarnation),
    /// Nobody, or not known.
    Nobody,
}

/// State of one shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardState {
    /// Version of the lease row; `None` without a row.
    pub(super) version: Option<u64>,
    /// Holder of the shard.
    pub(super) holder: Holder,
    /// Time at which this instance first saw that version.
    pub(super) first_seen: Instant,
    /// True once the row was read.
    pub(super) was_read: bool,
    /// Time of the last read that returned this version.
    last_confirmed: Instant,
    /// Time of the last read that returned the previous version; this version
    /// was written later.
    pub(super) written_after: Instant,
}

/// State of all shards of the domain.
pub(super) struct Shards {
    incarnation: Incarnation,
    states: RefCell<Vec<ShardState>>,
    pub(super) holder_changed: Notify,
}

impl Shards {
    pub(super) fn new(incarnation: Incarnation, count: u16) -> Shards {
        let state = ShardState {
            version: None,
            holder: Holder::Nobody,
            first_seen: clock::now(),
            was_read: false,
            last_confirmed: Instant::default(),
            written_after: Instant::default(),
        };
        Shards {
            incarnation,
            states: RefCell::new(vec![state; usize::from(count)]),
            holder_changed: Notify::new(),
        }
    }

    pub(super) fn get(&self, shard: u16) -> ShardState {
        self.states.borrow()[usize::from(shard)]
    }

    /// Shards that this instance holds.
    pub(super) fn held(&self) -> Vec<u16> {
        let states = self.states.borrow();
        let held = states.iter().enumerate();
        held.filter(|(_, it)| it.holder == Holder::Here)
            .map(|(index, _)| index as u16)
            .collect()
    }

    /// Shards that this instance holds, with the versions of their lease rows.
    pub(super) fn held_leases(&self) -> Vec<ShardLease> {
        let held = self.held().into_iter();
        held.map(|shard| ShardLease {
            shard,
            version: self.get(shard).version,
        })
        .collect()
    }

    /// Records that this instance wrote the row and holds the shard.
    pub(super) fn set_held(&self, shard: u16, version: u64) {
        self.set(shard, Some(version), Holder::Here, Instant::default());
    }

    /// Records that this instance wrote the row and released the shard.
    pub(super) fn set_released(&self, shard: u16, version: u64) {
        self.set(shard, Some(version), Holder::Nobody, Instant::default());
    }

    /// Applies a lease row reported by a write conflict.
    pub(super) fn apply_conflict(&self, shard: u16, row: Option<&platform::Row>) {
        self.apply_read(shard, row, Instant::default());
    }

    /// Applies a lease row returned by a read that was sent at `sent`.
    pub(super) fn apply_read(&self, shard: u16, row: Option<&platform::Row>, sent: Instant) {
        let lease = row.and_then(Lease::decode);
        let holder = match lease.and_then(|it| it.holder) {
            Some(holder) if holder == self.incarnation => Holder::Here,
            Some(holder) => Holder::Other(holder),
            None => Holder::Nobody,
        };
        let version = row.map(|it| it.version);
        let current = self.get(shard);
        // The response of a slow read may be older than the current state.
        let differs = version == current.version && holder != current.holder;
        if !current.was_read || version > current.version || differs {
            self.set(shard, version, holder, sent);
        } else if version == current.version {
            let mut states = self.states.borrow_mut();
            states[usize::from(shard)].last_confirmed = sent;
        }
    }

    fn set(&self, shard: u16, version: Option<u64>, holder: Holder, last_confirmed: Instant) {
        let states = &mut self.states.borrow_mut();
        let state = &mut states[usize::from(shard)];
        let changed = state.holder != holder || !state.was_read;
        *state = ShardState {
            version,
            holder,
            first_seen: clock::now(),
            was_read: true,
            last_confirmed,
            written_after: state.last_confirmed,
        };
        if changed {
            self.holder_changed.notify();
        }
    }
}
