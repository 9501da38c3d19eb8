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
const WORD_BITS: u64 = 64;

/// State of a ticket.
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
/// A bit window over the latest counters bounds the memory whatever callers do
/// with their tickets. Tickets older than the window count as used, so no ticket
/// is ever used twice.
pub struct Tickets {
    domain: Domain,
    incarnation: Incarnation,
    last_issued: Cell<u64>,
    used_bits: RefCell<VecDeque<u64>>,
    /// First counter of the window; a multiple of [`WORD_BITS`].
    window_start: Cell<u64>,
    window_size: u64,
}

impl Tickets {
    /// Creates the tickets of `incarnation`; tracks at least the last `window`.
    pub fn new(domain: Domain, incarnation: Incarnation, window: u64) -> Tickets {
        Tickets {
            domain,
            incarnation,
            last_issued: Cell::new(0),
            used_bits: RefCell::default(),
            window_start: Cell::new(0),
            window_size: window.max(WORD_BITS),
        }
    }

    /// Issues a ticket.
    pub fn issue(&self) -> Ticket {
        self.last_issued.set(self.last_issued.get() + 1);
        let counter = self.last_issued.get();
        self.extend_window(counter);
        Ticket {
            domain: self.domain,
            incarnation: self.incarnation,
            counter,
        }
    }

    /// State of `ticket`, which must name this incarnation.
    pub fn state(&self, ticket: &Ticket) -> TicketState {
        let counter = ticket.counter;
        if counter == 0 || counter > self.last_issued.get() {
            return TicketState::Unissued;
        }
        match self.bit_position(counter) {
            None => TicketState::Expired,
            Some((word, bit)) if self.used_bits.borrow()[word] & bit != 0 => TicketState::Used,
            Some(_) => TicketState::Fresh,
        }
    }

    /// Marks a ticket as used.
    pub fn mark(&self, ticket: &Ticket) {
        if let Some((word, bit)) = self.bit_position(ticket.counter) {
            self.used_bits.borrow_mut()[word] |= bit;
        }
    }

    /// Marks a ticket as unused again, because its job certainly never ran.
    pub fn renew(&self, ticket: &Ticket) {
        if let Some((word, bit)) = self.bit_position(ticket.counter) {
            self.used_bits.borrow_mut()[word] &= !bit;
        }
    }

    /// Moves the window so that it ends after `counter`.
    fn extend_window(&self, counter: u64) {
        let mut used_bits = self.used_bits.borrow_mut();
        while self.window_start.get() + used_bits.len() as u64 * WORD_BITS <= counter {
            used_bits.push_back(0);
        }
        while used_bits.len() as u64 * WORD_BITS > self.window_size + WORD_BITS {
            used_bits.pop_front();
            self.window_start.set(self.window_start.get() + WORD_BITS);
        }
    }

    /// Word index and bit mask of `counter`; `None` outside the window.
    fn bit_position(&self, counter: u64) -> Option<(usize, u64)> {
        let offset = counter.checked_sub(self.window_start.get())?;
        let word = (offset / WORD_BITS) as usize;
        (word < self.used_bits.borrow().len()).then_some((word, 1 << (offset % WORD_BITS)))
    }
}
