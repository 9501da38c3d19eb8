//! Failure domains.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Failure domain, as an index into the `domains` of the settings.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Domain(u16);

impl Domain {
    /// Creates the domain at `index` of the list.
    pub const fn new(index: u16) -> Domain {
        Domain(index)
    }

    /// Index in the list.
    pub const fn index(self) -> u16 {
        self.0
    }
}
