//! Identities of entry instances as the platform stores them, in memory.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    identity::{Claimed, Identity, IdentityStore, StoredIdentity},
    table_watch::ReadError,
};
use bluebellpath_runtime::{LocalFuture, clock};

/// One way between an instance and the platform.
const WAY: Duration = Duration::from_millis(2);

/// Stored identities by instance.
#[derive(Clone, Default)]
pub struct Identities {
    rows: Rc<RefCell<BTreeMap<Rc<str>, StoredIdentity>>>,
    silent: Rc<Cell<bool>>,
}

impl Identities {
    /// Store as the instance `name` uses it.
    pub fn side(&self, name: &str) -> Side {
        Side {
            identities: self.clone(),
            name: name.into(),
        }
    }

    /// Loses all claims from now on, or answers them again.
    pub fn lose(&self, silent: bool) {
        self.silent.set(silent);
    }

    /// Identity of the last process of an instance.
    pub fn get(&self, name: &str) -> Option<Identity> {
        self.rows.borrow().get(name).and_then(|it| it.identity)
    }

    fn claim(
        &self,
        name: &Rc<str>,
        identity: Identity,
        previous: Option<StoredIdentity>,
    ) -> Claimed {
        let mut stored = self.rows.borrow_mut();
        let own = stored.get(name).copied();
        if let Some(row) = own
            && previous.map(|it| it.version) != Some(row.version)
        {
            return Claimed::Conflict(Some(row));
        }
        let has_number = |it: &StoredIdentity| {
            it.identity
                .is_some_and(|it| it.number() == identity.number())
        };
        if stored
            .iter()
            .any(|(other, it)| other != name && has_number(it))
        {
            return Claimed::NumberTaken;
        }
        let row = StoredIdentity {
            identity: Some(identity),
            version: own.map_or(1, |it| it.version + 1),
        };
        stored.insert(name.clone(), row);
        Claimed::Stored
    }
}

/// Store as one instance uses it.
pub struct Side {
    identities: Identities,
    name: Rc<str>,
}

impl IdentityStore for Side {
    fn claim(
        &self,
        identity: Identity,
        previous: Option<StoredIdentity>,
        timeout: Duration,
    ) -> LocalFuture<'static, Result<Claimed, ReadError>> {
        let (identities, name) = (self.identities.clone(), self.name.clone());
        Box::pin(async move {
            clock::sleep(WAY).await;
            if identities.silent.get() {
                clock::sleep(timeout).await;
                let detail = "timed out".to_owned();
                return Err(ReadError::Lost { detail });
            }
            let claimed = identities.claim(&name, identity, previous);
            clock::sleep(WAY).await;
            Ok(claimed)
        })
    }
}
