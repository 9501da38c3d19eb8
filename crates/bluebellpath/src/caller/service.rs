//! Handlers of the requests of callers.

use std::time::Duration;

use ::http::{HeaderName, Method, StatusCode, header};
use bluebellpath_runtime::{LocalFuture, clock};
use serde::Serialize;

use super::{FieldError, Problem, validation};
use crate::{
    admin,
    entry::{Entry, Refusal},
    http::{self, Request, Response, Service},
    job::{Answer, Id, Outcome, Ticket},
    peer::Phase,
};

/// Header with the job id.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum wait for an answer.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Time after which a caller should ask again for a missing answer.
const PENDING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Content type of the metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Number of rows of each table in a dump without a limit in the request.
const DEFAULT_DUMP_ROWS: usize = 100;

/// Maximum number of rows of each table in a dump.
const MAX_DUMP_ROWS: usize = 1000;

/// Maximum number of tickets in one request.
const MAX_TICKETS: usize = 1000;

/// HTTP interface of an entry instance for callers.
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
    /// Creates the interface of `entry`.
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
            (&(Method::GET | Method::HEAD), ["health", "ready"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => Ok(Response::new(StatusCode::OK)
                .with_type(METRICS_TYPE)
                .with_body(self.entry.metrics())),
            (&Method::GET, ["debug", "state"]) => self.dump(&request),
            (&Method::POST, ["tickets"]) => self.tickets(&request),
            (&Method::POST, ["jobs"]) => self.submit(request).await,
            (&Method::GET, ["jobs", id]) => self.fetch(id, &request).await,
            (&Method::DELETE, ["jobs", id]) => self.cancel(id).await,
            (method, parts) => match allowed_methods(parts) {
                Some(allowed) => return method_not_allowed(method, allowed),
                None => {
                    let detail = format!("no resource at {path}");
                    Err(Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail))
                }
            },
        };
        routed.unwrap_or_else(|problem| problem.response())
    }

    fn readiness(&self) -> Result<Response, Box<Problem>> {
        let detail = match self.entry.phase() {
            Phase::Serving => return Ok(Response::new(StatusCode::NO_CONTENT)),
            Phase::Starting => "the instance is starting",
            Phase::Draining | Phase::Left => "the instance is draining",
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Problem::not_run(status, "not-ready", detail))
    }

    fn dump(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let limit = match request.parameter("limit").map(|it| it.parse()) {
            None => DEFAULT_DUMP_ROWS,
            Some(Ok(limit)) if limit <= MAX_DUMP_ROWS => limit,
            Some(_) => {
                let detail = format!("limit: allowed 0 to {MAX_DUMP_ROWS}");
                return Err(Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail));
            }
        };
        Ok(Response::json(StatusCode::OK, &self.entry.dump(limit)))
    }

    fn tickets(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let count = match request.parameter("count").map(|it| it.parse()) {
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
            Some(text) => parse_id(text)?,
            None => Ticket::into(self.entry.ticket()),
        };
        let submission = validation::parse(&request.body).map_err(invalid_submission)?;
        // Frees the body, which would otherwise be kept until the answer is ready.
        drop(request);
        let answer = self
            .entry
            .submit(id, submission)
            .await
            .map_err(refusal_problem)?;
        Ok(answer_response(&answer))
    }

    async fn fetch(&self, text: &str, request: &Request) -> Result<Response, Box<Problem>> {
        let id = parse_id(text)?;
        let wait = parse_wait(request)?;
        let answer = clock::timeout(wait, self.entry.fetch(&id)).await;
        match answer {
            Some(answer) => answer
                .map(|it| answer_response(&it))
                .ok_or_else(|| job_not_found(text)),
            None => Err(no_answer_yet(text)),
        }
    }

    async fn cancel(&self, text: &str) -> Result<Response, Box<Problem>> {
        let answer = self
            .entry
            .cancel(&parse_id(text)?)
            .await
            .ok_or_else(|| job_not_found(text))?;
        Ok(answer_response(&answer))
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

fn parse_id(text: &str) -> Result<Id, Box<Problem>> {
    text.parse().map_err(|error: crate::job::ParseError| {
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid", error.to_string())
    })
}

/// Maximum wait that the request allows.
fn parse_wait(request: &Request) -> Result<Duration, Box<Problem>> {
    match request.parameter("wait_ms").map(|it| it.parse()) {
        None => Ok(MAX_WAIT),
        Some(Ok(ms)) if Duration::from_millis(ms) <= MAX_WAIT => Ok(Duration::from_millis(ms)),
        Some(_) => {
            let detail = format!("wait_ms: allowed 0 to {}", MAX_WAIT.as_millis());
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail))
        }
    }
}

/// Allowed methods of the resource at `path`.
fn allowed_methods(path: &[&str]) -> Option<&'static str> {
    match path {
        ["tickets"] | ["jobs"] => Some("POST"),
        ["jobs", _] => Some("GET, DELETE"),
        ["health", "live" | "ready"] => Some("GET, HEAD"),
        ["metrics"] | ["debug", "state"] => Some("GET"),
        _ => None,
    }
}

fn method_not_allowed(method: &Method, allowed: &str) -> Response {
    let detail = format!("{method} is not allowed here, only {allowed}");
    Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "method", detail)
        .response()
        .with_header(header::ALLOW, allowed)
}

fn invalid_submission(errors: Vec<FieldError>) -> Box<Problem> {
    let detail = format!("{} faults in the submission", errors.len());
    let mut problem = Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail);
    problem.faults = errors;
    problem
}

fn no_answer_yet(text: &str) -> Box<Problem> {
    let detail = format!("job {text} has no answer yet");
    let mut problem = Problem::not_run(StatusCode::ACCEPTED, "pending", detail);
    // The job may have run already.
    problem.outcome = Outcome::Unknown;
    problem.job = Some(text.to_owned());
    problem.retry_after_ms = Some(PENDING_RETRY_AFTER.as_millis() as u64);
    problem
}

fn answer_response(answer: &Answer) -> Response {
    match answer.outcome {
        Outcome::Complete => Response::json(StatusCode::OK, answer),
        _ => Problem::from_answer(answer).response(),
    }
}

fn refusal_problem(refusal: Refusal) -> Box<Problem> {
    let (status, kind) = match refusal {
        Refusal::Mismatch { .. } => (StatusCode::CONFLICT, "mismatch"),
        Refusal::Full { .. } => (StatusCode::SERVICE_UNAVAILABLE, "full"),
        Refusal::Invalid { .. } => (StatusCode::BAD_REQUEST, "invalid"),
    };
    Problem::not_run(status, kind, refusal.to_string())
}

fn job_not_found(text: &str) -> Box<Problem> {
    // An unknown job may have run elsewhere, so the outcome is not `not_run`.
    let detail = format!("no job {text} is known to this instance");
    let mut problem = Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail);
    problem.outcome = Outcome::Unknown;
    problem
}
