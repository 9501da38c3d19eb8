//! Tickets of one incarnation.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
};

use crate::{
    job::{Incarnation, Ticket},
    settings::Domain,
};

/// Bits in a word of the window.
const WORD: u64 = 64;

/// What is known of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketState {
    /// Issued and never used.
    Fresh,
    /// A job was admitted under it.
    Used,
    /// So old that it may have been used.
    Expired,
    /// Never issued.
    Unissued,
}

/// Tickets of one incarnation and which of them were used.
///
/// A window of bits over the latest counters: memory is bounded whatever
/// callers do with their tickets, and what falls out of it counts as used, so
/// that no ticket is ever used twice.
pub struct Tickets {
    domain: Domain,
    incarnation: Incarnation,
    issued: Cell<u64>,
    words: RefCell<VecDeque<u64>>,
    /// First counter of the window; a multiple of [`WORD`].
    base: Cell<u64>,
    window: u64,
}

impl Tickets {
    /// Tickets of `incarnation`, of which the last `window` are told apart.
    pub fn new(domain: Domain, incarnation: Incarnation, window: u64) -> Tickets {
        Tickets {
            domain,
            incarnation,
            issued: Cell::new(0),
            words: RefCell::default(),
            base: Cell::new(0),
            window: window.max(WORD),
        }
    }

    /// Issues a ticket.
    pub fn issue(&self) -> Ticket {
        self.issued.set(self.issued.get() + 1);
        let counter = self.issued.get();
        self.reach(counter);
        Ticket {
            domain: self.domain,
            incarnation: self.incarnation,
            counter,
        }
    }

    /// What is known of `ticket`, which names this incarnation.
    pub fn state(&self, ticket: &Ticket) -> TicketState {
        let counter = ticket.counter;
        if counter == 0 || counter > self.issued.get() {
            return TicketState::Unissued;
        }
        match self.place(counter) {
            None => TicketState::Expired,
            Some((word, bit)) if self.words.borrow()[word] & bit != 0 => TicketState::Used,
            Some(_) => TicketState::Fresh,
        }
    }

    /// Marks a ticket as used.
    pub fn mark(&self, ticket: &Ticket) {
        if let Some((word, bit)) = self.place(ticket.counter) {
            self.words.borrow_mut()[word] |= bit;
        }
    }

    /// Lets a ticket be used again, as its job certainly never ran.
    pub fn renew(&self, ticket: &Ticket) {
        if let Some((word, bit)) = self.place(ticket.counter) {
            self.words.borrow_mut()[word] &= !bit;
        }
    }

    fn reach(&self, counter: u64) {
        let mut words = self.words.borrow_mut();
        while self.base.get() + words.len() as u64 * WORD <= counter {
            words.push_back(0);
        }
        while words.len() as u64 * WORD > self.window + WORD {
            words.pop_front();
            self.base.set(self.base.get() + WORD);
        }
    }

    fn place(&self, counter: u64) -> Option<(usize, u64)> {
        let offset = counter.checked_sub(self.base.get())?;
        let word = (offset / WORD) as usize;
        (word < self.words.borrow().len()).then_some((word, 1 << (offset % WORD)))
    }
}
