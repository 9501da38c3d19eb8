//! Problem documents towards operators.

use ::http::{StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::{
    caller,
    config::{Fault, Refusal, Revision},
    http::Response,
    job::Outcome,
    platform,
};

/// Time after which asking the platform again may help, in milliseconds.
const PLATFORM_RETRY_MS: u64 = 1000;

/// Problem document towards operators: that of callers, and what concerns a
/// change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Problem document as callers know it; `outcome` is that of the change.
    #[serde(flatten)]
    pub problem: caller::Problem,
    /// Faults of the document that the change would make.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// What others changed since the version that the operator looked at.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<Revision>,
    /// Operation to ask for when its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
}

impl Problem {
    /// Problem of a request that changed nothing.
    pub fn refused(status: StatusCode, kind: &str, detail: impl Into<String>) -> Box<Problem> {
        Box::new(Problem {
            problem: *caller::Problem::not_run(status, kind, detail),
            faults: Vec::new(),
            since: Vec::new(),
            operation: None,
        })
    }

    /// Problem of a request that the platform did not answer.
    pub fn platform(error: &platform::Error) -> Box<Problem> {
        let mut problem = Problem::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "platform",
            error.to_string(),
        );
        problem.problem.retry_after_ms = Some(PLATFORM_RETRY_MS);
        problem
    }

    /// Problem of an operation that was not accepted.
    pub fn of_refusal(refusal: Refusal) -> Box<Problem> {
        let detail = refusal.to_string();
        let of = |status, kind| Problem::refused(status, kind, detail.clone());
        match refusal {
            Refusal::Faults { faults } => {
                let mut problem = of(StatusCode::UNPROCESSABLE_ENTITY, "faults");
                problem.faults = faults;
                problem
            }
            Refusal::Lost { since, .. } => {
                let mut problem = of(StatusCode::PRECONDITION_FAILED, "lost");
                problem.since = since;
                problem
            }
            Refusal::Mismatch { .. } => of(StatusCode::CONFLICT, "mismatch"),
            Refusal::Unchanged { .. } => of(StatusCode::CONFLICT, "unchanged"),
            Refusal::Unavailable { error } => Problem::platform(&error),
            Refusal::Unknown { operation, .. } => {
                let mut problem = of(StatusCode::GATEWAY_TIMEOUT, "unknown");
                problem.problem.outcome = Outcome::Unknown;
                problem.operation = Some(operation);
                problem
            }
        }
    }

    /// Response with this problem as its body.
    pub fn response(&self) -> Response {
        let mut response = self.problem.response();
        if self.problem.status == StatusCode::UNAUTHORIZED.as_u16() {
            response = response.with_header(header::WWW_AUTHENTICATE, "Bearer");
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        response.with_body(body)
    }
}
