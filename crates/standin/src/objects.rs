//! Object store in memory.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bluebellpath::platform::{Error, Step, Store};
use bluebellpath_runtime::LocalFuture;

use crate::Faults;

#[derive(Default)]
struct Inner {
    objects: RefCell<BTreeMap<String, Vec<u8>>>,
    faults: Faults,
}

/// Object store in memory; clones share their objects.
#[derive(Clone, Default)]
pub struct Objects(Rc<Inner>);

impl Objects {
    /// Empty store.
    pub fn new() -> Objects {
        Objects::default()
    }

    /// Faults of this store.
    pub fn faults(&self) -> &Faults {
        &self.0.faults
    }

    /// Changes or removes an object behind everyone's back.
    pub fn tamper(&self, name: &str, change: impl FnOnce(Option<Vec<u8>>) -> Option<Vec<u8>>) {
        let mut objects = self.0.objects.borrow_mut();
        let old = objects.remove(name);
        if let Some(body) = change(old) {
            objects.insert(name.to_owned(), body);
        }
    }
}

impl Store for Objects {
    fn put<'a>(&'a self, name: &'a str, body: Vec<u8>) -> LocalFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::Put).await?;
            self.0.objects.borrow_mut().insert(name.to_owned(), body);
            self.0.faults.leave(Step::Put, ()).await
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>, Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::Get).await?;
            let body = self.0.objects.borrow().get(name).cloned();
            self.0.faults.leave(Step::Get, body).await
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<String>, Error>> {
        Box::pin(async move {
            self.0.faults.enter(Step::List).await?;
            let names = {
                let objects = self.0.objects.borrow();
                let found = objects.range(prefix.to_owned()..).map(|it| it.0);
                found
                    .take_while(|it| it.starts_with(prefix))
                    .filter(|it| after.is_none_or(|after| it.as_str() > after))
                    .take(limit)
                    .cloned()
                    .collect()
            };
            self.0.faults.leave(Step::List, names).await
        })
    }
}
