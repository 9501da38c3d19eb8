/*!
Decides what all callers together may make a process hold.

The invariant: the connections of all callers hold at most [`Capacity::bytes`] bytes and
[`Capacity::connections`] descriptors, from their accept to their close. The bytes are
those of buffers, bodies, decoded requests and answers, and for each connection a fixed
part for its task and for what the system has received and nobody has read.

What does not fit takes the place of something that is worth less, in this order:

1. connections that are about to close,
2. of idle connections and connections that send a request, those that hold more bytes
   together: the longest idle one, or the one that holds most.

A request that would be the largest one itself is refused, and so is everything once
only requests in progress are left, as these may have had effects. Requests of up to
[`SMALL_BYTES`] count as equally small; of these the oldest goes first. Larger ones leave
a quarter of the bytes to small ones while they are in progress.

Nothing here performs I/O or reads a clock: the order of events is their age.
*/

use std::{cmp::Reverse, collections::BTreeSet};

use slab::Slab;

/// Size up to which requests count as equally small, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;

/// Bytes that the system keeps for a connection which nobody reads.
pub const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Bytes of the task of a connection, without what is charged beyond.
const TASK_BYTES: usize = 24 << 10;

/// Fixed part of a connection in bytes.
const CONNECTION_BYTES: usize = TASK_BYTES + RECEIVE_BUFFER_BYTES;

/// Part of the memory of a process that its callers may hold. The rest is its own, and
/// the allocator's.
const MEMORY_DIVISOR: usize = 3;

/// Part of the memory of a process that callers of its peers may hold.
const PEER_MEMORY_DIVISOR: usize = 8;

/// Part of the descriptors of a process that its callers may hold. The rest is for
/// peers, targets and the platform.
const DESCRIPTOR_DIVISOR: usize = 2;

/// Part of the open connections that is given up when the process has no descriptor left.
const EXHAUSTED_DIVISOR: usize = 4;

/// Part of the bytes that large requests in progress leave to small ones.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Connections of probes, which come from few places and send no bodies.
const PROBE_CONNECTIONS: usize = 16;

/// Identifies the entry of a connection.
pub type Id = usize;

/// Limits on what all callers together hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of all connections.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Bytes that each connection is charged with from its accept on.
    pub connection_bytes: usize,
}

impl Capacity {
    /// Capacity that nothing exceeds.
    pub const UNLIMITED: Capacity = Capacity {
        bytes: usize::MAX,
        connections: usize::MAX,
        connection_bytes: 0,
    };

    /// Capacity of so many bytes and connections.
    pub fn new(bytes: usize, connections: usize) -> Capacity {
        Capacity {
            bytes,
            connections,
            connection_bytes: CONNECTION_BYTES,
        }
    }

    /// Capacity for the callers of a process that has so many bytes of memory and so
    /// many descriptors for sockets.
    pub fn for_callers(memory: usize, descriptors: usize) -> Capacity {
        Capacity::new(memory / MEMORY_DIVISOR, descriptors / DESCRIPTOR_DIVISOR)
    }

    /// Capacity for what a process of so much memory holds for callers of its peers,
    /// which its own callers do not share.
    pub fn for_peers(memory: usize) -> Capacity {
        Capacity {
            bytes: memory / PEER_MEMORY_DIVISOR,
            connections: 0,
            connection_bytes: 0,
        }
    }

    /// Capacity for probes of a process, which callers do not share.
    pub fn for_probes() -> Capacity {
        let bytes = PROBE_CONNECTIONS * (CONNECTION_BYTES + SMALL_BYTES);
        Capacity::new(bytes, PROBE_CONNECTIONS)
    }

    /// Largest charge of one request in progress, in bytes.
    pub fn largest_request(&self) -> usize {
        self.bytes - self.bytes / SMALL_SHARE_DIVISOR
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request, or for the caller to read an answer.
    Idle,
    /// Receives a request.
    Receiving,
    /// Its request is in progress.
    Serving,
    /// Waits for the caller to close.
    Closing,
}

/// Answer to a demand for bytes or for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The demand fits and is charged.
    Granted,
    /// It fits once the evicted connections have let go.
    Waiting,
    /// It does not fit.
    Refused,
}

/// Connection that has to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// Entry of the connection.
    pub id: Id,
    /// What it was doing.
    pub phase: Phase,
    /// Bytes that it holds.
    pub bytes: usize,
}

