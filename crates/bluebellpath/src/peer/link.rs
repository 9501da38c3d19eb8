//! Interface to the network between entry instances.

use std::net::SocketAddr;

use bluebellpath_runtime::LocalFuture;
use derive_more::{Display, Error};

use super::{Reply, Request};

/// Datagram that came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Sender.
    pub from: SocketAddr,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Part of a call that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Getting a connection.
    #[display("connect")]
    Connect,
    /// Sending the request.
    #[display("send")]
    Send,
    /// Waiting for the reply.
    #[display("receive")]
    Receive,
}

/// What is known of a failed call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The peer certainly did not get the request.
    #[display("not sent")]
    NotSent,
    /// The peer may have acted on the request.
    #[display("outcome unknown")]
    Unknown,
}

/// Failed call to a peer.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} at peer {peer}: {fault}: {detail}")]
pub struct Error {
    /// Part that failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// What is known of its effect.
    pub fault: Fault,
    /// Cause, for people.
    pub detail: String,
}

/// Serves requests of peers.
pub trait Handler {
    /// Answers one request.
    fn handle(&self, request: Request) -> LocalFuture<'static, Reply>;
}

/// Network between entry instances.
pub trait Link {
    /// Sends a datagram, which may get lost.
    fn send(&self, to: SocketAddr, bytes: &[u8]);

    /// Waits for the next datagram.
    fn receive(&self) -> LocalFuture<'_, Datagram>;

    /// Makes a request and waits for its reply.
    fn call(&self, to: SocketAddr, request: Request) -> LocalFuture<'_, Result<Reply, Error>>;

    /// Hands requests of peers to `handler` from now on.
    fn serve(&self, handler: std::rc::Rc<dyn Handler>);
}
