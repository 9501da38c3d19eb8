//! Way from one instance to the platform, which a test can cut.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath::{
    platform::{
        Changes, Commit, Error, Fault, Instance, Item, List, Row, Step, Store, Table, Version,
        Write,
    },
    settings::Domain,
};
use bluebellpath_runtime::{LocalFuture, clock};

/// Time after which a request over a cut way is given up.
const CUT_TIMEOUT: Duration = Duration::from_secs(2);

/// Way from one instance to a service of the platform.
///
/// A cut on the way there makes a request fail without effect; a cut on the way
/// back, after the request took effect, leaves its effect unknown. The client
/// can't tell the two apart, so both are reported as unknown.
#[derive(Clone)]
pub struct Gate<T> {
    service: T,
    cut: Rc<Cell<bool>>,
}

impl<T> Gate<T> {
    /// Way to `service` that is cut while `cut` is set.
    pub fn new(service: T, cut: Rc<Cell<bool>>) -> Gate<T> {
        Gate { service, cut }
    }

    async fn pass<R>(
        &self,
        step: Step,
        request: impl Future<Output = Result<R, Error>>,
    ) -> Result<R, Error> {
        self.check(step).await?;
        let answer = request.await;
        self.check(step).await?;
        answer
    }

    async fn check(&self, step: Step) -> Result<(), Error> {
        if !self.cut.get() {
            return Ok(());
        }
        clock::sleep(CUT_TIMEOUT).await;
        let peer = "stand-in".to_owned();
        Err(Error {
            step,
            peer,
            fault: Fault::Unknown,
            detail: "cut off".to_owned(),
        })
    }
}

impl<T: Table> Table for Gate<T> {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalFuture<'a, Result<Vec<Option<Row>>, Error>> {
        Box::pin(self.pass(Step::Read, self.service.read(keys)))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<Item>, Error>> {
        Box::pin(self.pass(Step::Scan, self.service.scan(prefix, after, limit)))
    }

    fn commit<'a>(&'a self, writes: &'a [Write]) -> LocalFuture<'a, Result<Commit, Error>> {
        Box::pin(self.pass(Step::Commit, self.service.commit(writes)))
    }
}

impl<T: Store> Store for Gate<T> {
    fn put<'a>(&'a self, name: &'a str, body: Vec<u8>) -> LocalFuture<'a, Result<(), Error>> {
        Box::pin(self.pass(Step::Put, self.service.put(name, body)))
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>, Error>> {
        Box::pin(self.pass(Step::Get, self.service.get(name)))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<String>, Error>> {
        Box::pin(self.pass(Step::List, self.service.list(prefix, after, limit)))
    }
}

impl<T: List> List for Gate<T> {
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>> {
        Box::pin(self.pass(Step::Instances, self.service.instances()))
    }

    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>> {
        Box::pin(self.pass(Step::Instances, self.service.changes(domain, since)))
    }
}
