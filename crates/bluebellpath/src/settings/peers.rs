//! Settings of the way to other entry instances.

use std::{fmt, net::SocketAddr};

use serde::Deserialize;

/// Settings of the way to other entry instances.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address for heartbeats (UDP) and calls (TCP), as the instance list has it.
    pub listen: SocketAddr,
    /// Secret that all entry instances share.
    pub key: String,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Peers");
        debug.field("listen", &self.listen).finish_non_exhaustive()
    }
}
