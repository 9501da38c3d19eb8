/*!
Evacuated failure domains.

An operator requests by a row of the platform's table that nothing is started on
the targets of a failure domain, and cancels this by removing the row. Any
instance may read the rows, and heartbeats pass the set on. Reads and heartbeats
arrive in any order, some from stale views, and each set is therefore kept with
the table version at which it was read; only a higher version replaces it.

The targets of a domain may have become cold, and thus slow, when its evacuation
is cancelled. The share of them that is used then rises in steps.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bluebellpath_runtime::Instant;
use serde::{Deserialize, Serialize};

use crate::{InjectedFault, Target};

/// Most domains that a heartbeat names. Eight take 40 bytes, for which a frame has
/// room next to the most targets.
const MAX_ANNOUNCED_DOMAINS: usize = 8;

/// Shares of the targets of a domain, in thousandths, that are used from these times
/// after the cancellation on. A step adds no more cold targets than are in use already.
/// Not measured on cold targets.
const RETURN_STEPS: [(Duration, u32); 4] = [
    (Duration::ZERO, 250),
    (Duration::from_secs(1), 500),
    (Duration::from_secs(2), 750),
    (Duration::from_secs(3), 1_000),
];

/// Share of all targets of a domain, in thousandths.
const EVERY_TARGET: u32 = 1_000;

/// Number that stands for the failure domain `name` in messages between instances.
pub fn domain_id(name: &str) -> u32 {
    Target::short_id(name)
}

/// Evacuated domains as of a version of the platform's tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Table version at which the set was read; 0 if the sender doesn't tell.
    pub version: u64,
    /// Evacuated domains, by [`domain_id`].
    pub domains: BTreeSet<u32>,
}

/// Row of the platform's table that requests an evacuation, or its tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// Domain, by [`domain_id`].
    pub domain: u32,
    /// False if the row was removed.
    pub requested: bool,
}

/// Rows from one read of the platform's table, in the order of their changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPage {
    /// Version after which the changes begin; `None` for a read of the whole table.
    pub after: Option<u64>,
    /// Version of the table at the read.
    pub version: u64,
    /// Rows.
    pub rows: Vec<EvacuationRow>,
}

/// Effect of a newer set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Domains that have become evacuated.
    pub evacuated: Vec<u32>,
    /// Domains whose evacuation was cancelled.
    pub cancelled: Vec<u32>,
    /// Whether this is the first set since the start of the process.
    pub first: bool,
}

impl Difference {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        !self.first && !self.changes_domains()
    }

    /// Whether domains were evacuated or are returning.
    pub fn changes_domains(&self) -> bool {
        !self.evacuated.is_empty() || !self.cancelled.is_empty()
    }
}

/// Changes between the known version and those of a page are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingChanges;

/// Set that an instance knows, and the domains whose evacuation was cancelled lately.
#[derive(Clone, Debug, Default)]
pub struct EvacuationState {
    known: Evacuations,
    /// Domains that are returning, and when this instance learned of it.
    returning: BTreeMap<u32, Instant>,
    injected_fault: Option<InjectedFault>,
}

impl EvacuationState {
    /// State of a process that has not received a set yet.
    pub fn new(injected_fault: Option<InjectedFault>) -> EvacuationState {
        EvacuationState {
            injected_fault,
            ..EvacuationState::default()
        }
    }

    /// Returns the table version of the known set; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.known.version
    }

    /// Number of evacuated domains.
    pub fn len(&self) -> usize {
        self.known.domains.len()
    }

    /// Whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.known.domains.is_empty()
    }

    /// Returns the set to send to peers; of version 0 if it is too large or not known.
    pub fn announcement(&self) -> Evacuations {
        match self.known.domains.len() > MAX_ANNOUNCED_DOMAINS {
            true => Evacuations::default(),
            false => self.known.clone(),
        }
    }

    /// Applies rows that were read at `now`. Fails if changes before them are missing.
    pub fn apply(&mut self, page: &RowPage, now: Instant) -> Result<Difference, MissingChanges> {
        if !self.accepts(page.version) {
            return Ok(Difference::default());
        }
        let mut domains = match page.after {
            None => BTreeSet::new(),
            Some(after) if self.known.version == 0 || after > self.known.version => {
                return Err(MissingChanges);
            }
            Some(_) => self.known.domains.clone(),
        };
        for row in &page.rows {
            match row.requested {
                true => domains.insert(row.domain),
                false => domains.remove(&row.domain),
            };
        }
        let version = page.version;
        Ok(self.replace(Evacuations { version, domains }, now))
    }

    /// Takes over the set of a peer if it is newer.
    pub fn merge(&mut self, announced: &Evacuations, now: Instant) -> Difference {
        if announced.version == 0 || !self.accepts(announced.version) {
            return Difference::default();
        }
        if announced.domains == self.known.domains && self.known.version > 0 {
            self.known.version = announced.version;
            return Difference::default();
        }
        self.replace(announced.clone(), now)
    }

    /// Whether a set of this version replaces the known one.
    fn accepts(&self, version: u64) -> bool {
        version > self.known.version
            || self.injected_fault == Some(InjectedFault::AcceptOlderEvacuations)
    }

    fn replace(&mut self, newer: Evacuations, now: Instant) -> Difference {
        let first = self.known.version == 0;
        let known = std::mem::replace(&mut self.known, newer);
        let newer = &self.known.domains;
        let evacuated: Vec<u32> = newer.difference(&known.domains).copied().collect();
        let cancelled: Vec<u32> = known.domains.difference(newer).copied().collect();
        self.returning.retain(|domain, since| {
            !newer.contains(domain) && used_permille(now - *since) < EVERY_TARGET
        });
        self.returning.extend(cancelled.iter().map(|it| (*it, now)));
        Difference {
            evacuated,
            cancelled,
            first,
        }
    }

    /// Removes and returns the domains all of whose targets are used again.
    pub fn end_returns(&mut self, now: Instant) -> Vec<u32> {
        let is_complete = |since: &Instant| used_permille(now - *since) == EVERY_TARGET;
        let complete = self.returning.iter().filter(|it| is_complete(it.1));
        let ended: Vec<u32> = complete.map(|it| *it.0).collect();
        self.returning.retain(|_, since| !is_complete(since));
        ended
    }

    /// Whether a task may be started at `now` on the target with this short id in
    /// `domain`.
    pub fn allows(&self, domain: &str, target_short_id: u32, now: Instant) -> bool {
        if self.injected_fault == Some(InjectedFault::IgnoreEvacuations) {
            return true;
        }
        if self.known.version == 0 {
            return false;
        }
        if self.known.domains.is_empty() && self.returning.is_empty() {
            return true;
        }
        let domain = domain_id(domain);
        if self.known.domains.contains(&domain) {
            return false;
        }
        let returning = self.returning.get(&domain);
        returning.is_none_or(|since| target_short_id % EVERY_TARGET < used_permille(now - *since))
    }
}

/// Share of the targets of a domain, in thousandths, that are used at this time after
/// the cancellation of its evacuation.
pub fn used_permille(elapsed: Duration) -> u32 {
    let step = RETURN_STEPS.iter().rev().find(|it| elapsed >= it.0);
    step.map_or(0, |it| it.1)
}
