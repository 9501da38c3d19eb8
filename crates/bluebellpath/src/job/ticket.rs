//! Job ids that an entry instance hands out.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Incarnation;
use crate::settings::Domain;

/// Job id that only the incarnation named in it may ever start.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("ticket.{domain}.{incarnation}.{counter}")]
pub struct Ticket {
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Number within the run.
    pub counter: u64,
}
