//! Calling side of a connection.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

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
    wire::{self, Answered, Asked, Reader, Side, Writer},
};
use crate::peer::{Fault, Key, Reply, Step};

/// Longest silence of a connection; the idle limit ends it long before.
const LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Call that failed.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) step: Step,
    pub(super) fault: Fault,
    pub(super) detail: String,
}

type Answer = Result<Reply, Failure>;

/// Call that waits for its turn on a connection.
pub(super) struct Call {
    /// Encoded request without its number.
    pub(super) request: Vec<u8>,
    pub(super) reply: oneshot::Sender<Answer>,
}

/// Connection to one peer, made with the first call.
pub(super) struct Outgoing {
    calls: mpsc::UnboundedSender<Call>,
    waiting: Rc<Cell<usize>>,
}

/// Counts a call while it waits.
pub(super) struct Waiting(Rc<Cell<usize>>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Outgoing {
    /// Connection to `peer`, owned by a task of its own.
    pub(super) fn new(peer: SocketAddr, key: Key, config: Config) -> Outgoing {
        let (calls, queue) = mpsc::unbounded();
        drop(spawn(run(peer, key, config, queue)));
        let waiting = Rc::default();
        Outgoing { calls, waiting }
    }

    /// True while calls may still be queued.
    pub(super) fn is_open(&self) -> bool {
        !self.calls.is_closed()
    }

    /// Queues a call; hands it back when the connection has ended.
    pub(super) fn queue(&self, call: Call) -> Result<(), Call> {
        let queued = self.calls.unbounded_send(call);
        queued.map_err(|it| it.into_inner())
    }

    /// Place among at most `limit` calls that wait.
    pub(super) fn admit(&self, limit: usize) -> Option<Waiting> {
        if self.waiting.get() >= limit {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        Some(Waiting(self.waiting.clone()))
    }
}

async fn run(peer: SocketAddr, key: Key, config: Config, mut queue: mpsc::UnboundedReceiver<Call>) {
    let pending = Pending::default();
    let ended = match connect(peer, &key, &config).await {
        Ok((stream, session)) => exchange(stream, session, &config, &mut queue, &pending).await,
        Err(fault) => fault,
    };
    // A call that was queued in this very moment was never written.
    queue.close();
    while let Ok(call) = queue.try_recv() {
        let failure = Failure {
            step: Step::Connect,
            fault: Fault::NotSent,
            detail: ended.to_string(),
        };
        // Who asked may have stopped waiting, here and below.
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
    // Without this a small message waits for the other side's delayed ack.
    let _ = stream.set_nodelay(true);
    let session = wire::shake(&mut stream, Side::Caller, key, config.connect).await?;
    Ok((stream, session))
}

/// Carries calls until the connection ends, and says why it did.
async fn exchange(
    stream: TcpStream,
    session: Key,
    config: &Config,
    queue: &mut mpsc::UnboundedReceiver<Call>,
    pending: &Pending,
) -> wire::Fault {
    let (prober, probes) = mpsc::unbounded();
    let probe = wire::encode(&Asked::Probe, config.message_bytes);
    let probe = probe.unwrap_or_default();
    let (read, write) = stream.into_split();
    let mut writer = Writer::new(write, session, Side::Caller, config.message);
    let limits = (config.message, config.message_bytes);
    let mut reader = Reader::new(read, session, Side::Caller, limits.0, limits.1);
    let writing = async {
        // A call, or a probe where there is none.
        let calls = queue.map(Some);
        let mut asks = select_streams(calls, probes.map(|()| None));
        while let Some(ask) = asks.next().await {
            let message = match ask {
                Some(call) => pending.add(call),
                None => probe.clone(),
            };
            if let Err(fault) = writer.write(message).await {
                return fault;
            }
        }
        wire::Fault::Closed
    };
    let reading = async {
        loop {
            let message = reader.read(LIFETIME).await;
            pending.heard.set(clock::now());
            match message {
                Ok(Answered::Reply(number, reply)) => pending.answer(number, reply),
                Ok(Answered::Alive) => {}
                Err(fault) => return fault,
            }
        }
    };
    let carrying = async {
        let (writing, reading) = (std::pin::pin!(writing), std::pin::pin!(reading));
        let ended = select(writing, reading).await;
        ended.factor_first().0
    };
    let idle = idle(pending, config.idle);
    let silent = silence(pending, config, prober);
    let over = async {
        select(std::pin::pin!(idle), std::pin::pin!(silent)).await;
    };
    match select(std::pin::pin!(carrying), std::pin::pin!(over)).await {
        Either::Left((fault, _)) => fault,
        Either::Right(_) => wire::Fault::TimedOut,
    }
}

/// Ends once replies have been awaited and nothing was heard, not even the
/// answer to a probe, for [`Config::silence`].
///
/// A connection may fall silent without an end: the other side may still live,
/// and be heard in other ways.
async fn silence(pending: &Pending, config: &Config, prober: mpsc::UnboundedSender<()>) {
    loop {
        let called = pending.called.notified();
        if pending.replies.borrow().is_empty() {
            called.await;
            continue;
        }
        let since = pending.silent_since();
        if clock::now() < since + config.probe {
            clock::sleep_until(since + config.probe).await;
            continue;
        }
        // The writing side ends with the connection.
        let _ = prober.unbounded_send(());
        clock::sleep_until(since + config.silence).await;
        if !pending.replies.borrow().is_empty() && pending.silent_since() == since {
            return;
        }
    }
}

/// Ends once no call was made and none waited for `limit`.
async fn idle(pending: &Pending, limit: Duration) {
    loop {
        let seen = pending.made.get();
        clock::sleep(limit).await;
        if pending.made.get() == seen && pending.replies.borrow().is_empty() {
            return;
        }
    }
}

/// Calls that were written, or begun to be, and wait for replies.
#[derive(Default)]
struct Pending {
    made: Cell<u64>,
    /// When something was last heard.
    heard: Cell<Instant>,
    /// When the first of the calls was written for which replies are awaited.
    awaited: Cell<Instant>,
    called: Notify,
    replies: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
}

impl Pending {
    /// Numbers a call and gives its message.
    fn add(&self, call: Call) -> Vec<u8> {
        let number = self.made.get();
        self.made.set(number + 1);
        let mut replies = self.replies.borrow_mut();
        if replies.is_empty() {
            self.awaited.set(clock::now());
        }
        replies.insert(number, call.reply);
        self.called.notify();
        wire::call(number, &call.request)
    }

    /// Time from which something should have been heard.
    fn silent_since(&self) -> Instant {
        self.heard.get().max(self.awaited.get())
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
