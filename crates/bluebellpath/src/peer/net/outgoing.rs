//! Calling side of a connection.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::messages::ClockReading;
use bluebellpath_runtime::{Instant, Notify, clock, spawn};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::select as select_streams,
};
use monoio::{io::Splitable, net::TcpStream};

use super::{
    Config,
    wire::{self, CallerMessage, Reader, ServerMessage, Side, Writer},
};
use crate::peer::{Fault, Key, Reply, Step};

/// Read timeout of a connection; the idle limit closes it long before.
const READ_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Error of a failed call.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) step: Step,
    pub(super) fault: Fault,
    pub(super) detail: String,
}

type CallResult = Result<Reply, Failure>;

/// Call that waits to be written.
pub(super) struct Call {
    /// Encoded request without its number.
    pub(super) request: Vec<u8>,
    pub(super) reply: oneshot::Sender<CallResult>,
}

/// Connection to one peer, opened with the first call.
pub(super) struct Outgoing {
    calls: mpsc::UnboundedSender<Call>,
    pending: Rc<Cell<usize>>,
}

/// Counts a pending call until it is dropped.
pub(super) struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Outgoing {
    /// Opens a connection to `peer`, owned by its own task.
    pub(super) fn new(peer: SocketAddr, key: Key, config: Config) -> Outgoing {
        let (calls, queue) = mpsc::unbounded();
        drop(spawn(run(peer, key, config, queue)));
        let pending = Rc::default();
        Outgoing { calls, pending }
    }

    /// True while calls may still be queued.
    pub(super) fn is_open(&self) -> bool {
        !self.calls.is_closed()
    }

    /// Queues a call; returns it if the connection has ended.
    pub(super) fn enqueue(&self, call: Call) -> Result<(), Call> {
        let enqueued = self.calls.unbounded_send(call);
        enqueued.map_err(|it| it.into_inner())
    }

    /// Permit for one of at most `limit` pending calls.
    pub(super) fn acquire(&self, limit: usize) -> Option<Permit> {
        if self.pending.get() >= limit {
            return None;
        }
        self.pending.set(self.pending.get() + 1);
        Some(Permit(self.pending.clone()))
    }
}

async fn run(peer: SocketAddr, key: Key, config: Config, mut queue: mpsc::UnboundedReceiver<Call>) {
    let pending = Pending::default();
    let ended = match connect(peer, &key, &config).await {
        Ok((stream, session)) => transfer(stream, session, &config, &mut queue, &pending).await,
        Err(fault) => fault,
    };
    // Calls that are still queued were never written.
    queue.close();
    while let Ok(call) = queue.try_recv() {
        let failure = Failure {
            step: Step::Connect,
            fault: Fault::NotSent,
            detail: ended.to_string(),
        };
        // The caller may have stopped waiting, here and below.
        let _ = call.reply.send(Err(failure));
    }
    pending.fail(ended);
}

async fn connect(
    peer: SocketAddr,
    key: &Key,
    config: &Config,
) -> Result<(TcpStream, Key), wire::Fault> {
    let connecting = clock::timeout(config.connect, TcpStream::connect_addr(peer));
    let connected = connecting.await.ok_or(wire::Fault::TimedOut)?;
    let mut stream = connected.map_err(|_| wire::Fault::Closed)?;
    // Without it a small message waits for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let session = wire::handshake(&mut stream, Side::Caller, key, config.connect).await?;
    Ok((stream, session))
}

