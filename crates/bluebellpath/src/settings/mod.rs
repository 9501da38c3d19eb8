/*!
What one process is started with: addresses, its failure domain, limits.

Settings belong to one process and are read once. What all instances must agree
on lives in the platform's table instead, see [`config`](crate::config).
*/

mod domain;
mod error;
mod peers;
mod process;

pub use domain::Domain;
pub use error::Error;
pub use peers::Peers;
pub use process::Settings;
