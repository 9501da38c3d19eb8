//! Targets as listed by the platform.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::Resources;

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Id, unique among all targets. A restarted target may keep its id.
    pub id: Rc<str>,
    /// Start time of the target process in Unix milliseconds, which identifies
    /// the incarnation.
    pub incarnation_ms: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// Service whose tasks the target runs.
    pub service: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Total capacity.
    pub capacity: Resources,
    /// Labels, which name the kind of target and its rack.
    pub labels: Vec<Rc<str>>,
    /// True once the target has announced that it is shutting down.
    pub draining: bool,
}

impl Target {
    /// Hash of the target id, used in messages between instances.
    pub fn short_id(id: &str) -> u32 {
        let hash = blake3::hash(id.as_bytes());
        let mut prefix = [0; 4];
        prefix.copy_from_slice(&hash.as_bytes()[..4]);
        u32::from_le_bytes(prefix)
    }

    /// Whether this may describe the incarnation that started at `incarnation_ms`. An
    /// entry without a start time has 0.
    pub fn may_be_incarnation(&self, incarnation_ms: u64) -> bool {
        self.incarnation_ms == 0 || self.incarnation_ms == incarnation_ms
    }

    /// Whether the target has `label`.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|it| &**it == label)
    }
}
