/*!
The queue configuration.

A [`Config`] is one version of the operator's settings. An instance accepts only
a higher version than its own, whatever its source, so it never goes back.
*/

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

/// Newest configuration that some instance has read from the platform.
///
/// Of two observations of the same configuration, the one at the higher table
/// version is the later one, whichever instance made it. A stale view yields no
/// later observations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Version of the configuration.
    pub config_version: u64,
    /// Version of the platform's tables at which the configuration was current.
    pub table_version: u64,
}

/// Queue, selected by the host and path of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Name.
    pub name: Rc<str>,
    /// Host of the requests.
    pub host: Rc<str>,
    /// Prefix of the path of the requests.
    pub prefix: Rc<str>,
    /// Service that runs the tasks.
    pub service: Rc<str>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Failures of a task after which its job has failed.
    pub max_attempts: u32,
    /// Latency goal of a job as a multiple of its run time, in thousandths.
    pub stretch_permille: u32,
    /// Time added to that multiple.
    pub latency_margin: Duration,
    /// Longest time for a request.
    pub timeout: Duration,
    /// True if an external service decides which targets may run a step.
    pub needs_advice: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Version.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Rc<Queue>>,
    /// Source document, for peers that don't have it.
    pub document: Rc<str>,
}

impl Config {
    /// Returns the queue of a request: the one with the longest prefix of `path`
    /// under `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Queue>> {
        let matching = self.queues.iter();
        let matching = matching.filter(|it| *it.host == *host && path.starts_with(&*it.prefix));
        matching.max_by_key(|it| it.prefix.len())
    }
}
