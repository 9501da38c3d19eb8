//! Errors of loading settings.

use derive_more::{Display, Error};

use super::Fault;

/// Error of loading settings.
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
        /// All faults, in the order of their positions.
        faults: Vec<Fault>,
    },
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
