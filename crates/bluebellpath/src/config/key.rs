//! Keys of operators and teams.

use derive_more::Display;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// What the holder of a key may do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Submit jobs for one team and see its outcomes.
    #[display("team")]
    Team,
    /// See everything.
    #[display("viewer")]
    Viewer,
    /// Change all but keys.
    #[display("operator")]
    Operator,
    /// Change everything.
    #[display("administrator")]
    Administrator,
}

/// Key as the document holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Operator, or the team for [`Role::Team`].
    pub name: String,
    /// What the holder may do.
    pub role: Role,
    /// Salt, 32 bytes in hexadecimal.
    pub salt: String,
    /// Keyed hash of the secret under the salt, 32 bytes in hexadecimal.
    pub hash: String,
}

impl Key {
    /// Fresh key for `name`, with the secret that its holder is given once.
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

    /// True when `secret` is this key's; takes the same time for any secret of
    /// one length.
    pub fn verify(&self, secret: &str) -> bool {
        let salt = blake3::Hash::from_hex(&self.salt);
        let expected = blake3::Hash::from_hex(&self.hash);
        match (salt, expected) {
            (Ok(salt), Ok(expected)) => hash(&salt, secret) == expected,
            _ => false,
        }
    }

    /// True when salt and hash are well formed.
    pub(super) fn is_well_formed(&self) -> bool {
        [&self.salt, &self.hash]
            .iter()
            .all(|it| blake3::Hash::from_hex(it.as_bytes()).is_ok())
    }
}

fn hash(salt: &blake3::Hash, secret: &str) -> blake3::Hash {
    blake3::keyed_hash(salt.as_bytes(), secret.as_bytes())
}
