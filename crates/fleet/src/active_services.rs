/*!
The services whose targets are used.

A service is active while a queue of the configuration in force names it. Once no
queue names it any more, it stays active for as long as an accepted job may have
tasks that were not started. Without a configuration no service is active.

All other services belong to other products, whatever the list of targets says of
them. Their targets cost nothing here: no connection, no place among the held
targets, no wait before this instance is ready.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::config::Config;

/// Shortest time for which a service stays active that no queue names any more. A job
/// may have a longer deadline than its queue has.
const MIN_RETENTION: Duration = Duration::from_secs(30);

/// Services whose targets are used.
#[derive(Debug, Default)]
pub struct ActiveServices {
    named: BTreeSet<Rc<str>>,
    /// Services that no queue names any more, and until when they are active.
    retained: BTreeMap<Rc<str>, Instant>,
}

/// Difference that a configuration makes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Services that are named and were not active before.
    pub added: Vec<Rc<str>>,
    /// Services that are no longer named, with the times for which they stay active.
    pub retired: Vec<(Rc<str>, Duration)>,
}

impl ActiveServices {
    /// Whether the targets of a service are used.
    pub fn contains(&self, service: &str) -> bool {
        self.named.contains(service) || self.retained.contains_key(service)
    }

    /// Replaces the configuration `before` by `config`.
    pub fn configure(&mut self, before: &Config, config: &Config, now: Instant) -> Difference {
        let named: BTreeSet<_> = config.queues.iter().map(|it| it.service.clone()).collect();
        let mut difference = Difference::default();
        for service in &named {
            if !self.contains(service) {
                difference.added.push(service.clone());
            }
            self.retained.remove(service);
        }
        for service in self.named.difference(&named) {
            let queues = before.queues.iter().filter(|it| it.service == *service);
            let longest = queues.map(|it| it.timeout).max().unwrap_or_default();
            let retention = longest.max(MIN_RETENTION);
            self.retained.insert(service.clone(), now + retention);
            difference.retired.push((service.clone(), retention));
        }
        self.named = named;
        difference
    }

    /// Removes and returns the services whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<Rc<str>> {
        let is_over = |it: &(&Rc<str>, &Instant)| *it.1 <= now;
        let over = self.retained.iter().filter(is_over);
        let over: Vec<_> = over.map(|it| it.0.clone()).collect();
        self.retained.retain(|_, until| *until > now);
        over
    }
}
