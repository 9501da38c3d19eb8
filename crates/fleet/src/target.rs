//! Targets as the list of instances names them.

use std::{net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::Resources;

/// One life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Id, unique among all targets; a restarted one may keep it.
    pub id: Rc<str>,
    /// Unix time of its start in milliseconds, which tells lives apart.
    pub incarnation_ms: u64,
    /// Address that takes orders.
    pub address: SocketAddr,
    /// Service whose tasks it runs.
    pub service: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
    /// Capacity.
    pub capacity: Resources,
    /// Kind and rack.
    pub labels: Vec<Rc<str>>,
    /// True once it has said that it leaves.
    pub draining: bool,
}

impl Target {
    /// Short name of the target `id` in messages between instances.
    pub fn short_id(id: &str) -> u32 {
        let hash = blake3::hash(id.as_bytes());
        let mut low = [0; 4];
        low.copy_from_slice(&hash.as_bytes()[..4]);
        u32::from_le_bytes(low)
    }

    /// True when it carries `label`.
    pub fn has(&self, label: &str) -> bool {
        self.labels.iter().any(|it| &**it == label)
    }
}
