//! How an instance meets its peers.

use std::net::SocketAddr;

use super::{
    KeySource,
    rule::{ADDRESS, PATH, VARIABLE},
    section::{Section, Source},
};

/// How an instance meets its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Address for datagrams and connections of peers.
    pub listen: SocketAddr,
    /// Key that all instances share, with which messages are authenticated.
    pub key: KeySource,
}

impl Peers {
    pub(super) fn read(source: &Source<'_>, section: &Section<'_>) -> Option<Peers> {
        let listen = section.required("listen", &ADDRESS);
        let file = section.optional("key_file", &PATH);
        let variable = section.optional("key_env", &VARIABLE);
        let key = match (file, variable) {
            (Some(file), None) => Some(KeySource::File(file)),
            (None, Some(variable)) => Some(KeySource::Variable(variable)),
            (file, _) => {
                let found = file.map_or("neither", |_| "both").to_owned();
                let allowed = "either `key_file` or `key_env`";
                source.report(section.place(), "peers", found, allowed);
                None
            }
        };
        Some(Peers {
            listen: listen?,
            key: key?,
        })
    }
}
