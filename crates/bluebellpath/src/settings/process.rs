//! Settings of an entry daemon.

use std::{fs, net::SocketAddr, path::Path};

use serde::Deserialize;

use super::{Domain, Error, Peers};

/// Settings of an entry daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name in the instance list.
    pub name: String,
    /// Names of all failure domains, in the same order on every instance.
    pub domains: Vec<String>,
    /// Name of this instance's failure domain.
    pub domain: String,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Way to other entry instances; without it this one has no peers.
    pub peers: Option<Peers>,
}

impl Settings {
    /// Reads the settings file at `path`.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).map_err(|error| Error::Read {
            path: path.display().to_string(),
            detail: error.to_string(),
        })?;
        Settings::parse(&text)
    }

    /// Parses settings written as JSON with comments.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        let parse = |detail: String| Error::Parse { detail };
        let options = Default::default();
        let settings: Settings = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(|error| parse(error.to_string()))?;
        match settings.home() {
            Some(_) => Ok(settings),
            None => Err(parse(format!(
                "domain: {} is not in domains",
                settings.domain
            ))),
        }
    }

    /// Failure domain of this instance.
    pub fn home(&self) -> Option<Domain> {
        let index = self.domains.iter().position(|it| *it == self.domain)?;
        Some(Domain::new(index as u16))
    }
}
