//! Callers' requests.

use std::time::Duration;

use ::http::{HeaderName, Method, StatusCode, header};
use bluebellpath_runtime::{LocalFuture, clock};
use serde::Serialize;

use super::{Fault, Problem, check};
use crate::{
    admin,
    entry::{Entry, Refusal},
    http::{self, Request, Response, Service},
    job::{Answer, Id, Outcome, Ticket},
    peer::Phase,
};

/// Header with the job id.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest wait for an answer.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Time after which to ask again for an answer that is not there.
const PENDING_RETRY: Duration = Duration::from_secs(1);

/// Content type of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Rows of each table in a dump, where the request names no limit.
const DEFAULT_ROWS: usize = 100;

/// Most rows of each table in a dump.
const MAX_ROWS: usize = 1000;

/// Most tickets handed out at once.
const MAX_TICKETS: usize = 1000;

/// Callers' interface to an entry instance.
#[derive(Clone)]
pub struct Api {
    entry: Entry,
    admin: admin::Api,
}

#[derive(Serialize)]
struct Tickets {
    tickets: Vec<String>,
}

impl Api {
    /// Interface to `entry`.
    pub fn new(entry: Entry) -> Api {
        Api {
            admin: admin::Api::new(entry.clone()),
            entry,
        }
    }

    async fn route(self, request: Request) -> Response {
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let routed = match (&request.method, parts.as_slice()) {
            (&(Method::GET | Method::HEAD), ["health", "live"]) => {
                Ok(Response::new(StatusCode::NO_CONTENT))
            }
            (&(Method::GET | Method::HEAD), ["health", "ready"]) => self.ready(),
            (&Method::GET, ["metrics"]) => Ok(Response::new(StatusCode::OK)
                .with_type(METRICS_TYPE)
                .with_body(self.entry.metrics())),
            (&Method::GET, ["debug", "state"]) => self.dump(&request),
            (&Method::POST, ["tickets"]) => self.tickets(&request),
            (&Method::POST, ["jobs"]) => self.submit(request).await,
            (&Method::GET, ["jobs", id]) => self.fetch(id, &request).await,
            (&Method::DELETE, ["jobs", id]) => self.cancel(id).await,
            (method, parts) => match allowed(parts) {
                Some(allowed) => return wrong_method(method, allowed),
                None => {
                    let detail = format!("no resource at {path}");
                    Err(Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail))
                }
            },
        };
        routed.unwrap_or_else(|problem| problem.response())
    }

    fn ready(&self) -> Result<Response, Box<Problem>> {
        let detail = match self.entry.phase() {
            Phase::Serving => return Ok(Response::new(StatusCode::NO_CONTENT)),
            Phase::Starting => "the instance is starting",
            Phase::Draining | Phase::Left => "the instance is draining",
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Problem::not_run(status, "not-ready", detail))
    }

    fn dump(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let limit = match request.parameter("limit").map(str::parse) {
            None => DEFAULT_ROWS,
            Some(Ok(limit)) if limit <= MAX_ROWS => limit,
            Some(_) => {
                let detail = format!("limit: allowed 0 to {MAX_ROWS}");
                return Err(Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail));
            }
        };
        Ok(Response::json(StatusCode::OK, &self.entry.dump(limit)))
    }

    fn tickets(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let count = match request.parameter("count").map(str::parse) {
            None => 1,
            Some(Ok(count)) if (1..=MAX_TICKETS).contains(&count) => count,
            Some(_) => {
                let detail = format!("count: allowed 1 to {MAX_TICKETS}");
                return Err(Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail));
            }
        };
        let tickets = (0..count)
            .map(|_| self.entry.ticket().to_string())
            .collect();
        Ok(Response::json(StatusCode::CREATED, &Tickets { tickets }))
    }

    async fn submit(&self, request: Request) -> Result<Response, Box<Problem>> {
        let id = match request.header(IDEMPOTENCY_KEY) {
            Some(text) => id(text)?,
            None => Ticket::into(self.entry.ticket()),
        };
        let submission = check::parse(&request.body).map_err(invalid)?;
        // The body would else be held until the answer is there.
        drop(request);
        let answer = self.entry.submit(id, submission).await.map_err(refused)?;
        Ok(answered(&answer))
    }

    async fn fetch(&self, text: &str, request: &Request) -> Result<Response, Box<Problem>> {
        let id = id(text)?;
        let wait = wait(request)?;
        let answer = clock::timeout(wait, self.entry.fetch(&id)).await;
        match answer {
            Some(answer) => answer.map(|it| answered(&it)).ok_or_else(|| missing(text)),
            None => Err(pending(text)),
        }
    }

    async fn cancel(&self, text: &str) -> Result<Response, Box<Problem>> {
        let answer = self
            .entry
            .cancel(&id(text)?)
            .await
            .ok_or_else(|| missing(text))?;
        Ok(answered(&answer))
    }
}

