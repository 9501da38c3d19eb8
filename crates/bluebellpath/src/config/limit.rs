//! Limits of targets.

use serde::{Deserialize, Serialize};

use crate::settings::Domain;

/// Limit on every target of a failure domain, below what the list says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Failure domain.
    pub domain: Domain,
    /// Most tasks at once on a target.
    pub slots: u32,
    /// Most connections to a target.
    pub connections: u32,
}
