//! Whole messages.

use std::rc::Rc;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use bytes::Bytes;
use serde::Serialize;

use super::Account;

/// Request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: Option<String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Account of the caller's connection, on the serving side. It is charged with the
    /// body until the answer; a service that holds more or less charges it with that.
    pub account: Option<Rc<Account>>,
}

impl Request {
    /// Request without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Request {
        Request {
            method,
            path: path.into(),
            query: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            account: None,
        }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Request {
        self.body = body.into();
        self
    }

    /// Sets a header; a value that no header can hold is left out.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Request {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Value of the header `name`, where it is text.
    pub fn header(&self, name: impl header::AsHeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }

    /// Value of the query parameter `name`.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.as_deref()?.split('&');
        pairs
            .filter_map(|it| it.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|it| it.1)
    }
}

/// Response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Response without headers and body.
    pub fn new(status: StatusCode) -> Response {
        Response {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Response with `body` as JSON.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
        match serde_json::to_vec(body) {
            Ok(body) => Response::new(status)
                .with_type("application/json")
                .with_body(body),
            Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Response {
        self.body = body.into();
        self
    }

    /// Sets the content type.
    pub fn with_type(self, content_type: &str) -> Response {
        self.with_header(header::CONTENT_TYPE, content_type)
    }

    /// Sets a header; a value that no header can hold is left out.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Response {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }
}