impl Service for Api {
    fn call(&self, request: Request) -> LocalFuture<'static, Response> {
        match self.admin.call(&request) {
            Some(response) => response,
            None => Box::pin(self.clone().route(request)),
        }
    }

    fn malformed(&self, status: StatusCode, fault: http::Fault) -> Response {
        Problem::not_run(status, "malformed", fault.to_string()).response()
    }
}

fn id(text: &str) -> Result<Id, Box<Problem>> {
    text.parse().map_err(|error: crate::job::ParseError| {
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid", error.to_string())
    })
}

/// Longest wait that the request asks for.
fn wait(request: &Request) -> Result<Duration, Box<Problem>> {
    match request.parameter("wait_ms").map(str::parse) {
        None => Ok(MAX_WAIT),
        Some(Ok(ms)) if Duration::from_millis(ms) <= MAX_WAIT => Ok(Duration::from_millis(ms)),
        Some(_) => {
            let detail = format!("wait_ms: allowed 0 to {}", MAX_WAIT.as_millis());
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail))
        }
    }
}

/// Methods of the resource at `path`.
fn allowed(path: &[&str]) -> Option<&'static str> {
    match path {
        ["tickets"] | ["jobs"] => Some("POST"),
        ["jobs", _] => Some("GET, DELETE"),
        ["health", "live" | "ready"] => Some("GET, HEAD"),
        ["metrics"] | ["debug", "state"] => Some("GET"),
        _ => None,
    }
}

fn wrong_method(method: &Method, allowed: &str) -> Response {
    let detail = format!("{method} is not allowed here, only {allowed}");
    Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "method", detail)
        .response()
        .with_header(header::ALLOW, allowed)
}

fn invalid(faults: Vec<Fault>) -> Box<Problem> {
    let detail = format!("{} faults in the submission", faults.len());
    let mut problem = Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail);
    problem.faults = faults;
    problem
}

fn pending(text: &str) -> Box<Problem> {
    let detail = format!("job {text} has no answer yet");
    let mut problem = Problem::not_run(StatusCode::ACCEPTED, "pending", detail);
    // It may or may not have run so far.
    problem.outcome = Outcome::Unknown;
    problem.job = Some(text.to_owned());
    problem.retry_after_ms = Some(PENDING_RETRY.as_millis() as u64);
    problem
}

fn answered(answer: &Answer) -> Response {
    match answer.outcome {
        Outcome::Complete => Response::json(StatusCode::OK, answer),
        _ => Problem::of_answer(answer).response(),
    }
}

fn refused(refusal: Refusal) -> Box<Problem> {
    let (status, kind) = match refusal {
        Refusal::Mismatch { .. } => (StatusCode::CONFLICT, "mismatch"),
        Refusal::Full { .. } => (StatusCode::SERVICE_UNAVAILABLE, "full"),
        Refusal::Invalid { .. } => (StatusCode::BAD_REQUEST, "invalid"),
    };
    Problem::not_run(status, kind, refusal.to_string())
}

fn missing(text: &str) -> Box<Problem> {
    // Nothing is known of the job here, which is not the same as not run.
    let detail = format!("no job {text} is known to this instance");
    let mut problem = Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail);
    problem.outcome = Outcome::Unknown;
    problem
}
