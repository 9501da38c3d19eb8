//! Serving side.

use std::{cell::Cell, rc::Rc};

use ::http::{HeaderMap, HeaderValue, StatusCode, Version, header};
use bluebellpath_runtime::{LocalFuture, Notify, clock, spawn};
use futures_util::future::{Either, select};
use monoio::{
    io::{AsyncWriteRent, AsyncWriteRentExt, Splitable, sink::SinkExt},
    net::{TcpListener, TcpStream, tcp::TcpOwnedReadHalf},
};
use monoio_http::h1::{
    codec::encoder::GenericEncoder,
    payload::{FixedPayload, Payload},
};

use super::{Fault, Limits, Request, Response, reader::Reader};

/// Answers requests.
pub trait Service {
    /// Answers one request.
    fn call(&self, request: Request) -> LocalFuture<'static, Response>;

    /// Answers input that is no valid request.
    fn malformed(&self, status: StatusCode, fault: Fault) -> Response {
        Response::new(status).with_body(fault.to_string())
    }
}

/// Server of one listener.
pub struct Server {
    listener: TcpListener,
    shared: Rc<Shared>,
}

struct Shared {
    service: Rc<dyn Service>,
    limits: Limits,
    closing: Cell<bool>,
    closed: Notify,
    open: Cell<usize>,
}

/// Handle that ends a running server.
#[derive(Clone)]
pub struct Closer(Rc<Shared>);

impl Closer {
    /// Ends idle connections, and the others after their present request.
    pub fn close(&self) {
        self.0.closing.set(true);
        self.0.closed.notify();
    }

    /// Connections still open.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }
}

impl Server {
    /// Server of `listener`.
    pub fn new(listener: TcpListener, service: Rc<dyn Service>, limits: Limits) -> Server {
        let shared = Shared {
            service,
            limits,
            closing: Cell::new(false),
            closed: Notify::new(),
            open: Cell::new(0),
        };
        Server {
            listener,
            shared: Rc::new(shared),
        }
    }

    /// Handle that ends the server.
    pub fn closer(&self) -> Closer {
        Closer(self.shared.clone())
    }

    /// Accepts connections until closed; one task serves each.
    pub async fn run(self) {
        while !self.shared.closing.get() {
            let closed = std::pin::pin!(self.shared.closed.notified());
            let accept = std::pin::pin!(self.listener.accept());
            match select(accept, closed).await {
                Either::Left((Ok((stream, _)), _)) => {
                    drop(spawn(serve(stream, self.shared.clone())));
                }
                // Out of descriptors: accepting again at once would spin.
                Either::Left((Err(_), _)) => {
                    clock::sleep(std::time::Duration::from_millis(10)).await;
                }
                Either::Right(_) => {}
            }
        }
    }
}

struct Open(Rc<Shared>);

impl Open {
    fn new(shared: &Rc<Shared>) -> Open {
        shared.open.set(shared.open.get() + 1);
        Open(shared.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    let _open = Open::new(&shared);
    // Without this a small answer waits for the other side's delayed ack.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::new(read);
    while wait(&mut reader, &shared).await {
        let received = receive(&mut reader, &mut write, &shared.limits).await;
        reader.release();
        let (response, keep) = match received {
            Ok((request, keep)) => (shared.service.call(request).await, keep),
            Err(fault) => match status(fault) {
                Some(status) => (shared.service.malformed(status, fault), false),
                None => return,
            },
        };
        let keep = keep && !shared.closing.get();
        let sent = clock::timeout(shared.limits.write, send(&mut write, response, keep)).await;
        if sent != Some(true) {
            return;
        }
        if !keep {
            break;
        }
    }
    linger(reader, write, &shared.limits).await;
}

/// Lets the other side read the last answer before the connection is reset by
/// input that nobody reads.
async fn linger(
    mut reader: Reader<TcpOwnedReadHalf>,
    mut write: impl AsyncWriteRent,
    limits: &Limits,
) {
    let _ = write.shutdown().await;
    let drain = async { while reader.discard().await {} };
    clock::timeout(limits.message / 10, drain).await;
}

async fn wait(reader: &mut Reader<TcpOwnedReadHalf>, shared: &Shared) -> bool {
    if shared.closing.get() {
        return false;
    }
    let first = std::pin::pin!(clock::timeout(shared.limits.idle, reader.wait()));
    let closed = std::pin::pin!(shared.closed.notified());
    match select(first, closed).await {
        Either::Left((first, _)) => matches!(first, Some(Ok(true))),
        Either::Right(_) => false,
    }
}

async fn receive(
    reader: &mut Reader<TcpOwnedReadHalf>,
    write: &mut impl AsyncWriteRent,
    limits: &Limits,
) -> Result<(Request, bool), Fault> {
    let head = reader.request_head(limits).await?;
    if expects_continue(&head.headers) {
        let (result, _) = write.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await;
        result.map_err(|_| Fault::Io)?;
    }
    let body = reader.body(&head.headers, limits).await?;
    let keep = keeps_alive(head.version, &head.headers);
    let request = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: head.headers,
        body,
    };
    Ok((request, keep))
}

fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(header::EXPECT)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = headers
        .get(header::CONNECTION)
        .and_then(|it| it.to_str().ok());
    match connection {
        Some(it) if it.eq_ignore_ascii_case("close") => false,
        Some(it) if it.eq_ignore_ascii_case("keep-alive") => true,
        _ => version == Version::HTTP_11,
    }
}

fn status(fault: Fault) -> Option<StatusCode> {
    match fault {
        Fault::TimedOut => Some(StatusCode::REQUEST_TIMEOUT),
        Fault::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Fault::BodyTooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
        Fault::LengthRequired => Some(StatusCode::LENGTH_REQUIRED),
        Fault::Malformed => Some(StatusCode::BAD_REQUEST),
        Fault::Closed | Fault::Io | Fault::Connections | Fault::Lapsed => None,
    }
}

async fn send(write: &mut impl AsyncWriteRent, response: Response, keep: bool) -> bool {
    let mut message = ::http::Response::new(payload(response.body));
    *message.status_mut() = response.status;
    *message.headers_mut() = response.headers;
    if !keep {
        message
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    GenericEncoder::new(write)
        .send_and_flush(message)
        .await
        .is_ok()
}

pub(super) fn payload(body: bytes::Bytes) -> Payload {
    if body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(body))
    }
}
