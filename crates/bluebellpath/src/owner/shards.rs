//! What is known of each shard of the domain.

use std::cell::RefCell;

use bluebellpath_runtime::{Instant, Notify, clock};

use super::{Holding, lease::Lease};
use crate::{job::Incarnation, platform};

/// Who holds a shard, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// This instance.
    Here,
    /// Another incarnation.
    Other(Incarnation),
    /// Nobody, or not known.
    Nobody,
}

/// What is known of one shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shard {
    /// Version of the lease row; `None` when there is none.
    pub(super) version: Option<u64>,
    /// Who holds it.
    pub(super) holder: Holder,
    /// When that version was first seen here.
    pub(super) seen: Instant,
    /// True once the row was read.
    pub(super) known: bool,
    /// Last reading that showed this version.
    confirmed: Instant,
    /// Last reading that showed the version before: this one was written later.
    pub(super) written_after: Instant,
}

/// What is known of each shard of the domain.
pub(super) struct Shards {
    incarnation: Incarnation,
    shards: RefCell<Vec<Shard>>,
    pub(super) changed: Notify,
}

impl Shards {
    pub(super) fn new(incarnation: Incarnation, count: u16) -> Shards {
        let shard = Shard {
            version: None,
            holder: Holder::Nobody,
            seen: clock::now(),
            known: false,
            confirmed: Instant::default(),
            written_after: Instant::default(),
        };
        Shards {
            incarnation,
            shards: RefCell::new(vec![shard; usize::from(count)]),
            changed: Notify::new(),
        }
    }

    pub(super) fn get(&self, shard: u16) -> Shard {
        self.shards.borrow()[usize::from(shard)]
    }

    /// Shards that this instance holds.
    pub(super) fn held(&self) -> Vec<u16> {
        let shards = self.shards.borrow();
        let held = shards.iter().enumerate();
        held.filter(|(_, it)| it.holder == Holder::Here)
            .map(|(index, _)| index as u16)
            .collect()
    }

    /// Shards that this instance holds, with the versions of their rows.
    pub(super) fn holdings(&self) -> Vec<Holding> {
        let held = self.held().into_iter();
        held.map(|shard| Holding {
            shard,
            version: self.get(shard).version,
        })
        .collect()
    }

    /// Notes that this instance wrote the row and holds the shard.
    pub(super) fn hold(&self, shard: u16, version: u64) {
        self.set(shard, Some(version), Holder::Here, Instant::default());
    }

    /// Notes that this instance wrote the row and handed the shard back.
    pub(super) fn released(&self, shard: u16, version: u64) {
        self.set(shard, Some(version), Holder::Nobody, Instant::default());
    }

    /// Takes in a lease row that stood in the way.
    pub(super) fn observe(&self, shard: u16, row: Option<&platform::Row>) {
        self.read(shard, row, Instant::default());
    }

    /// Takes in a lease row by a reading that was sent at `sent`.
    pub(super) fn read(&self, shard: u16, row: Option<&platform::Row>, sent: Instant) {
        let lease = row.and_then(Lease::decode);
        let holder = match lease.and_then(|it| it.holder) {
            Some(holder) if holder == self.incarnation => Holder::Here,
            Some(holder) => Holder::Other(holder),
            None => Holder::Nobody,
        };
        let version = row.map(|it| it.version);
        let known = self.get(shard);
        // A slow reading may be older than what is known.
        let differs = version == known.version && holder != known.holder;
        if !known.known || version > known.version || differs {
            self.set(shard, version, holder, sent);
        } else if version == known.version {
            let mut shards = self.shards.borrow_mut();
            shards[usize::from(shard)].confirmed = sent;
        }
    }

    fn set(&self, shard: u16, version: Option<u64>, holder: Holder, confirmed: Instant) {
        let shards = &mut self.shards.borrow_mut();
        let shard = &mut shards[usize::from(shard)];
        let changed = shard.holder != holder || !shard.known;
        *shard = Shard {
            version,
            holder,
            seen: clock::now(),
            known: true,
            confirmed,
            written_after: shard.confirmed,
        };
        if changed {
            self.changed.notify();
        }
    }
}
