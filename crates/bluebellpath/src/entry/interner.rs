//! Interned names.

use std::{cell::RefCell, collections::HashMap};

/// Maps names to numbers, which are assigned from 0 in the order of first use.
#[derive(Default)]
pub(super) struct Interner(RefCell<HashMap<String, u32>>);

impl Interner {
    /// Returns the number of `name` and assigns one if there is none.
    pub(super) fn intern(&self, name: &str) -> u32 {
        let mut names = self.0.borrow_mut();
        if let Some(number) = names.get(name) {
            return *number;
        }
        let number = names.len() as u32;
        names.insert(name.to_owned(), number);
        number
    }
}
