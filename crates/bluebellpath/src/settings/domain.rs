//! Failure domains.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Failure domain, by its place in the settings' list.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Domain(u16);

impl Domain {
    /// Domain at `index` of the list.
    pub const fn new(index: u16) -> Domain {
        Domain(index)
    }

    /// Place in the list.
    pub const fn index(self) -> u16 {
        self.0
    }
}
