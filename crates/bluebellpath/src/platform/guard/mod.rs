/*!
The platform behind a policy: rates, retries, circuit breaking, and the truth
about what was dropped.

The store takes several hundred writes and some two thousand reads a second from
all instances together. Each keeps to its part, out of as many entry instances
as the list shows. Table, objects and list have rates and circuits of their own,
so that a backlog of records never delays a lease.

A request is repeated while a retry budget allows it. Reads and writes of whole
objects may be repeated at will. A transaction that was refused may be too. One
whose effect is unknown is repeated only when all of its writes are conditional,
and the conflict that it then meets says what became of the first attempt, see
[`Verdict`]. The error of a request in any attempt of which it may have taken
effect is [`Fault::Unknown`], whatever the last attempt said.
*/

mod breaker;
mod bucket;
mod config;
mod lane;
mod retry;
mod tally;
mod verdict;

pub use config::Config;
pub use tally::Tally;
pub use verdict::{Verdict, is_repeatable};

use std::rc::Rc;

use bluebellpath_runtime::LocalFuture;

use self::lane::Lane;
use super::{
    Changes, Commit, Error, Fault, Instance, Item, List, Row, Step, Store, Table, Version, Write,
};
use crate::settings::Domain;

/// The platform behind a policy.
pub struct Guarded {
    table: Rc<dyn Table>,
    objects: Rc<dyn Store>,
    list: Rc<dyn List>,
    table_lane: Lane,
    objects_lane: Lane,
    list_lane: Lane,
}

/// Counts of all services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tallies {
    /// Of the table.
    pub table: Tally,
    /// Of the object store.
    pub objects: Tally,
    /// Of the instance list.
    pub list: Tally,
}

impl Guarded {
    /// Guards three services; `seed` picks the pauses before retries.
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
            table_lane: Lane::new("table", &config, config.commits_per_s, seed),
            objects_lane: Lane::new("object store", &config, config.puts_per_s, seed ^ 1),
            list_lane: Lane::new("instance list", &config, 1.0, seed ^ 2),
        }
    }

    /// Takes this instance's part of the rates, out of `entries` instances.
    pub fn share(&self, entries: usize) {
        self.table_lane.share(entries);
        self.objects_lane.share(entries);
        self.list_lane.share(entries);
    }

    /// Counts since the start.
    pub fn tallies(&self) -> Tallies {
        Tallies {
            table: self.table_lane.tally(),
            objects: self.objects_lane.tally(),
            list: self.list_lane.tally(),
        }
    }

    /// True while nothing is sent to the table.
    pub fn is_table_down(&self) -> bool {
        self.table_lane.is_open()
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, Error> {
        let lane = &self.table_lane;
        let mut course = lane.begin();
        loop {
            let attempt = lane.attempt(Step::Commit, self.table.commit(writes)).await;
            let error = match attempt {
                Ok(Commit::Conflict(conflicts)) if course.in_doubt => {
                    match Verdict::of(writes, &conflicts) {
                        Verdict::Applied(versions) => return Ok(Commit::Done(versions)),
                        Verdict::Refused => return Ok(Commit::Conflict(conflicts)),
                        Verdict::Unclear => return Err(lane.end(&course, unclear())),
                    }
                }
                Ok(commit) => return Ok(commit),
                Err(error) => error,
            };
            course.failed(&error);
            let repeatable = !course.in_doubt || is_repeatable(writes);
            if !repeatable || !lane.again(&mut course).await {
                return Err(lane.end(&course, error));
            }
        }
    }
}

fn unclear() -> Error {
    Error {
        step: Step::Commit,
        peer: "table".to_owned(),
        fault: Fault::Unknown,
        detail: "an answer was lost, and the rows have moved on since".to_owned(),
    }
}

/// Repeats a request whose repetition does no harm.
async fn repeat<'a, T>(
    lane: &Lane,
    step: Step,
    request: impl Fn() -> LocalFuture<'a, Result<T, Error>>,
) -> Result<T, Error> {
    let mut course = lane.begin();
    loop {
        let error = match lane.attempt(step, request()).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        course.failed(&error);
        if !lane.again(&mut course).await {
            return Err(lane.end(&course, error));
        }
    }
}

impl Table for Guarded {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalFuture<'a, Result<Vec<Option<Row>>, Error>> {
        let request = || self.table.read(keys);
        Box::pin(repeat(&self.table_lane, Step::Read, request))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<Item>, Error>> {
        let request = move || self.table.scan(prefix, after, limit);
        Box::pin(repeat(&self.table_lane, Step::Scan, request))
    }

    fn commit<'a>(&'a self, writes: &'a [Write]) -> LocalFuture<'a, Result<Commit, Error>> {
        Box::pin(Guarded::commit(self, writes))
    }
}

impl Store for Guarded {
    fn put<'a>(&'a self, name: &'a str, body: Vec<u8>) -> LocalFuture<'a, Result<(), Error>> {
        let request = move || self.objects.put(name, body.clone());
        Box::pin(repeat(&self.objects_lane, Step::Put, request))
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>, Error>> {
        let request = move || self.objects.get(name);
        Box::pin(repeat(&self.objects_lane, Step::Get, request))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<String>, Error>> {
        let request = move || self.objects.list(prefix, after, limit);
        Box::pin(repeat(&self.objects_lane, Step::List, request))
    }
}

impl List for Guarded {
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>> {
        let request = || self.list.instances();
        Box::pin(repeat(&self.list_lane, Step::Instances, request))
    }

    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>> {
        let request = move || self.list.changes(domain, since);
        Box::pin(repeat(&self.list_lane, Step::Instances, request))
    }
}
