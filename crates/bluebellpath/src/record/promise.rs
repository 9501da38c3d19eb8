//! What the system promises about every request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What the system promises about every request.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Promise {
    /// No task of a submission starts twice.
    #[display("P1 no task starts twice")]
    P1,
    /// The answer is complete or marked failed, never partial.
    #[display("P2 the answer is whole or marked")]
    P2,
    /// Each caller gets the whole answer to its own request.
    #[display("P3 each caller gets its own answer")]
    P3,
    /// "Not run" is true; what is not known is said as not known.
    #[display("P4 what is said to be not run was not run")]
    P4,
    /// A non-idempotent task runs at most once.
    #[display("P5 a non-idempotent task runs at most once")]
    P5,
    /// A leaving target gets no new work.
    #[display("P6 a leaving target gets no new work")]
    P6,
    /// A planned stop cuts off no request in progress.
    #[display("P7 a planned stop cuts off nothing")]
    P7,
    /// Exactly one preset is in force.
    #[display("P8 one preset is in force")]
    P8,
    /// Promises and preset can be shown for every request.
    #[display("P9 the request is in the record")]
    P9,
}
