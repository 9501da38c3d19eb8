/*!
HTTP protocol of the targets.

A start request is `POST /tasks/JOB/INDEX` with the kind, the size and the lease
in headers. The response arrives when the task has ended: 200 is a result, 422 a
failure of the task itself, and 410 a task that was stopped. 503 and 415 are
refusals, after which the task has certainly not started.
*/

use std::rc::Rc;

use ::http::{HeaderName, Method, StatusCode};
use bluebellpath_runtime::LocalFuture;

use super::{Client, Error, Fault, Fence, Reason, Reply, Start, Status, Step};
use crate::{
    http::{self, Request, Response},
    job::TaskId,
    platform::Instance,
};

/// Header with the kind of a task.
pub const KIND: HeaderName = HeaderName::from_static("task-kind");
/// Header with the number of slots that a task takes.
pub const SIZE: HeaderName = HeaderName::from_static("task-size");
/// Header with the lease in milliseconds.
pub const LEASE: HeaderName = HeaderName::from_static("task-lease-ms");
/// Header with the reason of a refusal: `full` or `leaving`.
pub const REFUSAL: HeaderName = HeaderName::from_static("task-refusal");

/// HTTP client of targets.
#[derive(Clone)]
pub struct Http {
    client: http::Client,
}

impl Http {
    /// Creates a client that uses the connections of `client`.
    pub fn new(client: http::Client) -> Http {
        Http { client }
    }
}

impl Client for Http {
    fn start<'a>(
        &'a self,
        start: Start<'a>,
        fence: Rc<dyn Fence>,
    ) -> LocalFuture<'a, Result<Reply, Error>> {
        Box::pin(async move {
            let name = &start.target.name;
            let lease_ms = start.lease.as_millis().to_string();
            let request = Request::new(Method::POST, task_path(start.task))
                .with_header(KIND, start.kind)
                .with_header(SIZE, &start.size.to_string())
                .with_header(LEASE, &lease_ms)
                .with_body(start.payload.to_owned());
            let connections = start.target.connections as usize;
            let address = start.target.address;
            let response = self
                .client
                .send_fenced(address, request, start.timeout, connections, fence)
                .await
                .map_err(|it| target_error(name, &it))?;
            parse_reply(name, &response)
        })
    }

    fn stop<'a>(
        &'a self,
        target: &'a Instance,
        task: &'a TaskId,
    ) -> LocalFuture<'a, Result<bool, Error>> {
        Box::pin(async move {
            let request = Request::new(Method::DELETE, task_path(task));
            let response = self
                .client
                .send(target.address, request, STOP_TIMEOUT)
                .await
                .map_err(|it| target_error(&target.name, &it))?;
            Ok(response.status.is_success())
        })
    }
}

/// Maximum wait for the confirmation of a stop.
const STOP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

fn task_path(task: &TaskId) -> String {
    format!("/tasks/{task}")
}

fn target_error(target: &str, error: &http::Error) -> Error {
    let step = match error.step {
        http::Step::Connect => Step::Connect,
        http::Step::Fence => Step::Fence,
        http::Step::Send => Step::Send,
        http::Step::Receive => Step::Receive,
    };
    let fault = match error.fault {
        _ if error.sent => Fault::Unknown,
        http::Fault::Connections => Fault::NotStarted(Reason::Connections),
        http::Fault::Lapsed => Fault::NotStarted(Reason::Lapsed),
        _ => Fault::NotStarted(Reason::Unreachable),
    };
    Error {
        step,
        target: target.to_owned(),
        fault,
        detail: error.fault.to_string(),
    }
}

fn parse_reply(target: &str, response: &Response) -> Result<Reply, Error> {
    let body = String::from_utf8_lossy(&response.body).into_owned();
    let status = match response.status {
        StatusCode::OK => Status::Complete,
        StatusCode::UNPROCESSABLE_ENTITY => Status::Failed,
        StatusCode::GONE => Status::Stopped,
        _ => {
            let fault = refusal_kind(response);
            return Err(Error {
                step: Step::Receive,
                target: target.to_owned(),
                fault,
                detail: format!("status {}", response.status.as_u16()),
            });
        }
    };
    Ok(Reply { status, body })
}

fn refusal_kind(response: &Response) -> Fault {
    let reason = response
        .headers
        .get(REFUSAL)
        .and_then(|it| it.to_str().ok());
    match (response.status, reason) {
        (StatusCode::SERVICE_UNAVAILABLE, Some("leaving")) => Fault::NotStarted(Reason::Leaving),
        (StatusCode::SERVICE_UNAVAILABLE, Some("full")) => Fault::NotStarted(Reason::Full),
        (StatusCode::UNSUPPORTED_MEDIA_TYPE, _) => Fault::NotStarted(Reason::Unsupported),
        // Without the protocol's refusal header, another server may have sent it.
        _ => Fault::Unknown,
    }
}
