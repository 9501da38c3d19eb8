//! Faults of a document.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is wrong with one field of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{field}: found {found}, allowed {allowed}{}", self.hint())]
pub struct Fault {
    /// Path of the field.
    pub field: String,
    /// What it holds.
    pub found: String,
    /// What it may hold.
    pub allowed: String,
    /// Known name that is most like the one found.
    pub nearest: Option<String>,
}

impl Fault {
    fn hint(&self) -> String {
        match &self.nearest {
            Some(name) => format!(" (nearest: {name})"),
            None => String::new(),
        }
    }
}
