//! Claims of callers' own keys.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    job::{Digest, Incarnation, Key},
    platform::{Commit, Error, Expect, Table, Write},
};

/// Row that stands for a claimed key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Claimed {
    incarnation: Incarnation,
    digest: Digest,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The key is this incarnation's; nobody else will ever start the job.
    Granted,
    /// The key was claimed before, for the same job.
    Taken(Incarnation),
    /// The key was claimed before, for a job with other content.
    Mismatch,
}

/// Claims of one incarnation.
pub struct Claims {
    table: Rc<dyn Table>,
    incarnation: Incarnation,
}

impl Claims {
    /// Claims in `table` on behalf of `incarnation`.
    pub fn new(table: Rc<dyn Table>, incarnation: Incarnation) -> Claims {
        Claims { table, incarnation }
    }

    /// Claims `key` for the job with `digest`.
    pub async fn claim(&self, key: &Key, digest: Digest) -> Result<Claim, Error> {
        let claimed = Claimed {
            incarnation: self.incarnation,
            digest,
        };
        let value = postcard::to_stdvec(&claimed).unwrap_or_default();
        let write = Write {
            key: format!("claim/{key}"),
            expect: Expect::Absent,
            value: Some(value),
        };
        match self.table.commit(&[write]).await? {
            Commit::Done(_) => Ok(Claim::Granted),
            Commit::Conflict(conflicts) => {
                let row = conflicts.first().and_then(|it| it.row.as_ref());
                let held = row.and_then(|it| postcard::from_bytes::<Claimed>(&it.value).ok());
                Ok(match held {
                    Some(held) if held.digest != digest => Claim::Mismatch,
                    Some(held) => Claim::Taken(held.incarnation),
                    None => Claim::Mismatch,
                })
            }
        }
    }
}
