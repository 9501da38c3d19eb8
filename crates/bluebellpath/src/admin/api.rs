//! Routes of operators' requests.

use ::http::{Method, StatusCode};
use bluebellpath_runtime::LocalFuture;
use serde::{Serialize, de::DeserializeOwned};
use slog::{Logger, info};

use super::{Access, InForce, Instances, Problem};
use crate::{
    config::{Proposer, Role},
    entry::Entry,
    http::{Request, Response},
};

/// Beginning of all paths of this interface.
const PREFIX: &str = "/admin";

/// Operators' interface to an entry instance.
#[derive(Clone)]
pub struct Api {
    pub(super) entry: Entry,
    pub(super) proposer: Proposer,
    log: Logger,
}

impl Api {
    /// Interface to `entry`.
    pub fn new(entry: Entry) -> Api {
        let env = entry.dependencies();
        Api {
            proposer: Proposer::new(entry.config_table(), env.config.clone()),
            log: env.log.clone(),
            entry,
        }
    }

    /// Answers requests under `/admin`; `None` for all others.
    pub fn call(&self, request: &Request) -> Option<LocalFuture<'static, Response>> {
        let rest = request.path.strip_prefix(PREFIX)?;
        if !(rest.is_empty() || rest.starts_with('/')) {
            return None;
        }
        let (api, request) = (self.clone(), request.clone());
        Some(Box::pin(async move { api.answer(request).await }))
    }

    async fn answer(self, request: Request) -> Response {
        let access = self.access(&request).await;
        let who = match &access {
            Ok(access) => access.principal.name.clone(),
            Err(_) => "(denied)".to_owned(),
        };
        let routed = match access {
            Ok(access) => self.route(&access, &request).await,
            Err(problem) => Err(problem),
        };
        let response = routed.unwrap_or_else(|problem| problem.response());
        info!(self.log, "operator's request"; "operator" => who,
            "method" => %request.method, "path" => &request.path,
            "status" => response.status.as_u16());
        response
    }

    async fn access(&self, request: &Request) -> Result<Access, Box<Problem>> {
        if !self.entry.config().wait_ready().await {
            let detail = "this instance has no configuration yet";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Problem::refused(status, "starting", detail));
        }
        Access::check(&self.entry.config().view().document, request)
    }

    async fn route(&self, access: &Access, request: &Request) -> Result<Response, Box<Problem>> {
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').skip(1).collect();
        let get = request.method == Method::GET;
        match parts.as_slice() {
            ["outcomes"] if get => return self.outcomes(access, request),
            _ => access.require(Role::Viewer)?,
        }
        match (&request.method, parts.as_slice()) {
            (&Method::GET, ["config"]) => self.content(request).await,
            (&Method::GET, ["config", "in-force"]) => Ok(ok(&InForce::of(&self.entry))),
            (&Method::GET, ["config", "at"]) => self.at(request).await,
            (&Method::GET, ["config", "diff"]) => self.diff(request).await,
            (&Method::GET, ["config", "history"]) => self.history(request).await,
            (&Method::GET, ["config", "operations", id]) => self.operation(id).await,
            (&Method::POST, ["config", "changes"]) => self.change(access, request).await,
            (&Method::PUT, ["config"]) => self.replace(access, request).await,
            (&Method::POST, ["config", "restore"]) => self.restore(access, request).await,
            (&Method::GET, ["instances"]) => Ok(ok(&Instances::of(&self.entry))),
            (_, ["config" | "instances" | "outcomes", ..]) => {
                let detail = format!("no {} at {}", request.method, request.path);
                let status = StatusCode::METHOD_NOT_ALLOWED;
                Err(Problem::refused(status, "method", detail))
            }
            _ => {
                let detail = format!("no resource at {}", request.path);
                Err(Problem::refused(StatusCode::NOT_FOUND, "not-found", detail))
            }
        }
    }

    fn outcomes(&self, access: &Access, request: &Request) -> Result<Response, Box<Problem>> {
        let own = access.principal.name.as_str();
        let asked = request.parameter("team");
        let asked = asked.as_deref();
        let team = match access.principal.role {
            Role::Team if asked.is_none_or(|it| it == own) => Some(own),
            Role::Team => {
                access.require(Role::Viewer)?;
                None
            }
            Role::Viewer | Role::Operator | Role::Administrator => asked,
        };
        Ok(ok(&self.entry.outcomes().of(team)))
    }
}

/// Successful response.
pub(super) fn ok(body: &impl Serialize) -> Response {
    Response::json(StatusCode::OK, body)
}

/// Body of a request.
pub(super) fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, Box<Problem>> {
    serde_json::from_slice(&request.body).map_err(|error| invalid(&format!("body: {error}")))
}

/// Number in the query.
pub(super) fn number(request: &Request, name: &str) -> Result<Option<u64>, Box<Problem>> {
    let Some(text) = request.parameter(name) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| invalid(&format!("{name}: found {text:?}, allowed a number")))
}

/// Problem of a malformed request.
pub(super) fn invalid(detail: &str) -> Box<Problem> {
    Problem::refused(StatusCode::BAD_REQUEST, "invalid", detail)
}
