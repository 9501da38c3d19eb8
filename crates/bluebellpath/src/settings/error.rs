//! Errors of settings.

use derive_more::{Display, Error};

use super::Fault;

/// Settings that can't be used.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// A file or variable can't be read.
    #[display("{path}: {detail}")]
    Read {
        /// Path of the file, or name of the variable.
        path: String,
        /// Cause.
        detail: String,
    },
    /// The document has faults.
    #[display("{}", join_lines(faults))]
    Invalid {
        /// All of them, in the order of their places.
        faults: Vec<Fault>,
    },
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
