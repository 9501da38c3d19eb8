//! A target as an HTTP server.

use std::time::Duration;

use bluebellpath::{
    http::{Request, Response, Service},
    job::{Id, TaskId},
    platform::Instance,
    target::{Reason, Start, Status, http as wire},
};
use bluebellpath_runtime::LocalFuture;
use http::{HeaderName, Method, StatusCode};

use crate::Targets;

/// A target as an HTTP server.
#[derive(Clone)]
pub struct Target {
    targets: Targets,
    instance: Instance,
}

impl Target {
    /// Serves the target `instance` out of `targets`.
    pub fn new(targets: Targets, instance: Instance) -> Target {
        Target { targets, instance }
    }

    async fn route(self, request: Request) -> Response {
        let Some(task) = task(&request.path) else {
            return Response::new(StatusCode::NOT_FOUND);
        };
        match request.method {
            Method::POST => self.start(&task, &request).await,
            Method::DELETE if self.targets.halt(&task) => Response::new(StatusCode::OK),
            Method::DELETE => Response::new(StatusCode::NOT_FOUND),
            _ => Response::new(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn start(&self, task: &TaskId, request: &Request) -> Response {
        let number = |name: HeaderName, default| {
            request
                .header(name)
                .and_then(|it| it.parse().ok())
                .unwrap_or(default)
        };
        let payload = String::from_utf8_lossy(&request.body);
        let start = Start {
            task,
            target: &self.instance,
            kind: request.header(wire::KIND).unwrap_or_default(),
            payload: &payload,
            size: number(wire::SIZE, 1) as u32,
            lease: Duration::from_millis(number(wire::LEASE, 10_000)),
            timeout: Duration::MAX,
        };
        let refused =
            |word| Response::new(StatusCode::SERVICE_UNAVAILABLE).with_header(wire::REFUSAL, word);
        match self.targets.run(start).await {
            Ok(reply) => Response::new(status(reply.status)).with_body(reply.body),
            Err(Reason::Leaving) => refused("leaving"),
            Err(_) => refused("full"),
        }
    }
}

impl Service for Target {
    fn call(&self, request: Request) -> LocalFuture<'static, Response> {
        Box::pin(self.clone().route(request))
    }
}

fn task(path: &str) -> Option<TaskId> {
    let (job, index) = path.strip_prefix("/tasks/")?.rsplit_once('/')?;
    Some(TaskId {
        job: job.parse::<Id>().ok()?,
        index: index.parse().ok()?,
    })
}

fn status(status: Status) -> StatusCode {
    match status {
        Status::Complete => StatusCode::OK,
        Status::Failed => StatusCode::UNPROCESSABLE_ENTITY,
        Status::Stopped => StatusCode::GONE,
    }
}
