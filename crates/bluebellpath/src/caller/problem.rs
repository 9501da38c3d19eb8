//! Problem documents.

use ::http::{StatusCode, header};
use serde::{Deserialize, Serialize};

use super::FieldError;
use crate::{
    http::Response,
    job::{Answer, Outcome, RefusalReason, TaskAnswer},
};

/// Problem document (RFC 9457).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary, the same for all problems of this kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Id of the job, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// Errors in the fields of the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FieldError>,
    /// Outcome of each task, in the order of the submission.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<TaskAnswer>,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Problem of a request that did not start a job.
    pub fn not_run(status: StatusCode, kind: &str, detail: impl Into<String>) -> Box<Problem> {
        Box::new(Problem {
            kind: format!("urn:bluebellpath:problem:{kind}"),
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            job: None,
            faults: Vec::new(),
            parts: Vec::new(),
            retry_after_ms: None,
        })
    }

    /// Problem of a job that did not complete.
    pub fn from_answer(answer: &Answer) -> Problem {
        let (status, kind) = match answer.outcome {
            Outcome::Complete | Outcome::Failed => (StatusCode::BAD_GATEWAY, "failed"),
            Outcome::NotRun => not_run_kind(answer.reason),
            Outcome::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        };
        let detail = answer.detail.clone().unwrap_or_default();
        Problem {
            outcome: answer.outcome,
            job: Some(answer.id.to_string()),
            parts: answer.parts.clone(),
            retry_after_ms: answer.retry_after_ms,
            ..*Problem::not_run(status, kind, detail)
        }
    }

    /// HTTP response with this problem as its body.
    pub fn response(&self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let response = Response::json(status, self).with_type("application/problem+json");
        match self.retry_after_ms {
            Some(ms) => {
                let seconds = ms.div_ceil(1000).max(1);
                response.with_header(header::RETRY_AFTER, &seconds.to_string())
            }
            None => response,
        }
    }
}

/// HTTP status and kind of problem of a job that never started.
fn not_run_kind(reason: Option<RefusalReason>) -> (StatusCode, &'static str) {
    match reason {
        Some(RefusalReason::Quota) => (StatusCode::TOO_MANY_REQUESTS, "quota"),
        Some(RefusalReason::Overload) => (StatusCode::SERVICE_UNAVAILABLE, "overload"),
        Some(RefusalReason::Starting) => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
        Some(RefusalReason::TooLarge) => (StatusCode::UNPROCESSABLE_ENTITY, "too-large"),
        Some(RefusalReason::Deadline) => (StatusCode::UNPROCESSABLE_ENTITY, "deadline"),
        None => (StatusCode::SERVICE_UNAVAILABLE, "not-run"),
    }
}
