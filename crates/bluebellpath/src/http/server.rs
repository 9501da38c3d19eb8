//! Serving side.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use ::http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use bluebellpath_runtime::{LocalFuture, Notify, clock, runtime, spawn};
use futures_util::future::{Either, select};
use monoio::{
    io::{AsyncWriteRent, AsyncWriteRentExt, Splitable, sink::SinkExt},
    net::{ListenerOpts, TcpListener, TcpStream, tcp::TcpOwnedReadHalf},
};
use monoio_http::h1::{
    codec::encoder::GenericEncoder,
    payload::{FixedPayload, Payload},
};

use super::{
    Account, Budget, Fault, Limits, Request, Response,
    ledger::{Phase, RECEIVE_BUFFER_BYTES},
    reader::{Reader, declared},
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Errors of a process, and of a system, without a free descriptor.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

/// Longest wait for one more connection before a listener closes.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// Most connections that wait for their accept. Each may hold a full receive buffer.
const MAX_BACKLOG_CONNECTIONS: i32 = 512;

/// Longest time for emptying the backlog.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Wait for a request that may be under way on an idle connection that is to
/// close, several times the way from a caller.
const LAST_CALL: Duration = Duration::from_millis(100);

/// Seconds after which a caller may send a body again for which there was no room.
const RETRY_AFTER_S: u64 = 1;

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
    budget: Budget,
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
    /// Listener whose connections hold no more unread bytes in the system than a
    /// [`Budget`] expects.
    pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
        let options = ListenerOpts::new()
            .backlog(MAX_BACKLOG_CONNECTIONS)
            .recv_buf_size(RECEIVE_BUFFER_BYTES)
            .send_buf_size(RECEIVE_BUFFER_BYTES);
        TcpListener::bind_with_config(address, &options)
    }

    /// Server of `listener`, whose callers together may hold as much as they like.
    pub fn new(listener: TcpListener, service: Rc<dyn Service>, limits: Limits) -> Server {
        Server::with_budget(listener, service, limits, Budget::unlimited())
    }

    /// Server of `listener`, whose callers hold no more than `budget`.
    pub fn with_budget(
        listener: TcpListener,
        service: Rc<dyn Service>,
        limits: Limits,
        budget: Budget,
    ) -> Server {
        let shared = Shared {
            service,
            limits,
            budget,
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
                Either::Left((Ok((stream, _)), _)) => self.welcome(stream).await,
                Either::Left((Err(error), _)) => {
                    if matches!(error.raw_os_error(), Some(EMFILE | ENFILE)) {
                        self.shared.budget.shed();
                    }
                    // Accepting again at once would spin.
                    clock::sleep(ACCEPT_PAUSE).await;
                }
                Either::Right(_) => {}
            }
            // Callers that never stop connecting leave their turn to those that have.
            runtime::give_way().await;
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
            self.welcome(stream).await;
        }
    }

    /// Serves a connection, or closes it if there is no room. An answer would be taken
    /// for one to a request of which nothing is known.
    async fn welcome(&self, stream: TcpStream) {
        if let Some(account) = self.shared.budget.admit().await {
            drop(spawn(serve(stream, account, self.shared.clone())));
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

async fn serve(stream: TcpStream, account: Account, shared: Rc<Shared>) {
    let _open = Open::new(&shared);
    let account = Rc::new(account);
    // Without this a small answer waits for the other side's delayed ack.
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::charged(read, account.clone());
    loop {
        let fault = match exchange(&mut reader, &mut write, &account, &shared).await {
            Exchange::Kept => continue,
            Exchange::Gone => return,
            Exchange::Ended => None,
            Exchange::Failed(fault) => Some(fault),
        };
        reader.clear();
        account.enter(Phase::Closing);
        // A connection that makes room for others twice is closed at once.
        let end = end(reader, write, fault, &shared);
        account.unless_evicted(end).await;
        return;
    }
}

/// What came of one exchange.
enum Exchange {
    /// The connection waits for the next one.
    Kept,
    /// The answer was the last one.
    Ended,
    /// There was no valid request, or no room for it.
    Failed(Fault),
    /// The caller can't be reached any more.
    Gone,
}

/// Receives a request and answers it.
async fn exchange(
    reader: &mut Reader<TcpOwnedReadHalf>,
    write: &mut impl AsyncWriteRent,
    account: &Rc<Account>,
    shared: &Shared,
) -> Exchange {
    let waited = account.unless_evicted(wait(reader, shared)).await;
    match waited.unwrap_or(Wait::Idle) {
        Wait::Request => {}
        // A request may be under way; the answer says that it was not run, which
        // stays true because nothing more is read.
        Wait::Idle => return Exchange::Failed(Fault::TimedOut),
        Wait::Gone => return Exchange::Gone,
    }
    account.enter(Phase::Receiving);
    let received = receive(reader, write, account, &shared.limits).await;
    reader.release();
    let (mut request, keep) = match received {
        Ok(received) => received,
        Err(fault) => return Exchange::Failed(fault),
    };
    account.enter(Phase::Serving);
    request.account = Some(account.clone());
    let bodiless = request.method == Method::HEAD;
    let call = shared.service.call(request);
    let Some(mut response) = answer(call, reader, shared).await else {
        return Exchange::Gone;
    };
    if bodiless {
        response.body.clear();
    }
    // Requests that were sent ahead are still answered before the end.
    let keep = keep && (!shared.closing.get() || reader.has_input());
    reader.settle();
    account.enter(Phase::Idle);
    let sent = send_within(write, response, keep, &shared.limits);
    match account.unless_evicted(sent).await {
        Some(true) if keep => Exchange::Kept,
        Some(true) => Exchange::Ended,
        Some(false) | None => Exchange::Gone,
    }
}

/// Answers with `fault`, if there is one, and closes the connection.
async fn end(
    reader: Reader<TcpOwnedReadHalf>,
    mut write: impl AsyncWriteRent,
    fault: Option<Fault>,
    shared: &Shared,
) {
    if let Some(fault) = fault {
        let Some(status) = status(fault) else { return };
        let response = refusal(shared, fault, status);
        if !send_within(&mut write, response, false, &shared.limits).await {
            return;
        }
    }
    linger(reader, write, &shared.limits).await;
}

/// Answer to input that is no valid request, or to a body for which there is no room.
fn refusal(shared: &Shared, fault: Fault, status: StatusCode) -> Response {
    let response = shared.service.malformed(status, fault);
    match fault {
        Fault::NoRoom => response.with_header(header::RETRY_AFTER, &RETRY_AFTER_S.to_string()),
        _ => response,
    }
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
    account: &Account,
    limits: &Limits,
) -> Result<(Request, bool), Fault> {
    let head = account.unless_evicted(reader.request_head(limits)).await;
    let head = match head.unwrap_or(Err(Fault::NoRoom)) {
        // What is still missing of it is not waited for any longer.
        Err(Fault::NoRoom) => return Err(Fault::TimedOut),
        head => head?,
    };
    // Tested before the go-ahead, so that nobody sends a body in vain.
    let length = declared(&head.headers, limits)?;
    if expects_continue(&head.headers) {
        let sent = write.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
        let (result, _) = clock::timeout(limits.write, sent)
            .await
            .ok_or(Fault::TimedOut)?;
        result.map_err(|_| Fault::Io)?;
    }
    let body = reader.body(length, limits, limits.message);
    let body = account.unless_evicted(body).await;
    let body = body.unwrap_or(Err(Fault::NoRoom))?;
    let keep = keeps_alive(head.version, &head.headers);
    let mut request = Request::new(head.method, head.uri.path()).with_body(body);
    request.query = head.uri.query().map(str::to_owned);
    request.headers = head.headers;
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
        // A 503 would promise that the job never runs, and an earlier attempt may.
        Fault::NoRoom => Some(StatusCode::PAYLOAD_TOO_LARGE),
        Fault::Closed
        | Fault::Refused
        | Fault::Io
        | Fault::Unencodable
        | Fault::Connections
        | Fault::Lapsed => None,
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
