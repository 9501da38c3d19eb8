//! Timing of a planned stop.

use std::time::Duration;

use super::{
    rule::{DURATION, TIMEOUT},
    section::Section,
};

/// Timing of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time for which a stopping instance still accepts new requests, so that
    /// the load balancer can detect that it is not ready.
    pub grace: Duration,
    /// Maximum time for requests in progress after that.
    pub limit: Duration,
}

impl Default for Drain {
    /// 5 s for the load balancer, 60 s for requests in progress.
    fn default() -> Drain {
        Drain {
            grace: Duration::from_secs(5),
            limit: Duration::from_secs(60),
        }
    }
}

impl Drain {
    pub(super) fn read(section: &Section<'_>) -> Drain {
        let default = Drain::default();
        Drain {
            grace: section
                .optional("grace", &DURATION)
                .unwrap_or(default.grace),
            limit: section.optional("limit", &TIMEOUT).unwrap_or(default.limit),
        }
    }
}
