//! Validation faults of a settings file.

use std::fmt;

/// Validation fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `http.idle`; empty for the whole document.
    pub field: String,
    /// Value found, or a description of it.
    pub found: String,
    /// Allowed values.
    pub allowed: String,
    /// Known name most similar to an unknown one.
    pub nearest: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "found {}, allowed: {}", self.found, self.allowed)?;
        match &self.nearest {
            Some(nearest) => write!(f, " (did you mean `{nearest}`?)"),
            None => Ok(()),
        }
    }
}
