//! Job ids that entry instances issue.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Incarnation;
use crate::settings::Domain;

/// Job id that only the incarnation that issued it may start.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("ticket.{domain}.{incarnation}.{counter}")]
pub struct Ticket {
    /// Failure domain of the issuer.
    pub domain: Domain,
    /// Incarnation of the issuer.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub counter: u64,
}
