//! The configuration that this instance acts under.

use std::{cell::RefCell, rc::Rc};

use super::Document;

/// Configuration at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Version of the document.
    pub version: u64,
    /// The document.
    pub document: Rc<Document>,
    /// Wall time since when the version can't be confirmed, in milliseconds
    /// since the epoch; `None` while it is confirmed.
    pub unconfirmed_since: Option<u64>,
}

/// Configuration that this instance acts under.
pub struct Current(RefCell<Rc<View>>);

impl Current {
    /// Starts with `document` at `version`, confirmed.
    pub fn new(version: u64, document: Document) -> Current {
        let view = View {
            version,
            document: Rc::new(document),
            unconfirmed_since: None,
        };
        Current(RefCell::new(Rc::new(view)))
    }

    /// Configuration in force now.
    pub fn view(&self) -> Rc<View> {
        self.0.borrow().clone()
    }
}
