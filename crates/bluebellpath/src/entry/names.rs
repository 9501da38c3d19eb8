//! Small numbers for names.

use std::{cell::RefCell, collections::HashMap};

/// Numbers for names, in the order in which they were first seen.
#[derive(Default)]
pub(super) struct Names(RefCell<HashMap<String, u32>>);

impl Names {
    /// Number of `name`.
    pub(super) fn number(&self, name: &str) -> u32 {
        let mut names = self.0.borrow_mut();
        if let Some(number) = names.get(name) {
            return *number;
        }
        let number = names.len() as u32;
        names.insert(name.to_owned(), number);
        number
    }
}
