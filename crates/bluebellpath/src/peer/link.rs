//! Interface to the network between entry instances.

use std::net::SocketAddr;

use bluebellpath_fleet::permission::Contact;
use bluebellpath_runtime::LocalFuture;
use derive_more::{Display, Error};

use super::{Reply, Request};

/// Received datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Sender.
    pub from: SocketAddr,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Step of a call that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Establishing a connection.
    #[display("connect")]
    Connect,
    /// Sending the request.
    #[display("send")]
    Send,
    /// Waiting for the reply.
    #[display("receive")]
    Receive,
}

/// Whether a failed call may have had an effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The peer did not receive the request.
    #[display("not sent")]
    NotSent,
    /// The peer may have executed the request.
    #[display("outcome unknown")]
    Unknown,
}

/// Failed call to a peer.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} at peer {peer}: {fault}: {detail}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether the request may have had an effect.
    pub fault: Fault,
    /// Human-readable cause.
    pub detail: String,
}

/// Serves requests of peers.
pub trait Handler {
    /// Handles one request, which came on a connection with `contact`.
    fn handle(&self, request: Request, contact: &Contact) -> LocalFuture<'static, Reply>;
}

/// Network between entry instances.
pub trait Link {
    /// Sends a datagram, which may get lost.
    fn send(&self, to: SocketAddr, bytes: &[u8]);

    /// Waits for the next datagram.
    fn receive(&self) -> LocalFuture<'_, Datagram>;

    /// Sends a request and waits for its reply.
    fn call(&self, to: SocketAddr, request: Request) -> LocalFuture<'_, Result<Reply, Error>>;

    /// Starts to pass requests of peers to `handler`.
    fn serve(&self, handler: std::rc::Rc<dyn Handler>);
}