/// Entries of all connections.
pub struct Ledger {
    capacity: Capacity,
    entries: Slab<Entry>,
    /// Sum of all charges in bytes.
    bytes: usize,
    /// Charges of evicted connections that have not let go yet.
    evicted_bytes: usize,
    evicted_connections: usize,
    /// Charges of large requests in progress.
    large_bytes: usize,
    /// Number of the next event.
    next: u64,
    /// Entries by the event that began their phase.
    idle: Group<u64>,
    closing: Group<u64>,
    /// Entries by rank, of the same rank the oldest last.
    receiving: Group<(usize, Reverse<u64>)>,
}

struct Entry {
    phase: Phase,
    bytes: usize,
    since: u64,
    is_evicted: bool,
}

/// Entries of one phase in the order of their eviction, with the sum of their charges.
struct Group<K> {
    order: BTreeSet<(K, Id)>,
    bytes: usize,
}

impl<K: Ord> Group<K> {
    const fn new() -> Group<K> {
        Group {
            order: BTreeSet::new(),
            bytes: 0,
        }
    }

    fn insert(&mut self, key: K, id: Id, bytes: usize) {
        self.order.insert((key, id));
        self.bytes += bytes;
    }

    fn remove(&mut self, key: K, id: Id, bytes: usize) {
        self.order.remove(&(key, id));
        self.bytes -= bytes;
    }
}

/// Size class of a charge: 0 is small.
fn rank(bytes: usize) -> usize {
    bytes / SMALL_BYTES
}

impl Ledger {
    /// Ledger without entries.
    pub fn new(capacity: Capacity) -> Ledger {
        Ledger {
            capacity,
            entries: Slab::new(),
            bytes: 0,
            evicted_bytes: 0,
            evicted_connections: 0,
            large_bytes: 0,
            next: 0,
            idle: Group::new(),
            closing: Group::new(),
            receiving: Group::new(),
        }
    }

    /// Limits in force.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Bytes that all connections are charged with.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Whether a new connection has room; `evicted` gets the connections that make
    /// room for it.
    pub fn admit(&mut self, evicted: &mut Vec<Eviction>) -> Result<Id, Decision> {
        let bytes = self.capacity.connection_bytes;
        match self.fit(bytes, 1, None, rank(0), evicted) {
            Decision::Granted => {
                let since = self.event();
                let id = self.entries.insert(Entry {
                    phase: Phase::Idle,
                    bytes,
                    since,
                    is_evicted: false,
                });
                self.bytes += bytes;
                self.link(id);
                Ok(id)
            }
            decision => Err(decision),
        }
    }

    /// Charges a connection with `extra` bytes beyond its fixed part, instead of what
    /// it was charged with before.
    pub fn charge(&mut self, id: Id, extra: usize, evicted: &mut Vec<Eviction>) -> Decision {
        let bytes = self.capacity.connection_bytes.saturating_add(extra);
        let entry = &self.entries[id];
        if bytes <= entry.bytes {
            self.set(id, bytes);
            return Decision::Granted;
        }
        if entry.is_evicted {
            return Decision::Refused;
        }
        let rank = rank(extra);
        if entry.phase == Phase::Serving && rank > 0 {
            let others = self.large_bytes - self.large(entry);
            if others.saturating_add(bytes) > self.capacity.largest_request() {
                return Decision::Refused;
            }
        }
        let more = bytes - entry.bytes;
        let decision = self.fit(more, 0, Some(id), rank, evicted);
        if decision == Decision::Granted {
            self.set(id, bytes);
        }
        decision
    }

    /// Charges `bytes` that are held for callers of other processes, whose connections
    /// end there. Nothing evicts them.
    pub fn lend(&mut self, bytes: usize, evicted: &mut Vec<Eviction>) -> Decision {
        let is_large = rank(bytes) > 0;
        let large = self.large_bytes.saturating_add(bytes);
        if is_large && large > self.capacity.largest_request() {
            return Decision::Refused;
        }
        let decision = self.fit(bytes, 0, None, rank(bytes), evicted);
        if decision == Decision::Granted {
            self.bytes += bytes;
            self.large_bytes += if is_large { bytes } else { 0 };
        }
        decision
    }

    /// Takes back what was lent.
    pub fn repay(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.large_bytes -= if rank(bytes) > 0 { bytes } else { 0 };
    }

    /// Bytes that a connection is charged with beyond its fixed part.
    pub fn extra(&self, id: Id) -> usize {
        self.entries[id].bytes - self.capacity.connection_bytes
    }

