/*!
Calling side: pooled connections with a limit for each address.

One task owns each connection. While idle it also reads, so that a connection
which the other side closes leaves the pool at once; a request written to a
connection that is already closed would be a request of unknown outcome.

Connections may fall silent without being closed, and then all at once. When a
response does not come, those that have been idle since before its request are
closed as well, so that the next call finds none of them.
*/

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use ::http::{HeaderValue, Uri, header, uri::PathAndQuery};
use bluebellpath_runtime::{Instant, clock, spawn};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, sink::SinkExt},
    net::TcpStream,
};
use monoio_http::h1::{codec::encoder::GenericEncoder, payload::Payload};

use super::{
    Error, Fault, Limits, Request, Response, Step,
    reader::{Reader, declared},
    server::payload,
};
use crate::target::{Fence, Open};

/// Connections that each address may have: one for a long poll, one for the rest.
pub const GUARANTEED: usize = 2;

/// Limits and timeouts of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Limits on responses.
    pub limits: Limits,
    /// Longest time for making a connection.
    pub connect: Duration,
    /// Connections to one address, where a call sets no other limit.
    pub connections: usize,
    /// Connections to all addresses together. Each address has [`GUARANTEED`] of its
    /// own, whatever the others have.
    pub all_connections: usize,
}

impl Default for Config {
    /// Default limits, 1 s to connect, 64 connections for each address, any number for
    /// all.
    fn default() -> Config {
        Config {
            limits: Limits::default(),
            connect: Duration::from_secs(1),
            connections: 64,
            all_connections: usize::MAX,
        }
    }
}

/// HTTP client with pooled connections.
#[derive(Clone)]
pub struct Client(Rc<Shared>);

struct Shared {
    config: Config,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Connections to all addresses.
    open: Rc<Cell<usize>>,
}

#[derive(Default)]
struct Pool {
    idle: RefCell<Vec<Idle>>,
    open: Cell<usize>,
}

/// Connection in the pool.
struct Idle {
    calls: Calls,
    since: Instant,
}

/// Request as the codec sends it, without the host.
type Message = ::http::Request<Payload>;

/// Way to a connection's task, which closes the connection on `None`.
type Calls = mpsc::UnboundedSender<Option<Call>>;

struct Call {
    message: Message,
    fence: Rc<dyn Fence>,
    timeout: Duration,
    reply: oneshot::Sender<Result<Response, Failure>>,
}

#[derive(Clone, Copy)]
struct Failure {
    step: Step,
    fault: Fault,
    sent: bool,
}

impl Client {
    /// Client with the given configuration.
    pub fn new(config: Config) -> Client {
        Client(Rc::new(Shared {
            config,
            pools: RefCell::default(),
            open: Rc::default(),
        }))
    }

    /// Sends `request` to `peer` and waits up to `timeout` for the response's head,
    /// and as long again for each further part of its body.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let connections = self.0.config.connections;
        self.send_fenced(peer, request, timeout, connections, Rc::new(Open))
            .await
    }

    /// Like [`Client::send`], over at most `connections` connections; tests
    /// `fence` right before the first byte is handed to the socket.
    pub async fn send_fenced(
        &self,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
        connections: usize,
        fence: Rc<dyn Fence>,
    ) -> Result<Response, Error> {
        let error = |it: Failure| Error {
            step: it.step,
            peer: peer.to_string(),
            fault: it.fault,
            sent: it.sent,
        };
        let unsent = |fault| {
            error(Failure {
                step: Step::Connect,
                fault,
                sent: false,
            })
        };
        let message = encode(request).map_err(unsent)?;
        let pool = self.0.pools.borrow_mut().entry(peer).or_default().clone();
        let (reply, answer) = oneshot::channel();
        let mut call = Call {
            message,
            fence,
            timeout,
            reply,
        };
        loop {
            let Some(connection) = pool.take() else { break };
            match connection.unbounded_send(Some(call)) {
                Ok(()) => return self.wait(answer).await.map_err(error),
                // The connection ended while it lay in the pool.
                Err(back) => match back.into_inner() {
                    Some(back) => call = back,
                    None => return Err(unsent(Fault::Closed)),
                },
            }
        }
        let is_guaranteed = pool.open.get() < GUARANTEED;
        let all_in_use = self.0.open.get() >= self.0.config.all_connections;
        if pool.open.get() >= connections || (all_in_use && !is_guaranteed) {
            return Err(unsent(Fault::Connections));
        }
        let connection = self.connect(peer, pool).await.map_err(unsent)?;
        match connection.unbounded_send(Some(call)) {
            Ok(()) => self.wait(answer).await.map_err(error),
            Err(_) => Err(unsent(Fault::Closed)),
        }
    }

    async fn wait(
        &self,
        answer: oneshot::Receiver<Result<Response, Failure>>,
    ) -> Result<Response, Failure> {
        // A connection's task that ends without a word may have sent bytes.
        let lost = Failure {
            step: Step::Receive,
            fault: Fault::Closed,
            sent: true,
        };
        answer.await.unwrap_or(Err(lost))
    }

    async fn connect(&self, peer: SocketAddr, pool: Rc<Pool>) -> Result<Calls, Fault> {
        let slot = Slot::new(pool, self.0.open.clone());
        let connect = TcpStream::connect_addr(peer);
        let connected = clock::timeout(self.0.config.connect, connect).await;
        let fault = |it: std::io::Error| match it.kind() {
            ErrorKind::ConnectionRefused => Fault::Refused,
            _ => Fault::Io,
        };
        let stream = connected.ok_or(Fault::TimedOut)?.map_err(fault)?;
        // Without this a small request waits for the other side's delayed ack.
        let _ = stream.set_nodelay(true);
        let (sender, calls) = mpsc::unbounded();
        let connection = Connection::new(stream, peer, self.0.config.limits);
        drop(spawn(connection.run(calls, sender.clone(), slot)));
        Ok(sender)
    }
}

