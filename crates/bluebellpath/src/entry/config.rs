//! Configuration of an entry instance.

use std::{net::SocketAddr, time::Duration};

use super::InjectedFault;
use crate::{job::Incarnation, owner, peer, platform::guard, record, settings::Domain};

/// Configuration of an entry instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name in the instance list.
    pub name: String,
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Address for peers.
    pub address: SocketAddr,
    /// Timing of heartbeats.
    pub membership: peer::Config,
    /// Rates, retries and circuit breaking towards the platform.
    pub platform: guard::Config,
    /// Sizes and times of the record.
    pub record: record::Config,
    /// Failure domain.
    pub domain: Domain,
    /// Failure domains that are configured.
    pub domain_count: u16,
    /// Time between two readings of the instance list.
    pub list_interval: Duration,
    /// Lease under which targets run tasks.
    pub task_lease: Duration,
    /// Time for which an answer is kept after it was given.
    pub answer_retention: Duration,
    /// Time for which an answer is kept that the job was refused or came too
    /// late to run; the same id may be submitted anew after that.
    pub refusal_retention: Duration,
    /// Most jobs that are kept, answered ones included.
    pub max_jobs: usize,
    /// Leases and claims.
    pub owner: owner::Config,
    /// Fault that a test of the checkers plants; `None` in any daemon.
    pub injected_fault: Option<InjectedFault>,
}

impl Config {
    /// Instance `name` in the only domain: list read each second, tasks leased
    /// for 10 s, answers kept for 60 s, refusals for 1 s, at most 100,000 jobs.
    pub fn new(name: &str, incarnation: Incarnation, address: SocketAddr) -> Config {
        Config {
            name: name.to_owned(),
            incarnation,
            address,
            membership: peer::Config::default(),
            platform: guard::Config::default(),
            record: record::Config::default(),
            domain: Domain::new(0),
            domain_count: 1,
            list_interval: Duration::from_secs(1),
            task_lease: Duration::from_secs(10),
            answer_retention: Duration::from_secs(60),
            refusal_retention: Duration::from_secs(1),
            max_jobs: 100_000,
            owner: owner::Config::default(),
            injected_fault: None,
        }
    }
}
