//! Who asks, and what they may do.

use ::http::{StatusCode, header};

use super::Problem;
use crate::{
    config::{Change, Document, Key, Role},
    http::Request,
};

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// Name of the key.
    pub name: String,
    /// What it may do.
    pub role: Role,
}

/// Who asks, and whether the system has keys yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Who asks.
    pub principal: Principal,
    /// True while the document has no keys.
    pub open: bool,
}

impl Access {
    /// Finds out who sent `request`.
    pub fn check(document: &Document, request: &Request) -> Result<Access, Box<Problem>> {
        if document.keys.is_empty() {
            let principal = Principal {
                name: "anonymous".to_owned(),
                role: Role::Viewer,
            };
            return Ok(Access {
                principal,
                open: true,
            });
        }
        let denied = || {
            let detail = "a key is needed: Authorization: Bearer NAME.SECRET";
            Problem::refused(StatusCode::UNAUTHORIZED, "key", detail)
        };
        let token = request
            .header(header::AUTHORIZATION)
            .and_then(|it| it.strip_prefix("Bearer "))
            .and_then(|it| it.rsplit_once('.'));
        let (name, secret) = token.ok_or_else(denied)?;
        let key = document.keys.iter().find(|it| it.name == name);
        // Costs one hash for names that don't exist too.
        let admitted = key.unwrap_or(&document.keys[0]).verify(secret);
        let key: &Key = key.filter(|_| admitted).ok_or_else(denied)?;
        Ok(Access {
            principal: Principal {
                name: key.name.clone(),
                role: key.role,
            },
            open: false,
        })
    }

    /// Lets in who has at least `role`.
    pub fn require(&self, role: Role) -> Result<(), Box<Problem>> {
        if self.principal.role >= role {
            return Ok(());
        }
        let Principal { name, role: has } = &self.principal;
        let detail = format!("{name} is a {has}; this needs a {role}");
        Err(Problem::refused(StatusCode::FORBIDDEN, "role", detail))
    }

    /// Lets in who may make `changes`.
    pub fn require_for(&self, changes: &[Change]) -> Result<(), Box<Problem>> {
        if self.open {
            let sets =
                |it: &Change| matches!(it, Change::SetKey(key) if key.role == Role::Administrator);
            if !changes.is_empty() && changes.iter().all(sets) {
                return Ok(());
            }
            let detail = "set an administrator's key first; no other change is let in before";
            return Err(Problem::refused(StatusCode::FORBIDDEN, "no-keys", detail));
        }
        match changes.iter().any(Change::requires_administrator) {
            true => self.require(Role::Administrator),
            false => self.require(Role::Operator),
        }
    }
}
