/*!
Rate limits, retries and circuit breakers for the platform's services.

The store handles several hundred writes and about two thousand reads a second
from all instances together. Each entry instance limits itself to an equal share
among the entry instances in the list. The table, the object store and the
instance list have separate rate limits and circuit breakers, so a backlog of
records never delays a lease.

A request is retried while the retry budget allows it. Reads and writes of whole
objects can always be retried, and so can a transaction that was refused. A
transaction with an unknown outcome is retried only if all its writes are
conditional; a conflict on the retry then shows whether an earlier attempt took
effect, see [`EarlierAttempt`]. If any attempt may have taken effect, the request
fails with [`Fault::Unknown`], whatever the last attempt reported.
*/

mod breaker;
mod rate_limiter;
mod config;
mod service;
mod retry;
mod counters;
mod earlier_attempt;

pub use config::Config;
pub use counters::Counters;
pub use earlier_attempt::{EarlierAttempt, is_repeatable};

use std::rc::Rc;

use bluebellpath_runtime::LocalFuture;

use self::service::Service;
use super::{
    Changes, Commit, Error, Fault, Instance, Item, List, Row, Step, Store, Table, Version, Write,
};
use crate::settings::Domain;

/// Platform clients with rate limits, retries and circuit breakers.
pub struct Guarded {
    table: Rc<dyn Table>,
    objects: Rc<dyn Store>,
    list: Rc<dyn List>,
    table_service: Service,
    objects_service: Service,
    list_service: Service,
}

/// Request counters of all services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCounters {
    /// Of the table.
    pub table: Counters,
    /// Of the object store.
    pub objects: Counters,
    /// Of the instance list.
    pub list: Counters,
}

impl Guarded {
    /// Wraps the clients of three services; `seed` seeds the jitter of backoff.
    pub fn new(
        table: Rc<dyn Table>,
        objects: Rc<dyn Store>,
        list: Rc<dyn List>,
        config: Config,
        seed: u64,
    ) -> Guarded {
        Guarded {
            table,
            objects,
            list,
            table_service: Service::new("table", &config, config.commits_per_s, seed),
            objects_service: Service::new("object store", &config, config.puts_per_s, seed ^ 1),
            list_service: Service::new("instance list", &config, 1.0, seed ^ 2),
        }
    }

    /// Sets the rate limits to an equal share among `entries` entry instances.
    pub fn share(&self, entries: usize) {
        self.table_service.share(entries);
        self.objects_service.share(entries);
        self.list_service.share(entries);
    }

    /// Counters since the start.
    pub fn counters(&self) -> PlatformCounters {
        PlatformCounters {
            table: self.table_service.counters(),
            objects: self.objects_service.counters(),
            list: self.list_service.counters(),
        }
    }

    /// True while the table's circuit breaker is not closed.
    pub fn is_table_down(&self) -> bool {
        self.table_service.is_open()
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, Error> {
        let service = &self.table_service;
        let mut state = service.begin();
        loop {
            let attempt = service
                .attempt(Step::Commit, self.table.commit(writes))
                .await;
            let error = match attempt {
                Ok(Commit::Conflict(conflicts)) if state.may_have_applied => {
                    match EarlierAttempt::from_conflicts(writes, &conflicts) {
                        EarlierAttempt::Applied(versions) => return Ok(Commit::Done(versions)),
                        EarlierAttempt::NotApplied => return Ok(Commit::Conflict(conflicts)),
                        EarlierAttempt::Unknown => return Err(service.fail(&state, lost_answer())),
                    }
                }
                Ok(commit) => return Ok(commit),
                Err(error) => error,
            };
            state.record_failure(&error);
            let repeatable = !state.may_have_applied || is_repeatable(writes);
            if !repeatable || !service.wait_for_retry(&mut state).await {
                return Err(service.fail(&state, error));
            }
        }
    }
}

fn lost_answer() -> Error {
    Error {
        step: Step::Commit,
        peer: "table".to_owned(),
        fault: Fault::Unknown,
        detail: "an answer was lost, and the rows have changed since".to_owned(),
    }
}

/// Makes an idempotent request and retries it on failure.
async fn send_with_retries<'a, T>(
    service: &Service,
    step: Step,
    request: impl Fn() -> LocalFuture<'a, Result<T, Error>>,
) -> Result<T, Error> {
    let mut state = service.begin();
    loop {
        let error = match service.attempt(step, request()).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        state.record_failure(&error);
        if !service.wait_for_retry(&mut state).await {
            return Err(service.fail(&state, error));
        }
    }
}

impl Table for Guarded {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalFuture<'a, Result<Vec<Option<Row>>, Error>> {
        let request = || self.table.read(keys);
        Box::pin(send_with_retries(&self.table_service, Step::Read, request))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<Item>, Error>> {
        let request = move || self.table.scan(prefix, after, limit);
        Box::pin(send_with_retries(&self.table_service, Step::Scan, request))
    }

    fn commit<'a>(&'a self, writes: &'a [Write]) -> LocalFuture<'a, Result<Commit, Error>> {
        Box::pin(Guarded::commit(self, writes))
    }
}

impl Store for Guarded {
    fn put<'a>(&'a self, name: &'a str, body: Vec<u8>) -> LocalFuture<'a, Result<(), Error>> {
        let request = move || self.objects.put(name, body.clone());
        Box::pin(send_with_retries(&self.objects_service, Step::Put, request))
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>, Error>> {
        let request = move || self.objects.get(name);
        Box::pin(send_with_retries(&self.objects_service, Step::Get, request))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<String>, Error>> {
        let request = move || self.objects.list(prefix, after, limit);
        Box::pin(send_with_retries(
            &self.objects_service,
            Step::List,
            request,
        ))
    }
}

impl List for Guarded {
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>> {
        let request = || self.list.instances();
        Box::pin(send_with_retries(
            &self.list_service,
            Step::Instances,
            request,
        ))
    }

    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>> {
        let request = move || self.list.changes(domain, since);
        Box::pin(send_with_retries(
            &self.list_service,
            Step::Instances,
            request,
        ))
    }
}
