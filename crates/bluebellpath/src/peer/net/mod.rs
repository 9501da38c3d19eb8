/*!
Network between entry instances over real sockets.

Heartbeats are UDP datagrams, calls use TCP to the same address. All calls to
one peer share one connection, owned by one task on each side. Replies arrive
in any order. The error of a failed call tells whether the peer may have
executed it: either nothing was written ([`Fault::NotSent`](super::Fault)) or
something may have been ([`Fault::Unknown`](super::Fault)).
*/

mod config;
mod incoming;
mod outgoing;
mod wire;

pub use config::Config;

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath_runtime::{LocalFuture, clock, spawn};
use futures_channel::oneshot;
use monoio::net::{TcpListener, udp::UdpSocket};

use self::outgoing::{Call, Failure, Outgoing};
use super::{Datagram, Error, Fault, Handler, Key, Link, Reply, Request, Step, frame};

/// Time added to a job's deadline for the transfer of its answer.
const REPLY_MARGIN: Duration = Duration::from_secs(1);

/// Pause after a failed receive of a datagram.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Network between entry instances over real sockets.
pub struct Net {
    address: SocketAddr,
    key: Key,
    config: Config,
    sender: std::net::UdpSocket,
    receiver: UdpSocket,
    listener: Rc<TcpListener>,
    outgoing: RefCell<BTreeMap<SocketAddr, Rc<Outgoing>>>,
}

impl Net {
    /// Binds `address` for datagrams and connections.
    pub fn bind(address: SocketAddr, key: Key, config: Config) -> io::Result<Net> {
        let listener = TcpListener::bind(address)?;
        // With port 0 the system picks a port, and datagrams must use the same one.
        let address = listener.local_addr()?;
        let sender = std::net::UdpSocket::bind(address)?;
        sender.set_nonblocking(true)?;
        let receiver = UdpSocket::from_std(sender.try_clone()?)?;
        Ok(Net {
            address,
            key,
            config,
            sender,
            receiver,
            listener: Rc::new(listener),
            outgoing: RefCell::default(),
        })
    }

    /// Local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn perform_call(&self, to: SocketAddr, request: Request) -> Result<Reply, Failure> {
        let timeout = self.reply_timeout(&request);
        let request = wire::encode(&request, self.config.message_bytes)
            .map_err(|it| not_sent(Step::Send, it.to_string()))?;
        let (reply, result) = oneshot::channel();
        let outgoing = self.connection(to);
        let Some(_permit) = outgoing.acquire(self.config.calls) else {
            let detail = "too many calls wait for this peer".to_owned();
            return Err(not_sent(Step::Connect, detail));
        };
        let enqueued = outgoing.enqueue(Call { request, reply });
        if enqueued.is_err() {
            return Err(not_sent(Step::Connect, "connection closed".to_owned()));
        }
        // If the connection's task ended without a result, it may have sent bytes.
        let unknown = |detail: &str| Failure {
            step: Step::Receive,
            fault: Fault::Unknown,
            detail: detail.to_owned(),
        };
        match clock::timeout(timeout, result).await {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(unknown("connection closed")),
            None => Err(unknown("timed out")),
        }
    }

    fn connection(&self, to: SocketAddr) -> Rc<Outgoing> {
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.retain(|_, it| it.is_open());
        let create = || Rc::new(Outgoing::new(to, self.key, self.config));
        outgoing.entry(to).or_insert_with(create).clone()
    }

    fn reply_timeout(&self, request: &Request) -> Duration {
        match request {
            Request::Submit { submission, .. } => {
                let deadline = Duration::from_millis(submission.deadline_ms);
                deadline.saturating_add(REPLY_MARGIN).min(self.config.call)
            }
            _ => self.config.call,
        }
    }
}

fn not_sent(step: Step, detail: String) -> Failure {
    Failure {
        step,
        fault: Fault::NotSent,
        detail,
    }
}

impl Link for Net {
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // Senders expect the loss of datagrams, so errors are ignored.
        let _ = self.sender.send_to(bytes, to);
    }

    fn receive(&self) -> LocalFuture<'_, Datagram> {
        Box::pin(async move {
            loop {
                // One byte more than the maximum, so that oversized datagrams are detected.
                let buffer = vec![0; frame::MAX_BYTES + 1];
                let (received, mut bytes) = self.receiver.recv_from(buffer).await;
                if let Ok((length, from)) = received {
                    bytes.truncate(length);
                    return Datagram { from, bytes };
                }
                clock::sleep(RECEIVE_RETRY_PAUSE).await;
            }
        })
    }

    fn call(&self, to: SocketAddr, request: Request) -> LocalFuture<'_, Result<Reply, Error>> {
        Box::pin(async move {
            let result = self.perform_call(to, request).await;
            result.map_err(|it| Error {
                step: it.step,
                peer: to,
                fault: it.fault,
                detail: it.detail,
            })
        })
    }

    fn serve(&self, handler: Rc<dyn Handler>) {
        let listener = self.listener.clone();
        let accepting = incoming::accept(listener, self.key, self.config, handler);
        drop(spawn(accepting));
    }
}