impl Pool {
    fn take(&self) -> Option<Calls> {
        self.idle.borrow_mut().pop().map(|it| it.calls)
    }

    /// Closes the connections that have been idle since before `moment`.
    fn close_older(&self, moment: Instant) {
        self.idle.borrow_mut().retain(|it| {
            let stays = it.since >= moment;
            if !stays {
                // One that has ended by itself needs none.
                let _ = it.calls.unbounded_send(None);
            }
            stays
        });
    }
}

/// Counts a connection while it lives.
struct Slot {
    pool: Rc<Pool>,
    all: Rc<Cell<usize>>,
}

impl Slot {
    fn new(pool: Rc<Pool>, all: Rc<Cell<usize>>) -> Slot {
        pool.open.set(pool.open.get() + 1);
        all.set(all.get() + 1);
        Slot { pool, all }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.all.set(self.all.get() - 1);
    }
}

struct Connection {
    host: HeaderValue,
    limits: Limits,
    reader: Reader<OwnedReadHalf<TcpStream>>,
    // Kept with its buffer, whose size is beyond the allocator's fast path.
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, limits: Limits) -> Connection {
        let (read, write) = stream.into_split();
        let host = HeaderValue::from_str(&peer.to_string());
        Connection {
            host: host.unwrap_or(HeaderValue::from_static("unknown")),
            limits,
            reader: Reader::new(read),
            encoder: GenericEncoder::new(write),
        }
    }

    async fn run(
        mut self,
        mut calls: mpsc::UnboundedReceiver<Option<Call>>,
        own: Calls,
        slot: Slot,
    ) {
        while let Some(call) = self.next(&mut calls).await {
            let sent = clock::now();
            let Call {
                message,
                fence,
                timeout,
                reply,
            } = call;
            let result = self.exchange(message, fence.as_ref(), timeout).await;
            let keep = result.as_ref().is_ok_and(|(_, keep)| *keep);
            if keep {
                slot.pool.idle.borrow_mut().push(Idle {
                    calls: own.clone(),
                    since: clock::now(),
                });
            }
            if matches!(&result, Err(it) if it.sent && it.fault == Fault::TimedOut) {
                slot.pool.close_older(sent);
            }
            // The caller may have stopped waiting.
            let _ = reply.send(result.map(|(response, _)| response));
            if !keep {
                return;
            }
        }
    }

    /// Next call, or `None` once the connection is of no use any more.
    async fn next(&mut self, calls: &mut mpsc::UnboundedReceiver<Option<Call>>) -> Option<Call> {
        let idle = std::pin::pin!(clock::timeout(self.limits.idle, self.reader.wait()));
        match select(calls.next(), idle).await {
            Either::Left((call, _)) => call.flatten(),
            Either::Right(_) => {
                calls.close();
                // A call that was queued in this very moment is still unsent.
                if let Ok(Some(call)) = calls.try_recv() {
                    let failure = Failure {
                        step: Step::Connect,
                        fault: Fault::Closed,
                        sent: false,
                    };
                    let _ = call.reply.send(Err(failure));
                }
                None
            }
        }
    }

    async fn exchange(
        &mut self,
        mut message: Message,
        fence: &dyn Fence,
        timeout: Duration,
    ) -> Result<(Response, bool), Failure> {
        let failed = |step, sent| move |fault| Failure { step, fault, sent };
        message
            .headers_mut()
            .insert(header::HOST, self.host.clone());
        // Nothing may come between this test and the write.
        fence
            .check()
            .map_err(|_| failed(Step::Fence, false)(Fault::Lapsed))?;
        let send = async {
            let sent = self.encoder.send_and_flush(message).await;
            sent.map_err(|_| Fault::Io)
        };
        let sent = clock::timeout(self.limits.write.min(timeout), send).await;
        sent.unwrap_or(Err(Fault::TimedOut))
            .map_err(failed(Step::Send, true))?;
        let head = self.reader.response_head(&self.limits, timeout).await;
        let head = head.map_err(failed(Step::Receive, true))?;
        let length = declared(&head.headers, &self.limits);
        let length = length.map_err(failed(Step::Receive, true))?;
        // A connection may fall silent in the middle of a response too.
        let body = self.reader.body(length, &self.limits, timeout).await;
        let body = body.map_err(failed(Step::Receive, true))?;
        let close = head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|it| it == "close");
        let response = Response {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((response, !close))
    }
}

/// Encodes a request. Fails if what would be sent is not what `request` says.
fn encode(request: Request) -> Result<Message, Fault> {
    if request.invalid_header.is_some() {
        return Err(Fault::Unencodable);
    }
    let target = match &request.query {
        Some(query) => format!("{}?{query}", request.path),
        None => request.path,
    };
    // The parser drops a fragment without an error.
    let parsed = PathAndQuery::try_from(target.as_str()).ok();
    let parsed = parsed.filter(|it| target.starts_with('/') && it.as_str() == target);
    let mut message = ::http::Request::new(payload(request.body));
    *message.method_mut() = request.method;
    *message.uri_mut() = Uri::from(parsed.ok_or(Fault::Unencodable)?);
    *message.headers_mut() = request.headers;
    // Makes the codec write a length for requests without a body too.
    message
        .headers_mut()
        .entry(header::CONTENT_LENGTH)
        .or_insert(HeaderValue::from_static("0"));
    Ok(message)
}