    /// Notes that a connection does something else now. An evicted one that closes may
    /// be evicted again, to be closed at once.
    pub fn enter(&mut self, id: Id, phase: Phase) {
        self.unlink(id);
        let since = self.event();
        let entry = &mut self.entries[id];
        entry.since = since;
        entry.phase = phase;
        entry.is_evicted &= phase != Phase::Closing;
        self.link(id);
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: Id) {
        self.unlink(id);
        let entry = self.entries.remove(id);
        self.bytes -= entry.bytes;
    }

    /// Evicts a part of the connections, as the process has no descriptor left and needs
    /// some itself.
    pub fn shed(&mut self, evicted: &mut Vec<Eviction>) {
        let part = self.entries.len().div_ceil(EXHAUSTED_DIVISOR);
        for _ in self.evicted_connections..part {
            match self.victim(None, rank(0)) {
                Some(id) => evicted.push(self.evict(id)),
                None => return,
            }
        }
    }

    fn fit(
        &mut self,
        bytes: usize,
        connections: usize,
        requester: Option<Id>,
        rank: usize,
        evicted: &mut Vec<Eviction>,
    ) -> Decision {
        let Capacity {
            bytes: max_bytes,
            connections: max_connections,
            ..
        } = self.capacity;
        loop {
            let all = self.bytes.saturating_add(bytes);
            let open = self.entries.len() + connections;
            let has_slot = connections == 0 || open <= max_connections;
            if all <= max_bytes && has_slot {
                return Decision::Granted;
            }
            let will_have_slot =
                connections == 0 || open - self.evicted_connections <= max_connections;
            if all - self.evicted_bytes <= max_bytes && will_have_slot {
                return Decision::Waiting;
            }
            match self.victim(requester, rank) {
                Some(id) => evicted.push(self.evict(id)),
                None => return Decision::Refused,
            }
        }
    }

    /// Connection whose place a demand of `rank` takes.
    fn victim(&self, requester: Option<Id>, rank: usize) -> Option<Id> {
        if let Some((_, id)) = self.closing.order.first() {
            return Some(*id);
        }
        let idle = self.idle.order.first().map(|it| it.1);
        if self.idle.bytes >= self.receiving.bytes && idle.is_some() {
            return idle;
        }
        let mut receiving = self.receiving.order.iter().rev();
        let largest = receiving.find(|it| Some(it.1) != requester);
        match largest {
            Some(((held, _), id)) if *held > rank || *held + rank == 0 => Some(*id),
            _ if rank == 0 => idle,
            _ => None,
        }
    }

    fn evict(&mut self, id: Id) -> Eviction {
        self.unlink(id);
        let entry = &mut self.entries[id];
        entry.is_evicted = true;
        let (phase, bytes) = (entry.phase, entry.bytes);
        self.link(id);
        Eviction { id, phase, bytes }
    }

    fn set(&mut self, id: Id, bytes: usize) {
        self.unlink(id);
        let entry = &mut self.entries[id];
        self.bytes = self.bytes - entry.bytes + bytes;
        entry.bytes = bytes;
        self.link(id);
    }

    fn event(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Charge of a large request in progress, 0 for others.
    fn large(&self, entry: &Entry) -> usize {
        let extra = entry.bytes - self.capacity.connection_bytes;
        match entry.phase {
            Phase::Serving if rank(extra) > 0 => entry.bytes,
            _ => 0,
        }
    }

    fn link(&mut self, id: Id) {
        let entry = &self.entries[id];
        let (since, bytes) = (entry.since, entry.bytes);
        self.large_bytes += self.large(entry);
        if entry.is_evicted {
            self.evicted_bytes += bytes;
            self.evicted_connections += 1;
            return;
        }
        match entry.phase {
            Phase::Idle => self.idle.insert(since, id, bytes),
            Phase::Closing => self.closing.insert(since, id, bytes),
            Phase::Receiving => self.receiving.insert(self.order(entry), id, bytes),
            Phase::Serving => {}
        }
    }

    fn unlink(&mut self, id: Id) {
        let entry = &self.entries[id];
        let (since, bytes) = (entry.since, entry.bytes);
        self.large_bytes -= self.large(entry);
        if entry.is_evicted {
            self.evicted_bytes -= bytes;
            self.evicted_connections -= 1;
            return;
        }
        match entry.phase {
            Phase::Idle => self.idle.remove(since, id, bytes),
            Phase::Closing => self.closing.remove(since, id, bytes),
            Phase::Receiving => self.receiving.remove(self.order(entry), id, bytes),
            Phase::Serving => {}
        }
    }

    fn order(&self, entry: &Entry) -> (usize, Reverse<u64>) {
        let extra = entry.bytes - self.capacity.connection_bytes;
        (rank(extra), Reverse(entry.since))
    }
}
