//! The platform as an HTTP server.

use bluebellpath::{
    http::{Request, Response, Service},
    platform::{Error, Fault, List, Store, Table as _, http as wire},
};
use bluebellpath_runtime::LocalFuture;
use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{Instances, Objects, Table};

/// The platform as an HTTP server.
#[derive(Clone)]
pub struct Platform {
    table: Table,
    objects: Objects,
    instances: Instances,
}

impl Platform {
    /// Serves the three services.
    pub fn new(table: Table, objects: Objects, instances: Instances) -> Platform {
        Platform {
            table,
            objects,
            instances,
        }
    }

    async fn route(self, request: Request) -> Response {
        let object = request.path.strip_prefix("/objects/");
        match (&request.method, request.path.as_str(), object) {
            (&Method::POST, "/table/read", _) => match parse::<wire::Read>(&request) {
                Some(it) => json(self.table.read(&it.keys).await),
                None => Response::new(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "/table/scan", _) => match parse::<wire::Scan>(&request) {
                Some(it) => json(
                    self.table
                        .scan(&it.prefix, it.after.as_deref(), it.limit)
                        .await,
                ),
                None => Response::new(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "/table/commit", _) => match parse::<wire::Transaction>(&request) {
                Some(it) => json(self.table.commit(&it.writes).await),
                None => Response::new(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "/list", _) => match parse::<wire::Scan>(&request) {
                Some(it) => json(
                    self.objects
                        .list(&it.prefix, it.after.as_deref(), it.limit)
                        .await,
                ),
                None => Response::new(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "/instances/changes", _) => match parse::<wire::Since>(&request) {
                Some(it) => json(self.instances.changes(it.domain, it.since).await),
                None => Response::new(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "/instances", _) => json(self.instances.instances().await),
            (&Method::PUT, _, Some(name)) => {
                json(self.objects.put(name, request.body.to_vec()).await)
            }
            (&Method::GET, _, Some(name)) => match self.objects.get(name).await {
                Ok(Some(body)) => Response::new(StatusCode::OK).with_body(body),
                Ok(None) => Response::new(StatusCode::NOT_FOUND),
                Err(error) => failed(&error),
            },
            _ => Response::new(StatusCode::NOT_FOUND),
        }
    }
}

impl Service for Platform {
    fn call(&self, request: Request) -> LocalFuture<'static, Response> {
        Box::pin(self.clone().route(request))
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(&request.body).ok()
}

fn json<T: Serialize>(result: Result<T, Error>) -> Response {
    match result {
        Ok(value) => Response::json(StatusCode::OK, &value),
        Err(error) => failed(&error),
    }
}

fn failed(error: &Error) -> Response {
    match error.fault {
        Fault::Refused => Response::new(StatusCode::SERVICE_UNAVAILABLE),
        Fault::Unknown | Fault::Malformed => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
