//! Object store.

use bluebellpath_runtime::LocalFuture;

use super::Error;

/// Client of the object store. Each call is one attempt.
pub trait Store {
    /// Writes an object, replacing one of the same name.
    fn put<'a>(&'a self, name: &'a str, body: Vec<u8>) -> LocalFuture<'a, Result<(), Error>>;

    /// Reads an object; `None` when there is none of that name.
    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>, Error>>;

    /// Up to `limit` names that begin with `prefix` and follow `after`, sorted.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<String>, Error>>;
}
