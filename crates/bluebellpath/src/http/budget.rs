//! Budget that all connections of callers draw on, as [`Ledger`] decides.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    pin::pin,
    rc::Rc,
};

use bluebellpath_runtime::Notify;
use futures_util::future::{Either, select};
use slog::{Discard, Logger, info, o, warn};

use super::{
    Fault,
    ledger::{Capacity, Decision, Eviction, Id, Ledger, Phase},
};

/// Bytes and connections that all callers of a process share.
#[derive(Clone)]
pub struct Budget(Rc<Shared>);

struct Shared {
    ledger: RefCell<Ledger>,
    /// Tells a connection that it was evicted.
    signals: RefCell<HashMap<Id, Rc<Signal>>>,
    /// Notified whenever something is given back.
    released: Notify,
    evictions: Cell<u64>,
    refusals: Cell<u64>,
    log: Logger,
}

#[derive(Default)]
struct Signal {
    is_set: Cell<bool>,
    changed: Notify,
}

/// Use of a budget, and what it could not serve since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Open connections.
    pub connections: u64,
    /// Bytes that they are charged with.
    pub bytes: u64,
    /// Connections closed to make room for others.
    pub evictions: u64,
    /// Connections and requests refused for lack of room.
    pub refusals: u64,
}

impl Budget {
    /// Budget of `capacity`, which logs its decisions to `log`.
    pub fn new(capacity: Capacity, log: Logger) -> Budget {
        Budget(Rc::new(Shared {
            ledger: RefCell::new(Ledger::new(capacity)),
            signals: RefCell::default(),
            released: Notify::new(),
            evictions: Cell::default(),
            refusals: Cell::default(),
            log,
        }))
    }

    /// Budget that nothing exceeds.
    pub fn unlimited() -> Budget {
        Budget::new(Capacity::UNLIMITED, Logger::root(Discard, o!()))
    }

    /// Present use.
    pub fn usage(&self) -> Usage {
        let ledger = self.0.ledger.borrow();
        Usage {
            connections: ledger.connections() as u64,
            bytes: ledger.bytes() as u64,
            evictions: self.0.evictions.get(),
            refusals: self.0.refusals.get(),
        }
    }

    /// Account of a new connection, or `None` if there is no room for it.
    pub(super) async fn admit(&self) -> Option<Account> {
        loop {
            let released = self.0.released.notified();
            let mut evicted = Vec::new();
            let admitted = self.0.ledger.borrow_mut().admit(&mut evicted);
            self.0.evict(&evicted);
            match admitted {
                Ok(id) => {
                    let signal = Rc::<Signal>::default();
                    self.0.signals.borrow_mut().insert(id, signal.clone());
                    let shared = self.0.clone();
                    return Some(Account { shared, id, signal });
                }
                Err(Decision::Waiting) => released.await,
                Err(_) => {
                    self.0.refuse("connection");
                    return None;
                }
            }
        }
    }

    /// Bytes that are held for the callers of another process until the loan is
    /// dropped, or `None` if there is no room for them.
    pub async fn lend(&self, bytes: usize) -> Option<Loan> {
        loop {
            let released = self.0.released.notified();
            let mut evicted = Vec::new();
            let decision = self.0.ledger.borrow_mut().lend(bytes, &mut evicted);
            self.0.evict(&evicted);
            match decision {
                Decision::Granted => {
                    let shared = self.0.clone();
                    return Some(Loan { shared, bytes });
                }
                Decision::Waiting => released.await,
                Decision::Refused => {
                    self.0.refuse("run of a peer");
                    return None;
                }
            }
        }
    }

    /// Closes a part of the connections, as the process has no descriptor left.
    pub(super) fn shed(&self) {
        let mut evicted = Vec::new();
        self.0.ledger.borrow_mut().shed(&mut evicted);
        warn!(self.0.log, "no descriptor left"; "evicted" => evicted.len(),
            "connections" => self.0.in_use().1);
        self.0.evict(&evicted);
    }
}

impl Shared {
    fn evict(&self, evicted: &[Eviction]) {
        if evicted.is_empty() {
            return;
        }
        let signals = self.signals.borrow();
        for eviction in evicted {
            if let Some(signal) = signals.get(&eviction.id) {
                signal.is_set.set(true);
                signal.changed.notify();
            }
            self.evictions.set(self.evictions.get() + 1);
            let (bytes, connections) = self.in_use();
            info!(self.log, "connection closed to make room"; "phase" => ?eviction.phase,
                "bytes" => eviction.bytes, "all_bytes" => bytes, "connections" => connections);
        }
    }

    fn refuse(&self, what: &'static str) {
        self.refusals.set(self.refusals.get() + 1);
        let (bytes, connections) = self.in_use();
        info!(self.log, "refused for lack of room"; "what" => what, "all_bytes" => bytes,
            "connections" => connections);
    }

    fn in_use(&self) -> (usize, usize) {
        let ledger = self.ledger.borrow();
        (ledger.bytes(), ledger.connections())
    }
}

/// Part of a budget that is held for the callers of another process.
pub struct Loan {
    shared: Rc<Shared>,
    bytes: usize,
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().repay(self.bytes);
        self.shared.released.notify();
    }
}

/// Part of a budget that one connection holds until it is dropped.
pub struct Account {
    shared: Rc<Shared>,
    id: Id,
    signal: Rc<Signal>,
}

impl Account {
    /// Charges the connection with `extra` bytes beyond its fixed part, instead of what
    /// it was charged with before. Waits until others have made room.
    pub async fn charge(&self, extra: usize) -> Result<(), Fault> {
        loop {
            let released = self.shared.released.notified();
            let mut evicted = Vec::new();
            let decision = self
                .shared
                .ledger
                .borrow_mut()
                .charge(self.id, extra, &mut evicted);
            self.shared.evict(&evicted);
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Waiting => {
                    let released = self.unless_evicted(released).await;
                    released.ok_or(Fault::NoRoom)?;
                }
                Decision::Refused => {
                    self.shared.refuse("request");
                    return Err(Fault::NoRoom);
                }
            }
        }
    }

    /// Largest charge that a request in progress can have, in bytes.
    pub fn largest_request(&self) -> usize {
        let capacity = self.shared.ledger.borrow().capacity();
        capacity.largest_request() - capacity.connection_bytes
    }

    /// Gives back all but `extra` bytes beyond the fixed part.
    pub(super) fn shrink(&self, extra: usize) {
        let mut evicted = Vec::new();
        let mut ledger = self.shared.ledger.borrow_mut();
        if ledger.extra(self.id) > extra {
            // A smaller charge evicts nobody.
            ledger.charge(self.id, extra, &mut evicted);
            drop(ledger);
            self.shared.released.notify();
        }
    }

    /// Notes what the connection does now.
    pub(super) fn enter(&self, phase: Phase) {
        self.shared.ledger.borrow_mut().enter(self.id, phase);
        if phase == Phase::Closing {
            self.signal.is_set.set(false);
        }
        self.shared.released.notify();
    }

    /// Returns once the connection has to make room.
    pub(super) async fn evicted(&self) {
        while !self.signal.is_set.get() {
            self.signal.changed.notified().await;
        }
    }

    /// `future`, unless the connection has to make room first.
    pub(super) async fn unless_evicted<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        match select(pin!(self.evicted()), pin!(future)).await {
            Either::Left(_) => None,
            Either::Right((output, _)) => Some(output),
        }
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Account").field("id", &self.id).finish()
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.shared.ledger.borrow_mut().remove(self.id);
        self.shared.signals.borrow_mut().remove(&self.id);
        self.shared.released.notify();
    }
}
