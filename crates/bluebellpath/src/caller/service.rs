//! Callers' requests.

use ::http::{HeaderName, Method, StatusCode};
use bluebellpath_runtime::LocalFuture;
use serde::Serialize;

use super::Problem;
use crate::{
    admin,
    entry::{Entry, Refusal},
    http::{Fault, Request, Response, Service},
    job::{Answer, Id, Outcome, Submission, Ticket},
};

/// Header with the job id.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

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
            (&Method::POST, ["tickets"]) => self.tickets(&request),
            (&Method::POST, ["jobs"]) => self.submit(&request).await,
            (&Method::GET, ["jobs", id]) => self.fetch(id).await,
            (&Method::DELETE, ["jobs", id]) => self.cancel(id).await,
            (_, ["tickets" | "jobs", ..]) => {
                let detail = format!("{} is not allowed here", request.method);
                Err(Problem::not_run(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "method",
                    detail,
                ))
            }
            _ => {
                let detail = format!("no resource at {path}");
                Err(Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail))
            }
        };
        routed.unwrap_or_else(|problem| problem.response())
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

    async fn submit(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let id = match request.header(IDEMPOTENCY_KEY) {
            Some(text) => id(text)?,
            None => Ticket::into(self.entry.ticket()),
        };
        let submission: Submission = serde_json::from_slice(&request.body).map_err(|error| {
            let detail = format!("submission: {error}");
            Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail)
        })?;
        let answer = self.entry.submit(id, submission).await.map_err(refused)?;
        Ok(answered(&answer))
    }

    async fn fetch(&self, text: &str) -> Result<Response, Box<Problem>> {
        let answer = self
            .entry
            .fetch(&id(text)?)
            .await
            .ok_or_else(|| missing(text))?;
        Ok(answered(&answer))
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

    fn malformed(&self, status: StatusCode, fault: Fault) -> Response {
        Problem::not_run(status, "malformed", fault.to_string()).response()
    }
}

fn id(text: &str) -> Result<Id, Box<Problem>> {
    text.parse().map_err(|error: crate::job::ParseError| {
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid", error.to_string())
    })
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
