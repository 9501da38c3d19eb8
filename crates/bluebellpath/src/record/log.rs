//! Entries of one incarnation.

use std::cell::RefCell;

use super::Entry;

/// Entries that wait to be written.
#[derive(Default)]
pub struct Log {
    entries: RefCell<Vec<Entry>>,
}

impl Log {
    /// Log without entries.
    pub fn new() -> Log {
        Log::default()
    }

    /// Appends an entry.
    pub fn append(&self, entry: Entry) {
        self.entries.borrow_mut().push(entry);
    }

    /// Entries that wait to be written.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// True without entries that wait.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }
}
