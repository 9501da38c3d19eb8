//! Validation faults of a document.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Invalid field of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{field}: found {found}, allowed {allowed}{}", self.hint())]
pub struct Fault {
    /// Path of the field.
    pub field: String,
    /// Value found.
    pub found: String,
    /// Allowed values.
    pub allowed: String,
    /// Known name most similar to an unknown one.
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
