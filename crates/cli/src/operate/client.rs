//! Requests to entry instances.

use std::{net::SocketAddr, time::Duration};

use bluebellpath::{
    admin::{Changed, Content, Proposal},
    config::{Change, Document},
    http::{Client as Http, ClientConfig, Request},
};
use clap::ArgMatches;
use http::{Method, header};
use serde::{Serialize, de::DeserializeOwned};

use super::{error::Error, output::Output};

/// Longest wait for an answer, above what an instance spends on a change.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Requests to entry instances.
pub struct Client {
    http: Http,
    entries: Vec<SocketAddr>,
    key: Option<String>,
}

impl Client {
    /// Client for the instances and the key that the arguments name.
    pub fn new(matches: &ArgMatches) -> Client {
        let entries = matches.get_many("entry").unwrap_or_default();
        Client {
            http: Http::new(ClientConfig::default()),
            entries: entries.copied().collect(),
            key: matches.get_one("key").cloned(),
        }
    }

    /// Gets `target`, a path with an optional query.
    pub async fn get<T: DeserializeOwned>(&self, target: &str) -> Result<T, Error> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut request = Request::new(Method::GET, path);
        request.query = (!query.is_empty()).then(|| query.to_owned());
        self.send(request).await
    }

    /// Gets the resource at `path` with these parameters.
    pub async fn get_with<T: DeserializeOwned>(
        &self,
        path: &str,
        parameters: &[(&str, &str)],
    ) -> Result<T, Error> {
        let request = Request::new(Method::GET, path);
        self.send(request.with_parameters(parameters)).await
    }

    /// Newest version with its content.
    pub async fn newest(&self) -> Result<Content, Error> {
        self.get("/admin/config").await
    }

    /// Makes the change that `make` draws from the newest content, and shows
    /// what came of it.
    pub async fn change(
        &self,
        matches: &ArgMatches,
        output: &Output,
        make: impl FnOnce(&Document) -> Vec<Change>,
    ) -> Result<(), Error> {
        let newest = self.newest().await?;
        let base = matches.get_one("if-match").copied();
        let proposal = Proposal {
            operation: operation(matches),
            reason: text(matches, "reason"),
            changes: make(&newest.document),
        };
        let base = base.unwrap_or(newest.version);
        let path = "/admin/config/changes";
        let changed = self
            .write(Method::POST, path, base, matches, &proposal)
            .await?;
        output.changed(&changed, &proposal.operation);
        Ok(())
    }

    /// Sends a change meant for the version `base`.
    pub async fn write(
        &self,
        method: Method,
        path: &str,
        base: u64,
        matches: &ArgMatches,
        body: &impl Serialize,
    ) -> Result<Changed, Error> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = Request::new(method, path)
            .with_header(header::IF_MATCH, &format!("\"{base}\""))
            .with_body(body);
        request.query = matches
            .get_flag("dry-run")
            .then(|| "dry_run=true".to_owned());
        self.send(request).await
    }

    /// Asks one instance after the other. A change that is sent twice carries
    /// the same operation id, which acts once.
    async fn send<T: DeserializeOwned>(&self, mut request: Request) -> Result<T, Error> {
        if let Some(key) = &self.key {
            request = request.with_header(header::AUTHORIZATION, &format!("Bearer {key}"));
        }
        let mut failed = None;
        for peer in &self.entries {
            match self.http.send(*peer, request.clone(), TIMEOUT).await {
                Ok(response) => return understand(*peer, &response),
                Err(error) => failed = Some((*peer, error)),
            }
        }
        let (peer, error) = failed.expect("clap requires an instance");
        Err(Error::Unreachable { peer, error })
    }
}

fn understand<T: DeserializeOwned>(
    peer: SocketAddr,
    response: &bluebellpath::http::Response,
) -> Result<T, Error> {
    let malformed = |error: serde_json::Error| Error::Malformed {
        peer,
        detail: error.to_string(),
    };
    if response.status.is_success() {
        return serde_json::from_slice(&response.body).map_err(malformed);
    }
    let problem = serde_json::from_slice(&response.body).map_err(malformed)?;
    Err(Error::Problem { problem })
}

/// Operation id that the arguments give, or a random one.
pub fn operation(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>("operation").cloned();
    given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()))
}

/// Text of the argument `id`.
pub fn text(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}
