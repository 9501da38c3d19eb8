//! What an instance says of itself and of its peers.

use std::net::SocketAddr;

use bluebellpath_runtime::clock;
use serde::{Deserialize, Serialize};

use crate::{entry::Entry, job::Incarnation, peer::Phase, settings::Domain};

/// What this instance acts under.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Version in force.
    pub version: u64,
    /// Preset in force.
    pub preset: String,
    /// Wall time since when that can't be confirmed, in milliseconds since the
    /// epoch.
    pub unconfirmed_since: Option<u64>,
    /// Version that comes into force next.
    pub next_version: Option<u64>,
    /// When it does, in milliseconds since the epoch.
    pub next_effective_ms: Option<u64>,
}

/// What was in force at a wall time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct At {
    /// Wall time that was asked for, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Version.
    pub version: u64,
    /// Preset.
    pub preset: String,
    /// Since when, in milliseconds since the epoch.
    pub effective_ms: u64,
    /// Who put it in force.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// Target that an instance has reason to avoid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Name of the target.
    pub target: String,
    /// Slowness against its peers, in thousandths; `u32::MAX` when it fails.
    pub slowness_permille: u32,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name in the instance list.
    pub name: String,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: Domain,
    /// Address for peers.
    pub address: SocketAddr,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Newest configuration version that it knows.
    pub config_version: u64,
    /// Age of its last reading of the configuration, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// Time since its last sign of life, in milliseconds.
    pub heard_ms: u64,
    /// Tasks that wait there.
    pub waiting: u32,
    /// Tasks that run for it.
    pub running: u32,
    /// Targets that it has reason to avoid.
    pub suspects: Vec<Suspect>,
}

/// Entry instances of a domain, as one of them sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instances {
    /// Instance that says so.
    pub seen_by: String,
    /// Instances, by name.
    pub instances: Vec<Instance>,
}

impl InForce {
    /// What `entry` acts under.
    pub fn of(entry: &Entry) -> InForce {
        let config = entry.config();
        let view = config.view();
        let next = config.next_revision();
        InForce {
            version: view.version,
            preset: view.document.preset.clone(),
            unconfirmed_since: view.unconfirmed_since,
            next_version: next.as_ref().map(|it| it.version),
            next_effective_ms: next.and_then(|it| it.effective_ms),
        }
    }
}

impl Instances {
    /// Instances that `entry` knows, itself included.
    pub fn of(entry: &Entry) -> Instances {
        let membership = entry.membership();
        let mut own = crate::peer::Heartbeat::new(membership.identity().clone(), 0);
        entry.heartbeat_source().fill(&mut own);
        let mut instances = vec![Instance::of(&own, 0)];
        for peer in membership.peers() {
            let heard_ms = (clock::now() - peer.heard).as_millis() as u64;
            instances.push(Instance::of(&peer.heartbeat, heard_ms));
        }
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        Instances {
            seen_by: membership.identity().name.clone(),
            instances,
        }
    }
}

impl Instance {
    fn of(heartbeat: &crate::peer::Heartbeat, heard_ms: u64) -> Instance {
        let suspect = |it: &crate::peer::Suspect| Suspect {
            target: it.target.clone(),
            slowness_permille: it.slowness_permille,
        };
        let age = |read_ms| clock::wall().saturating_sub(read_ms);
        Instance {
            name: heartbeat.from.name.clone(),
            incarnation: heartbeat.from.incarnation,
            domain: heartbeat.from.domain,
            address: heartbeat.from.address,
            phase: heartbeat.phase,
            config_version: heartbeat.config_version,
            config_age_ms: heartbeat.config_read_ms.map(age),
            heard_ms,
            waiting: heartbeat.load.waiting,
            running: heartbeat.load.running,
            suspects: heartbeat.suspects.iter().map(suspect).collect(),
        }
    }
}
