//! Errors of settings.

use derive_more::{Display, Error};

/// Settings that can't be used.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The file can't be read.
    #[display("{path}: {detail}")]
    Read {
        /// Path of the file.
        path: String,
        /// Cause.
        detail: String,
    },
    /// The text is no settings document.
    #[display("{detail}")]
    Parse {
        /// Cause, with its place.
        detail: String,
    },
}
