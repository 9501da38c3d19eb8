//! Limits of targets.

use serde::{Deserialize, Serialize};

use crate::settings::Domain;

/// Limit for each target of a failure domain; the lower of this and the instance
/// list applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Failure domain.
    pub domain: Domain,
    /// Maximum concurrent tasks on a target.
    pub slots: u32,
    /// Maximum connections to a target.
    pub connections: u32,
}
