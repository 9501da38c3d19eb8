//! Faults of a submission.

use serde::{Deserialize, Serialize};

/// One fault of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of the field, such as `tasks[3].size`.
    pub field: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}
