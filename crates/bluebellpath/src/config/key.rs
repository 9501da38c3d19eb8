//! Access keys of operators and teams.

use derive_more::Display;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Permissions of a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Submits jobs for one team and reads their outcomes.
    #[display("team")]
    Team,
    /// Reads everything.
    #[display("viewer")]
    Viewer,
    /// Changes everything except keys.
    #[display("operator")]
    Operator,
    /// Changes everything.
    #[display("administrator")]
    Administrator,
}

/// Access key as stored in the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the operator, or of the team for [`Role::Team`].
    pub name: String,
    /// Permissions.
    pub role: Role,
    /// Salt, 32 bytes in hexadecimal.
    pub salt: String,
    /// Keyed hash of the secret under the salt, 32 bytes in hexadecimal.
    pub hash: String,
}

impl Key {
    /// Generates a key for `name`. Returns it with its secret, which is not stored.
    pub fn generate(name: &str, role: Role) -> (Key, String) {
        let bytes = || blake3::Hash::from_bytes(rand::rng().random());
        let (salt, secret) = (bytes(), bytes().to_hex().to_string());
        let key = Key {
            name: name.to_owned(),
            role,
            salt: salt.to_hex().to_string(),
            hash: hash(&salt, &secret).to_hex().to_string(),
        };
        (key, secret)
    }

    /// True if `secret` matches this key. Takes the same time for all secrets of
    /// the same length.
    pub fn verify(&self, secret: &str) -> bool {
        let salt = blake3::Hash::from_hex(&self.salt);
        let expected = blake3::Hash::from_hex(&self.hash);
        match (salt, expected) {
            (Ok(salt), Ok(expected)) => hash(&salt, secret) == expected,
            _ => false,
        }
    }

    /// True if salt and hash are 32 bytes in hexadecimal.
    pub(super) fn is_well_formed(&self) -> bool {
        [&self.salt, &self.hash]
            .iter()
            .all(|it| blake3::Hash::from_hex(it.as_bytes()).is_ok())
    }
}

fn hash(salt: &blake3::Hash, secret: &str) -> blake3::Hash {
    blake3::keyed_hash(salt.as_bytes(), secret.as_bytes())
}
