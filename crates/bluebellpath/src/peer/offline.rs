//! Link of an instance without peers.

use std::{future::pending, net::SocketAddr, rc::Rc};

use bluebellpath_runtime::LocalFuture;

use super::{Datagram, Error, Fault, Handler, Link, Reply, Request, Step};

/// Link of an instance without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Offline;

impl Link for Offline {
    fn send(&self, _to: SocketAddr, _bytes: &[u8]) {}

    fn receive(&self) -> LocalFuture<'_, Datagram> {
        Box::pin(pending())
    }

    fn call(&self, to: SocketAddr, _request: Request) -> LocalFuture<'_, Result<Reply, Error>> {
        Box::pin(async move {
            Err(Error {
                step: Step::Connect,
                peer: to,
                fault: Fault::NotSent,
                detail: "this instance has no peers".to_owned(),
            })
        })
    }

    fn serve(&self, _handler: Rc<dyn Handler>) {}
}
