//! Target in a dump.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::platform;

/// Target in a dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name in the instance list.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub state: platform::State,
    /// Tasks that run at once.
    pub slots: u32,
}
