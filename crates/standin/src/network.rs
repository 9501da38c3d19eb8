//! Network between entry instances, in memory, with cuts.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bluebellpath::peer::{Contact, Datagram, Error, Fault, Handler, Link, Reply, Request, Step};
use bluebellpath_runtime::{LocalFuture, Notify, Scope, clock};

use crate::dice;

/// Time after which a call over a cut connection is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Port {
    inbox: RefCell<VecDeque<Datagram>>,
    arrived: Notify,
    handler: RefCell<Option<(Rc<dyn Handler>, Scope)>>,
}

#[derive(Default)]
struct Inner {
    ports: RefCell<HashMap<SocketAddr, Rc<Port>>>,
    cuts: RefCell<HashSet<(SocketAddr, SocketAddr)>>,
    silent: RefCell<HashSet<(SocketAddr, SocketAddr)>>,
    one_way: Cell<Duration>,
    jitter: Cell<Duration>,
    seed: Cell<u64>,
    datagrams: Cell<u64>,
    bytes: Cell<u64>,
    calls: Cell<u64>,
    loss_permille: Cell<u32>,
}

/// Network between entry instances; clones share it.
#[derive(Clone, Default)]
pub struct Network(Rc<Inner>);

impl Network {
    /// Network whose messages take `one_way`.
    pub fn new(one_way: Duration) -> Network {
        let network = Network::default();
        network.0.one_way.set(one_way);
        network
    }

    /// Delays each message by up to `jitter` more, picked by `seed`.
    pub fn set_jitter(&self, jitter: Duration, seed: u64) {
        self.0.jitter.set(jitter);
        self.0.seed.set(seed);
    }

    /// Link of the instance at `address`, whose handler runs in `scope`.
    pub fn node(&self, address: SocketAddr, scope: Scope) -> Node {
        // A fresh port: a replaced instance does not get its predecessor's mail.
        let port = Rc::new(Port::default());
        self.0.ports.borrow_mut().insert(address, port.clone());
        Node {
            network: self.clone(),
            address,
            port,
            scope,
        }
    }

    /// Takes the instance at `address` off the network.
    pub fn remove(&self, address: SocketAddr) {
        self.0.ports.borrow_mut().remove(&address);
    }

    /// Cuts the way between `a` and `b`, both ways.
    pub fn cut(&self, a: SocketAddr, b: SocketAddr) {
        self.0.cuts.borrow_mut().extend([(a, b), (b, a)]);
    }

    /// Mends the way between `a` and `b`.
    pub fn mend(&self, a: SocketAddr, b: SocketAddr) {
        let mut cuts = self.0.cuts.borrow_mut();
        cuts.remove(&(a, b));
        cuts.remove(&(b, a));
    }

    /// Loses all calls from one instance to another from now on, as a connection
    /// does that fell silent; datagrams still come.
    pub fn silence(&self, from: SocketAddr, to: SocketAddr) {
        self.0.silent.borrow_mut().insert((from, to));
    }

    /// Loses this share of the datagrams, in thousandths.
    pub fn set_loss_permille(&self, loss_permille: u32) {
        self.0.loss_permille.set(loss_permille);
    }

    /// Hands `bytes` to the instance at `to` as if `from` had sent them.
    pub fn inject(&self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        if let Some(port) = self.port(to) {
            let bytes = bytes.to_vec();
            port.inbox.borrow_mut().push_back(Datagram { from, bytes });
            port.arrived.notify();
        }
    }

    /// True for the datagrams that get lost; the same ones in every run.
    fn loses(&self) -> bool {
        let number = self.0.datagrams.get();
        // Spreads consecutive numbers over all values (Fibonacci hashing).
        let spread = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        spread % 1_000 < u64::from(self.0.loss_permille.get())
    }

    /// Datagrams sent so far.
    pub fn datagrams(&self) -> u64 {
        self.0.datagrams.get()
    }

    /// Bytes in datagrams sent so far.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.get()
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.0.calls.get()
    }

    fn delay(&self) -> Duration {
        let jitter = self.0.jitter.get().as_micros() as u64;
        let more = dice::roll(&self.0.seed, jitter + 1);
        self.0.one_way.get() + Duration::from_micros(more)
    }

    fn is_cut(&self, a: SocketAddr, b: SocketAddr) -> bool {
        self.0.cuts.borrow().contains(&(a, b))
    }

    fn port(&self, address: SocketAddr) -> Option<Rc<Port>> {
        self.0.ports.borrow().get(&address).cloned()
    }
}

/// Link of one instance.
pub struct Node {
    network: Network,
    address: SocketAddr,
    port: Rc<Port>,
    scope: Scope,
}

impl Node {
    fn error(&self, step: Step, peer: SocketAddr, fault: Fault, detail: &str) -> Error {
        Error {
            step,
            peer,
            fault,
            detail: detail.to_owned(),
        }
    }
}

impl Link for Node {
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let (network, from) = (self.network.clone(), self.address);
        network.0.datagrams.set(network.0.datagrams.get() + 1);
        network
            .0
            .bytes
            .set(network.0.bytes.get() + bytes.len() as u64);
        if network.loses() {
            return;
        }
        let datagram = Datagram {
            from,
            bytes: bytes.to_vec(),
        };
        drop(Scope::new().spawn(async move {
            clock::sleep(network.delay()).await;
            if network.is_cut(from, to) {
                return;
            }
            if let Some(port) = network.port(to) {
                port.inbox.borrow_mut().push_back(datagram);
                port.arrived.notify();
            }
        }));
    }

    fn receive(&self) -> LocalFuture<'_, Datagram> {
        Box::pin(async move {
            loop {
                let arrived = self.port.arrived.notified();
                if let Some(datagram) = self.port.inbox.borrow_mut().pop_front() {
                    return datagram;
                }
                arrived.await;
            }
        })
    }

    fn call(&self, to: SocketAddr, request: Request) -> LocalFuture<'_, Result<Reply, Error>> {
        Box::pin(async move {
            let network = &self.network;
            network.0.calls.set(network.0.calls.get() + 1);
            clock::sleep(network.delay()).await;
            if network.0.silent.borrow().contains(&(self.address, to)) {
                clock::sleep(CALL_TIMEOUT).await;
                return Err(self.error(Step::Receive, to, Fault::Unknown, "no reply"));
            }
            let port = network
                .port(to)
                .filter(|_| !network.is_cut(self.address, to));
            let serving = port.and_then(|it| {
                it.handler
                    .borrow()
                    .as_ref()
                    .map(|(handler, scope)| (handler.clone(), scope.clone()))
            });
            let Some((handler, scope)) = serving.filter(|(_, scope)| scope.is_alive()) else {
                let fault = Fault::NotSent;
                return Err(self.error(Step::Connect, to, fault, "no way to this peer"));
            };
            let reply =
                scope.spawn(async move { handler.handle(request, &Contact::default()).await });
            // A peer that dies ends the wait at once, as a reset would; one
            // that is cut off or paused says nothing.
            let Some(reply) = reply.await else {
                return Err(self.error(Step::Receive, to, Fault::Unknown, "peer is gone"));
            };
            clock::sleep(network.delay()).await;
            if network.is_cut(to, self.address) {
                clock::sleep(CALL_TIMEOUT).await;
                return Err(self.error(Step::Receive, to, Fault::Unknown, "no reply"));
            }
            Ok(reply)
        })
    }

    fn serve(&self, handler: Rc<dyn Handler>) {
        *self.port.handler.borrow_mut() = Some((handler, self.scope.clone()));
    }
}