/// Transfers calls and replies until the connection ends; returns the reason.
async fn transfer(
    stream: TcpStream,
    session: Key,
    config: &Config,
    queue: &mut mpsc::UnboundedReceiver<Call>,
    pending: &Pending,
) -> wire::Fault {
    let (probe_sender, probe_requests) = mpsc::unbounded();
    let (read, write) = stream.into_split();
    let mut writer = Writer::new(write, session, Side::Caller, config.message);
    let limits = (config.message, config.message_bytes);
    let mut reader = Reader::new(read, session, Side::Caller, limits.0, limits.1);
    let writing = async {
        // `Some` is a call, `None` is a probe.
        let calls = queue.map(Some);
        let mut outgoing = select_streams(calls, probe_requests.map(|()| None));
        while let Some(item) = outgoing.next().await {
            let message = match item {
                Some(call) => pending.add(call),
                None => {
                    let probe = CallerMessage::Probe(pending.server_clocks());
                    match wire::encode(&probe, config.message_bytes) {
                        Ok(probe) => probe,
                        Err(fault) => return fault,
                    }
                }
            };
            if let Err(fault) = writer.write(message).await {
                return fault;
            }
        }
        wire::Fault::Closed
    };
    let reading = async {
        loop {
            let message = reader.read(READ_TIMEOUT).await;
            pending.last_received.set(clock::now());
            match message {
                Ok(ServerMessage::Reply(number, reply)) => pending.answer(number, reply),
                Ok(ServerMessage::Alive(clocks)) => {
                    pending.alive.set(Some((clocks, clock::now())));
                }
                Err(fault) => return fault,
            }
        }
    };
    let transferring = async {
        let (writing, reading) = (std::pin::pin!(writing), std::pin::pin!(reading));
        let ended = select(writing, reading).await;
        ended.factor_first().0
    };
    let idle = wait_until_idle(pending, config.idle);
    let silent = wait_until_silent(pending, config, probe_sender);
    let timing_out = async {
        select(std::pin::pin!(idle), std::pin::pin!(silent)).await;
    };
    match select(std::pin::pin!(transferring), std::pin::pin!(timing_out)).await {
        Either::Left((fault, _)) => fault,
        Either::Right(_) => wire::Fault::TimedOut,
    }
}

/// Returns when calls are pending and nothing, not even the reply to a probe, was
/// received for [`Config::silence`].
///
/// A connection may fail without being closed while the peer is still alive and
/// its heartbeats arrive. A probe is also sent at least once per twice
/// [`Config::probe`], by which the server knows that the caller still waits.
async fn wait_until_silent(
    pending: &Pending,
    config: &Config,
    probe_sender: mpsc::UnboundedSender<()>,
) {
    loop {
        let call_added = pending.call_added.notified();
        if pending.replies.borrow().is_empty() {
            call_added.await;
            continue;
        }
        let since = pending.silent_since();
        let probe_at = (since + config.probe).min(pending.last_probe.get() + config.probe * 2);
        if clock::now() < probe_at {
            clock::sleep_until(probe_at).await;
            continue;
        }
        pending.last_probe.set(clock::now());
        // The writing half may already have ended.
        let _ = probe_sender.unbounded_send(());
        if clock::now() < since + config.probe {
            continue;
        }
        clock::sleep_until(since + config.silence).await;
        if !pending.replies.borrow().is_empty() && pending.silent_since() == since {
            return;
        }
    }
}

/// Returns when no call was made and none was pending for `limit`.
async fn wait_until_idle(pending: &Pending, limit: Duration) {
    loop {
        let seen = pending.next_number.get();
        clock::sleep(limit).await;
        if pending.next_number.get() == seen && pending.replies.borrow().is_empty() {
            return;
        }
    }
}

/// Calls that were at least partly written and wait for replies.
#[derive(Default)]
struct Pending {
    next_number: Cell<u64>,
    /// Time at which the last message was received.
    last_received: Cell<Instant>,
    /// Time at which the last probe was sent.
    last_probe: Cell<Instant>,
    /// Clocks of the server in the last reply to a probe, and when it was received.
    alive: Cell<Option<(ClockReading, Instant)>>,
    /// Time at which the first call was added to an empty set of pending calls.
    pending_since: Cell<Instant>,
    call_added: Notify,
    replies: RefCell<BTreeMap<u64, oneshot::Sender<CallResult>>>,
}

impl Pending {
    /// Assigns a number to a call and encodes it.
    fn add(&self, call: Call) -> Vec<u8> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mut replies = self.replies.borrow_mut();
        if replies.is_empty() {
            self.pending_since.set(clock::now());
        }
        replies.insert(number, call.reply);
        self.call_added.notify();
        wire::encode_call(number, &call.request)
    }

    /// Least that the clocks of the server can show now.
    fn server_clocks(&self) -> ClockReading {
        let alive = self.alive.get();
        alive.map_or_else(ClockReading::default, |(clocks, received_at)| {
            clocks.after(clock::now() - received_at)
        })
    }

    /// Start of the current silence while calls are pending.
    fn silent_since(&self) -> Instant {
        self.last_received.get().max(self.pending_since.get())
    }

    fn answer(&self, number: u64, reply: Reply) {
        if let Some(waiting) = self.replies.borrow_mut().remove(&number) {
            let _ = waiting.send(Ok(reply));
        }
    }

    fn fail(&self, ended: wire::Fault) {
        for (_, reply) in self.replies.take() {
            let failure = Failure {
                step: Step::Receive,
                fault: Fault::Unknown,
                detail: ended.to_string(),
            };
            let _ = reply.send(Err(failure));
        }
    }
}
