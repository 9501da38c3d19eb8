//! Errors in the fields of a submission.

use serde::{Deserialize, Serialize};

/// Error in one field of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, such as `tasks[3].size`.
    pub field: String,
    /// Value that was found.
    pub found: String,
    /// Values that are allowed.
    pub allowed: String,
}
