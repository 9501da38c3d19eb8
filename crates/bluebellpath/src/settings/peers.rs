//! Settings for communication with peers.

use std::net::SocketAddr;

use super::{
    KeySource,
    rule::{ADDRESS, FILE_PATH, SHARED_KEY, VARIABLE_NAME},
    section::{Section, Source},
};

/// Settings for communication with peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Address for datagrams and connections of peers.
    pub listen: SocketAddr,
    /// Key shared by all instances, which authenticates messages.
    pub key: KeySource,
}

impl Peers {
    pub(super) fn read(source: &Source<'_>, section: &Section<'_>) -> Option<Peers> {
        let listen = section.required("listen", &ADDRESS);
        let inline = section.optional("key", &SHARED_KEY).map(KeySource::Inline);
        let file = section
            .optional("key_file", &FILE_PATH)
            .map(KeySource::File);
        let variable = section
            .optional("key_env", &VARIABLE_NAME)
            .map(KeySource::Variable);
        let mut keys: Vec<KeySource> = [inline, file, variable].into_iter().flatten().collect();
        let key = keys.pop();
        if key.is_none() || !keys.is_empty() {
            let found = format!("{} of them", keys.len() + usize::from(key.is_some()));
            let allowed = "one of `key`, `key_file` and `key_env`";
            source.report(section.offset(), "peers", found, allowed);
        }
        Some(Peers {
            listen: listen?,
            key: key?,
        })
    }
}
