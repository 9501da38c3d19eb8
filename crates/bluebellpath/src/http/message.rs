//! Whole messages.

use std::{borrow::Cow, rc::Rc};

use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::Serialize;

use super::Account;

/// Bytes that are encoded in a query: all but the unreserved characters of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

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
    /// Header with a value that no header can hold. A client does not send such a
    /// request.
    pub(super) invalid_header: Option<HeaderName>,
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
            invalid_header: None,
        }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Request {
        self.body = body.into();
        self
    }

    /// Sets a header. With a value that no header can hold, sending the request fails.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Request {
        match header_value(value) {
            Some(value) => drop(self.headers.insert(name, value)),
            None => self.invalid_header = Some(name),
        }
        self
    }

    /// Sets the query to `parameters`, pairs of a name and a value, both any text.
    pub fn with_parameters(mut self, parameters: &[(&str, &str)]) -> Request {
        let encode = |text| utf8_percent_encode(text, ENCODED);
        let pairs = parameters.iter();
        let pairs = pairs.map(|(name, value)| format!("{}={}", encode(name), encode(value)));
        let query = pairs.collect::<Vec<_>>().join("&");
        self.query = (!query.is_empty()).then_some(query);
        self
    }

    /// Value of the header `name`, where it is text.
    pub fn header(&self, name: impl header::AsHeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }

    /// Decoded value of the query parameter `name`. Bytes that are no text become
    /// replacement characters.
    pub fn parameter(&self, name: &str) -> Option<Cow<'_, str>> {
        let mut pairs = self.query.as_deref()?.split('&');
        let value = pairs.find_map(|it| {
            let (key, value) = it.split_once('=')?;
            (key == name).then_some(value)
        });
        Some(percent_decode_str(value?).decode_utf8_lossy())
    }
}

/// Whether a header can hold `text`, so that a receiver reads the same.
pub fn fits_header(text: &str) -> bool {
    header_value(text).is_some()
}

/// Header value that a receiver reads as `text`; `None` if there is none.
fn header_value(text: &str) -> Option<HeaderValue> {
    // White space around a value is not part of it.
    let is_whole = text.trim_matches([' ', '\t']) == text;
    HeaderValue::from_str(text).ok().filter(|_| is_whole)
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
