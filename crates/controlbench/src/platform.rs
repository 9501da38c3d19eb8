//! The platform's stand-in with counts of its traffic.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bluebellpath::http::{Fault, Request, Response, Service};
use bluebellpath_runtime::LocalFuture;
use http::{HeaderMap, StatusCode};

/// Bytes of a start line, and of the line ends of a header.
const LINE_BYTES: u64 = 16;
const HEADER_BYTES: u64 = 4;

/// Counts of a platform's traffic.
#[derive(Default)]
pub struct Traffic {
    /// Requests.
    pub requests: AtomicU64,
    /// Bytes of requests and responses, without TCP and IP.
    pub bytes: AtomicU64,
}

/// Service that counts its traffic.
pub struct Counted {
    service: Rc<dyn Service>,
    traffic: Arc<Traffic>,
}

impl Counted {
    /// Counts what `service` receives and sends.
    pub fn new(service: Rc<dyn Service>, traffic: Arc<Traffic>) -> Counted {
        Counted { service, traffic }
    }
}

impl Service for Counted {
    fn call(&self, request: Request) -> LocalFuture<'static, Response> {
        let traffic = self.traffic.clone();
        let received = message(&request.headers, request.path.len() + request.body.len());
        let answer = self.service.call(request);
        Box::pin(async move {
            let response = answer.await;
            let sent = message(&response.headers, response.body.len());
            traffic.requests.fetch_add(1, Ordering::Relaxed);
            traffic.bytes.fetch_add(received + sent, Ordering::Relaxed);
            response
        })
    }

    fn malformed(&self, status: StatusCode, fault: Fault) -> Response {
        self.service.malformed(status, fault)
    }
}

fn message(headers: &HeaderMap, rest: usize) -> u64 {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() as u64 + value.len() as u64 + HEADER_BYTES
    };
    LINE_BYTES + rest as u64 + headers.iter().map(header).sum::<u64>()
}
