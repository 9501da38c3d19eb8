//! Serving side.

use std::{cell::Cell, rc::Rc, time::Duration};

use ::http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
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

use super::{
    Fault, Limits, Request, Response,
    reader::{Reader, declared},
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Longest wait for one more connection before a listener closes.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// Longest time for emptying the backlog.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Wait for a request that may be under way on an idle connection that is to
/// close, several times the way from a caller.
const LAST_CALL: Duration = Duration::from_millis(100);

/// Status of the last answer on a connection that idled too long.
const IDLE_STATUS: StatusCode = StatusCode::REQUEST_TIMEOUT;

/// Answers requests.
pub trait Service {
    /// Answers one request.
    fn call(&self, request: Request) -> LocalFuture<'static, Response>;

    /// True where nobody has a use for an answer once its caller is gone; the
    /// call is dropped then.
    fn ends_with_caller(&self) -> bool {
        false
    }

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
    listening: Cell<bool>,
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

    /// True once the listener is closed and the last connection has ended.
    pub fn is_done(&self) -> bool {
        !self.0.listening.get() && self.open() == 0
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
            listening: Cell::new(true),
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
                Either::Left((Err(_), _)) => clock::sleep(ACCEPT_PAUSE).await,
                Either::Right(_) => {}
            }
        }
        self.empty_backlog().await;
        self.shared.listening.set(false);
    }

    /// Accepts what connected before the listener closes, which would else
    /// reset connections whose requests are under way.
    async fn empty_backlog(&self) {
        // Callers that never stop connecting can't hold up the end.
        let deadline = clock::now() + MAX_BACKLOG;
        while clock::now() < deadline {
            let accept = self.listener.accept();
            let Some(Ok((stream, _))) = clock::timeout(BACKLOG_WAIT, accept).await else {
                return;
            };
            drop(spawn(serve(stream, self.shared.clone())));
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
    loop {
        match wait(&mut reader, &shared).await {
            Wait::Request => {}
            Wait::Idle => {
                // A request may be under way; this answer says that it was not
                // run, which stays true because nothing more is read.
                let response = shared.service.malformed(IDLE_STATUS, Fault::TimedOut);
                send_within(&mut write, response, false, &shared.limits).await;
                break;
            }
            Wait::Gone => return,
        }
        let received = receive(&mut reader, &mut write, &shared.limits).await;
        reader.release();
        let (response, keep) = match received {
            Ok((request, keep)) => {
                let bodiless = request.method == Method::HEAD;
                let call = shared.service.call(request);
                let Some(mut response) = answer(call, &mut reader, &shared).await else {
                    return;
                };
                if bodiless {
                    response.body.clear();
                }
                (response, keep)
            }
            Err(fault) => match status(fault) {
                Some(status) => (shared.service.malformed(status, fault), false),
                None => return,
            },
        };
        // Requests that were sent ahead are still answered before the end.
        let keep = keep && (!shared.closing.get() || reader.has_input());
        if !send_within(&mut write, response, keep, &shared.limits).await {
            return;
        }
        if !keep {
            break;
        }
    }
    linger(reader, write, &shared.limits).await;
}

/// Waits for the answer; `None` once the caller has left, where that ends it.
async fn answer(
    call: LocalFuture<'static, Response>,
    reader: &mut Reader<TcpOwnedReadHalf>,
    shared: &Shared,
) -> Option<Response> {
    if !shared.service.ends_with_caller() {
        return Some(call.await);
    }
    // The connection is looked at first: a caller that has left while this
    // process stood still starts nothing any more.
    match select(std::pin::pin!(reader.wait()), call).await {
        // The next request is here already; its caller waits for this answer.
        Either::Left((Ok(true), call)) => Some(call.await),
        Either::Left((Ok(false) | Err(_), _)) => None,
        Either::Right((response, _)) => Some(response),
    }
}

async fn send_within(
    write: &mut impl AsyncWriteRent,
    response: Response,
    keep: bool,
    limits: &Limits,
) -> bool {
    let sent = clock::timeout(limits.write, send(write, response, keep)).await;
    sent == Some(true)
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

/// What came of waiting for a request.
enum Wait {
    /// Its first byte is here.
    Request,
    /// None came in time.
    Idle,
    /// The other side has closed the connection.
    Gone,
}

async fn wait(reader: &mut Reader<TcpOwnedReadHalf>, shared: &Shared) -> Wait {
    let closed = shared.closed.notified();
    if !shared.closing.get() {
        let first = std::pin::pin!(first_byte(reader, shared.limits.idle));
        let closed = std::pin::pin!(closed);
        if let Either::Left((waited, _)) = select(first, closed).await {
            return waited;
        }
    }
    first_byte(reader, LAST_CALL).await
}

async fn first_byte(reader: &mut Reader<TcpOwnedReadHalf>, limit: Duration) -> Wait {
    match clock::timeout(limit, reader.wait()).await {
        Some(Ok(true)) => Wait::Request,
        Some(Ok(false) | Err(_)) => Wait::Gone,
        None => Wait::Idle,
    }
}

async fn receive(
    reader: &mut Reader<TcpOwnedReadHalf>,
    write: &mut impl AsyncWriteRent,
    limits: &Limits,
) -> Result<(Request, bool), Fault> {
    let head = reader.request_head(limits).await?;
    // Tested before the go-ahead, so that nobody sends a body in vain.
    let length = declared(&head.headers, limits)?;
    if expects_continue(&head.headers) {
        let (result, _) = write.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await;
        result.map_err(|_| Fault::Io)?;
    }
    let body = reader.body(length, limits, limits.message).await?;
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
        Fault::Malformed => Some(StatusCode::BAD_REQUEST),
        Fault::Closed | Fault::Refused | Fault::Io | Fault::Connections | Fault::Lapsed => None,
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
