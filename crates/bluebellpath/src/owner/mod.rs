/*!
Ownership of jobs: which instance may start them.

A ticket names the only incarnation that may start its job. A caller's own key
is claimed in the platform's table before the first start.
*/

mod claim;

pub use claim::{Claim, Claims};
