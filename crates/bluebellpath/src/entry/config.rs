//! Configuration of an entry instance.

use std::{net::SocketAddr, time::Duration};

use super::InjectedFault;
use crate::{job::Incarnation, owner, peer, platform::guard, record, settings::Domain};

/// Configuration of an entry instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance in the instance list.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address on which peers reach the instance.
    pub address: SocketAddr,
    /// Heartbeat timing.
    pub membership: peer::Config,
    /// Rate limits, retries and circuit breakers for platform requests.
    pub platform: guard::Config,
    /// Batch sizes and intervals of the audit record.
    pub record: record::Config,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Number of configured failure domains.
    pub domain_count: u16,
    /// Interval between reads of the instance list.
    pub list_interval: Duration,
    /// Lease that a target gets with each task.
    pub task_lease: Duration,
    /// Time for which an answer is kept after the job was answered.
    pub answer_retention: Duration,
    /// Time for which an answer is kept if no task of the job ran, because the
    /// job was refused or its deadline passed. After that, the same id may be
    /// submitted again.
    pub refusal_retention: Duration,
    /// Maximum number of jobs in memory, including answered ones.
    pub max_jobs: usize,
    /// Leases on key shards and claims of keys.
    pub owner: owner::Config,
    /// Fault that a test injects to check its checkers; `None` in daemons.
    pub injected_fault: Option<InjectedFault>,
}

impl Config {
    /// Returns the defaults for the instance `name` in a single domain: reads
    /// the instance list every second, leases tasks for 10 s, keeps answers for
    /// 60 s, refusals for 1 s and at most 100,000 jobs.
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
