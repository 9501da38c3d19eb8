/*!
Identities of the processes of entry instances.

Fencing tokens contain the identity of the process that made them, so no two
processes may share one while requests of either can still arrive at a target.
An identity is a number that belongs to one instance for good, and a life that
each start of the instance increments. Both are stored on the platform by
conditional writes, so that instances which start at the same moment get
different numbers.

A process that restarts while the platform takes no writes learns the number of its
instance from its peers, which remember the identities that they have heard. It
goes on with a life that none of them reports, and stores it once it can.

Numbers and names are divided into shards. All rows that one claim touches are in
the shard of the name, so a platform that serializes the writes of a shard still
admits many claims at once.
*/

use std::{collections::BTreeSet, time::Duration};

use bluebellpath_runtime::LocalFuture;
use serde::{Deserialize, Serialize};

use crate::table_watch::ReadError;

/// Number of bits of an instance number.
pub(crate) const NUMBER_BITS: u32 = 13;

/// Number of bits of a life.
pub(crate) const LIFE_BITS: u32 = 4;

/// Number of bits of an instance number that select its shard.
const SHARD_BITS: u32 = 4;

/// Identity of a process, unique among all processes that may be alive.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Identity {
    number: u16,
    life: u8,
}

impl Identity {
    /// Identity with these parts; `None` if one of them is out of range.
    pub fn new(number: u16, life: u8) -> Option<Identity> {
        let valid = number < 1 << NUMBER_BITS && life < 1 << LIFE_BITS;
        valid.then_some(Identity { number, life })
    }

    /// First identity of the instance `name`. Each `attempt` has another number,
    /// in case that earlier ones belong to other instances.
    pub fn first_of(name: &str, attempt: u32) -> Identity {
        let shard = hash(name, u32::MAX) & ((1 << SHARD_BITS) - 1);
        let number = (hash(name, attempt) << SHARD_BITS) | shard;
        Identity {
            number: number & ((1 << NUMBER_BITS) - 1),
            life: 0,
        }
    }

    /// Identity of the next process of the same instance.
    pub fn next_life(self) -> Identity {
        Identity {
            life: (self.life + 1) % (1 << LIFE_BITS),
            ..self
        }
    }

    /// Number of the instance.
    pub fn number(self) -> u16 {
        self.number
    }

    /// Count of the starts of the instance, which wraps around.
    pub fn life(self) -> u8 {
        self.life
    }

    /// Shard of the number, which is also that of the name.
    pub fn shard(self) -> u16 {
        self.number & ((1 << SHARD_BITS) - 1)
    }

    /// Both parts as one integer.
    pub(crate) fn bits(self) -> u64 {
        (u64::from(self.number) << LIFE_BITS) | u64::from(self.life)
    }
}

fn hash(name: &str, attempt: u32) -> u16 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&attempt.to_le_bytes());
    let hash = hasher.update(name.as_bytes()).finalize();
    let mut prefix = [0; 2];
    prefix.copy_from_slice(&hash.as_bytes()[..2]);
    u16::from_le_bytes(prefix)
}

/// Next life after `identity` that is not in `reported`.
fn unused_life(identity: Identity, reported: &BTreeSet<Identity>) -> Identity {
    let mut next = identity.next_life();
    while reported.contains(&next) && next != identity {
        next = next.next_life();
    }
    next
}

/// Stored row of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredIdentity {
    /// Identity of its last process; `None` if the row is unreadable.
    pub identity: Option<Identity>,
    /// Version of the row.
    pub version: u64,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The identity is stored.
    Stored,
    /// The number belongs to another instance.
    NumberTaken,
    /// The instance has another row than the claim expected, or none.
    Conflict(Option<StoredIdentity>),
}

/// Store of identities.
pub trait IdentityStore {
    /// Stores `identity` as that of the instance, on the condition that its row is
    /// still `previous`, and that its number is free or was its own before.
    fn claim(
        &self,
        identity: Identity,
        previous: Option<StoredIdentity>,
        timeout: Duration,
    ) -> LocalFuture<'static, Result<Claimed, ReadError>>;
}

/// Progress of an instance in claiming an identity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claim {
    attempt: u32,
    previous: Option<StoredIdentity>,
    /// Identity that is in use before it is stored.
    unstored: Option<Identity>,
}

impl Claim {
    /// Identity to claim next for the instance `name`, and its stored row as last
    /// seen. `reported` are the identities of earlier processes that peers remember.
    pub fn next(
        &self,
        name: &str,
        reported: &BTreeSet<Identity>,
    ) -> (Identity, Option<StoredIdentity>) {
        let stored = self.previous.and_then(|it| it.identity);
        let identity = match (self.unstored, stored) {
            (Some(identity), _) => identity,
            (None, Some(identity)) => unused_life(identity, reported),
            (None, None) => Identity::first_of(name, self.attempt),
        };
        (identity, self.previous)
    }

    /// Identity to use while the store takes no claims. `None` if no peer remembers
    /// an earlier process, whose number this one may use.
    pub fn without_store(&mut self, reported: &BTreeSet<Identity>) -> Option<Identity> {
        let identity = unused_life(*reported.first()?, reported);
        Some(*self.unstored.get_or_insert(identity))
    }

    /// Records the result of a claim. Returns true if the identity is stored.
    pub fn record(&mut self, result: Claimed) -> bool {
        match result {
            Claimed::Stored => return true,
            Claimed::NumberTaken => self.attempt = self.attempt.wrapping_add(1),
            Claimed::Conflict(row) => self.previous = row,
        }
        false
    }
}
