//! Stand-ins as HTTP servers.

mod platform;
mod target;

pub use platform::Platform;
pub use target::Target;
