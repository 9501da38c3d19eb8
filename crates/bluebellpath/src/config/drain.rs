//! Drains of targets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    platform::{Instance, Role},
    settings::Domain,
};

/// Targets that receive no new tasks.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Drain {
    /// One target.
    #[display("target {_0}")]
    Target(String),
    /// All targets of a rack.
    #[display("rack {rack} of domain {domain}")]
    Rack {
        /// Failure domain.
        domain: Domain,
        /// Rack within it.
        rack: u32,
    },
    /// All targets of a failure domain.
    #[display("domain {_0}")]
    Domain(Domain),
}

impl Drain {
    /// True if `instance` is a target that this drain covers.
    pub fn covers(&self, instance: &Instance) -> bool {
        let named = match self {
            Drain::Target(name) => *name == instance.name,
            Drain::Rack { domain, rack } => *domain == instance.domain && *rack == instance.rack,
            Drain::Domain(domain) => *domain == instance.domain,
        };
        named && instance.role == Role::Target
    }
}
