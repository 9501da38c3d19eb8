/*!
The queues in force.

A [`Config`] is one version of what the operator wants. An instance takes only
higher versions than the one it has, so it never goes back, wherever a version
comes from.
*/

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

/// Newest configuration that the platform showed to somebody.
///
/// Of two sightings of the same configuration the one at the higher platform
/// version is the later one, whoever made it. A view that stands still gives no
/// later ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Version of the configuration.
    pub config_version: u64,
    /// Version of the platform's tables at which it was the newest.
    pub table_version: u64,
}

/// Queue, found by host and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Name.
    pub name: Rc<str>,
    /// Host of its requests.
    pub host: Rc<str>,
    /// Start of the path of its requests.
    pub prefix: Rc<str>,
    /// Service that runs its tasks.
    pub service: Rc<str>,
    /// Priority, 0 first.
    pub priority: u8,
    /// Failures of a task after which its job has failed.
    pub max_attempts: u32,
    /// Multiple of a job's run time in which it should be answered, in
    /// thousandths.
    pub stretch_permille: u32,
    /// Time beyond that in which it should be answered.
    pub latency_margin: Duration,
    /// Longest time for a request.
    pub timeout: Duration,
    /// True where only a service of its own knows which targets may run a step.
    pub needs_advice: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Version.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Rc<Queue>>,
    /// Document from which it was read, for peers that lack it.
    pub document: Rc<str>,
}

impl Config {
    /// Queue of a request: the longest prefix of `path` under `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Queue>> {
        let matching = self.queues.iter();
        let matching = matching.filter(|it| *it.host == *host && path.starts_with(&*it.prefix));
        matching.max_by_key(|it| it.prefix.len())
    }
}
