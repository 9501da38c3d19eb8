/*!
Client of the platform over HTTP with JSON.

`POST /table/read`, `/table/scan` and `/table/commit`, `POST /list`, `PUT` and
`GET /objects/NAME`, `GET /instances`, `POST /instances/changes`. Status 503 is a
refusal. Any other status except 200 and 404, or a connection that breaks after
the request was sent, leaves the effect of a write unknown.
*/

use std::{net::SocketAddr, time::Duration};

use ::http::{Method, StatusCode};
use bluebellpath_runtime::LocalFuture;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    Changes, Commit, Error, Fault, Instance, Item, List, Row, Step, Store, Table, Version, Write,
};
use crate::{
    http::{Client, Request, Response},
    settings::Domain,
};

/// Body of `POST /table/read`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Body of `POST /table/scan` and `POST /list`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of the keys or names.
    pub prefix: String,
    /// Key or name after which to continue.
    pub after: Option<String>,
    /// Maximum number of results.
    pub limit: usize,
}

/// Body of `POST /table/commit`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Transaction {
    /// Writes, all or none of which take effect.
    pub writes: Vec<Write>,
}

/// Body of `POST /instances/changes`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Since {
    /// Failure domain of the caller.
    pub domain: Domain,
    /// Version that the caller has.
    pub since: Option<Version>,
}

/// Client of a platform that speaks HTTP.
#[derive(Clone)]
pub struct Http {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Http {
    /// Client of the platform at `address`; requests take up to `timeout`.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Http {
        Http {
            client,
            address,
            timeout,
        }
    }

    async fn send(&self, step: Step, request: Request) -> Result<Response, Error> {
        let sent = self.client.send(self.address, request, self.timeout).await;
        let response = sent.map_err(|it| {
            let fault = if it.sent {
                Fault::Unknown
            } else {
                Fault::Refused
            };
            self.error(step, fault, it.to_string())
        })?;
        match response.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.error(step, Fault::Refused, "service unavailable".to_owned()))
            }
            status => Err(self.error(step, Fault::Unknown, format!("status {status}"))),
        }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        step: Step,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body)
            .map_err(|it| self.error(step, Fault::Refused, it.to_string()))?;
        let response = self
            .send(step, Request::new(Method::POST, path).with_body(body))
            .await?;
        self.parse(step, &response)
    }

    fn parse<T: DeserializeOwned>(&self, step: Step, response: &Response) -> Result<T, Error> {
        serde_json::from_slice(&response.body)
            .map_err(|it| self.error(step, Fault::Malformed, it.to_string()))
    }

    fn error(&self, step: Step, fault: Fault, detail: String) -> Error {
        Error {
            step,
            peer: self.address.to_string(),
            fault,
            detail,
        }
    }
}

impl Table for Http {
    fn read<'a>(&'a self, keys: &'a [String]) -> LocalFuture<'a, Result<Vec<Option<Row>>, Error>> {
        let body = Read {
            keys: keys.to_vec(),
        };
        Box::pin(async move { self.post(Step::Read, "/table/read", &body).await })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<Item>, Error>> {
        let body = new_scan(prefix, after, limit);
        Box::pin(async move { self.post(Step::Scan, "/table/scan", &body).await })
    }

    fn commit<'a>(&'a self, writes: &'a [Write]) -> LocalFuture<'a, Result<Commit, Error>> {
        let body = Transaction {
            writes: writes.to_vec(),
        };
        Box::pin(async move { self.post(Step::Commit, "/table/commit", &body).await })
    }
}

impl Store for Http {
    fn put<'a>(&'a self, name: &'a str, body: Vec<u8>) -> LocalFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let request = Request::new(Method::PUT, format!("/objects/{name}")).with_body(body);
            self.send(Step::Put, request).await.map(drop)
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>, Error>> {
        Box::pin(async move {
            let request = Request::new(Method::GET, format!("/objects/{name}"));
            let response = self.send(Step::Get, request).await?;
            Ok((response.status == StatusCode::OK).then(|| response.body.to_vec()))
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> LocalFuture<'a, Result<Vec<String>, Error>> {
        let body = new_scan(prefix, after, limit);
        Box::pin(async move { self.post(Step::List, "/list", &body).await })
    }
}

impl List for Http {
    fn instances(&self) -> LocalFuture<'_, Result<Vec<Instance>, Error>> {
        Box::pin(async move {
            let request = Request::new(Method::GET, "/instances");
            let response = self.send(Step::Instances, request).await?;
            self.parse(Step::Instances, &response)
        })
    }

    fn changes(
        &self,
        domain: Domain,
        since: Option<Version>,
    ) -> LocalFuture<'_, Result<Changes, Error>> {
        let body = Since { domain, since };
        Box::pin(async move {
            self.post(Step::Instances, "/instances/changes", &body)
                .await
        })
    }
}

fn new_scan(prefix: &str, after: Option<&str>, limit: usize) -> Scan {
    Scan {
        prefix: prefix.to_owned(),
        after: after.map(str::to_owned),
        limit,
    }
}
