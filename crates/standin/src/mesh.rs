//! The way between entry instances of a fleet, in memory, with cuts and resets.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    membership::{CallError, Heartbeat, Reply, Request, Transport},
    messages::ClockReading,
    node::Node,
    permission::Contact,
};
use bluebellpath_runtime::{Instant, LocalFuture, Notify, Scope, clock};
use futures_util::future::{Either, select};

/// One way between two instances.
const WAY: Duration = Duration::from_micros(500);

/// Silence of a connection after which its caller gives it up.
const CALLER_TIMEOUT: Duration = Duration::from_millis(400);

/// Silence of a connection after which its server gives it up.
const SERVER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two probes of a connection with calls.
const PROBE: Duration = Duration::from_millis(150);

/// Time between two tries of what a cut holds up.
const RESEND: Duration = Duration::from_millis(200);

/// Longest backlog of a link with limited bandwidth that takes datagrams.
const DATAGRAM_QUEUE: Duration = Duration::from_millis(200);

/// Bytes of a message on a link besides what it carries.
const MESSAGE_BYTES: usize = 200;

/// Longest time after which a request that a cut holds up still arrives.
const HELD_UP: Duration = Duration::from_secs(20);

/// Instances that reach each other.
#[derive(Clone, Default)]
pub struct Mesh(Rc<Inner>);

#[derive(Default)]
struct Inner {
    nodes: RefCell<BTreeMap<SocketAddr, (Rc<Node>, Scope)>>,
    cuts: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    cuts_changed: Notify,
    /// Cuts that reset and refuse connections.
    refusing: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    silent: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    unheard: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    /// Connections that fell silent, with the time at which their callers give
    /// them up, once there is a call.
    stalled: RefCell<BTreeMap<(SocketAddr, SocketAddr), Option<Instant>>>,
    stall: Notify,
    reset: Notify,
    /// Number of resets of all connections.
    resets: Cell<u64>,
    connections: RefCell<BTreeMap<(SocketAddr, SocketAddr), Connection>>,
    /// Bytes that the link of each instance sends in a second; 0 for no limit.
    bandwidth: Cell<u64>,
    /// Times until which the links are busy.
    busy_until: RefCell<BTreeMap<SocketAddr, Instant>>,
    calls: Cell<u64>,
    heartbeats: Cell<u64>,
}

/// Connection from one instance to another, for as long as calls are under way.
#[derive(Clone)]
struct Connection {
    /// Contact of the receiver to the caller.
    contact: Contact,
    calls: Rc<Cell<usize>>,
}

/// Counts a call until it is dropped.
struct CallCount(Rc<Cell<usize>>);

impl Drop for CallCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What one instance sees of the mesh.
pub struct Side {
    mesh: Mesh,
    own: SocketAddr,
}

impl Mesh {
    /// Side of the instance at `own`.
    pub fn side(&self, own: SocketAddr) -> Side {
        Side {
            mesh: self.clone(),
            own,
        }
    }

    /// Lets an instance be reached, whose tasks are in `scope`.
    pub fn join(&self, address: SocketAddr, node: Rc<Node>, scope: Scope) {
        self.0.nodes.borrow_mut().insert(address, (node, scope));
        let mut connections = self.0.connections.borrow_mut();
        connections.retain(|it, _| it.0 != address && it.1 != address);
    }

    /// Connection from `from` to `to`, which is made if there is none.
    fn connection(&self, from: SocketAddr, to: SocketAddr) -> Connection {
        let mut connections = self.0.connections.borrow_mut();
        if let Some(connection) = connections.get(&(from, to)) {
            return connection.clone();
        }
        let connection = Connection {
            contact: Contact::default(),
            calls: Rc::default(),
        };
        connections.insert((from, to), connection.clone());
        let caller = self.0.nodes.borrow().get(&from).map(|it| it.1.clone());
        if let Some(caller) = caller {
            drop(caller.spawn(probe(self.clone(), (from, to), connection.clone())));
        }
        connection
    }

    /// Ends all connections; the next calls make new ones.
    fn disconnect(&self) {
        self.0.connections.borrow_mut().clear();
    }

    fn is_open(&self, pair: (SocketAddr, SocketAddr), connection: &Connection) -> bool {
        let connections = self.0.connections.borrow();
        let current = connections.get(&pair);
        current.is_some_and(|it| Rc::ptr_eq(&it.calls, &connection.calls))
    }

    fn is_silent(&self, pair: (SocketAddr, SocketAddr)) -> bool {
        self.0.silent.borrow().contains(&pair) || self.0.stalled.borrow().contains_key(&pair)
    }

    /// Cuts two instances off from each other, or heals.
    pub fn cut(&self, a: SocketAddr, b: SocketAddr, cut: bool) {
        self.cut_one_way(a, b, cut);
        self.cut_one_way(b, a, cut);
    }

    /// Loses what one instance sends to another, or heals.
    pub fn cut_one_way(&self, from: SocketAddr, to: SocketAddr, cut: bool) {
        let mut cuts = self.0.cuts.borrow_mut();
        match cut {
            true => cuts.insert((from, to)),
            false => cuts.remove(&(from, to)),
        };
        self.0.cuts_changed.notify();
    }

    /// Waits until one of these ways has been cut for `limit` without a break.
    async fn until_silent(&self, ways: &[(SocketAddr, SocketAddr)], limit: Duration) {
        let is_any_cut = || ways.iter().any(|(from, to)| self.is_cut(*from, *to));
        loop {
            while !is_any_cut() {
                self.0.cuts_changed.notified().await;
            }
            let healed = async {
                while is_any_cut() {
                    self.0.cuts_changed.notified().await;
                }
            };
            if clock::timeout(limit, healed).await.is_none() {
                return;
            }
        }
    }

    /// Cuts two instances off from each other, or heals. The connections between them are
    /// reset, and new ones refused.
    pub fn refuse(&self, a: SocketAddr, b: SocketAddr, cut: bool) {
        self.cut(a, b, cut);
        for pair in [(a, b), (b, a)] {
            self.0.connections.borrow_mut().remove(&pair);
            let mut refusing = self.0.refusing.borrow_mut();
            match cut {
                true => refusing.insert(pair),
                false => refusing.remove(&pair),
            };
        }
        self.0.reset.notify();
    }

    /// Waits until the connections of a pair are reset.
    async fn until_reset(&self, pair: (SocketAddr, SocketAddr)) {
        let resets = self.0.resets.get();
        while self.0.resets.get() == resets && !self.0.refusing.borrow().contains(&pair) {
            self.0.reset.notified().await;
        }
    }

    /// Loses all calls from one instance to another from now on, as a connection
    /// does that fell silent; beacons still come.
    pub fn silence(&self, from: SocketAddr, to: SocketAddr) {
        self.0.silent.borrow_mut().insert((from, to));
    }

    /// Loses all heartbeats from one instance to another from now on.
    pub fn drop_heartbeats(&self, from: SocketAddr, to: SocketAddr) {
        self.0.unheard.borrow_mut().insert((from, to));
    }

    /// Limits the link of each instance to so many bytes a second.
    pub fn limit_links(&self, bytes_per_second: u64) {
        self.0.bandwidth.set(bytes_per_second);
    }

    /// Keeps the link of an instance busy for `duration`.
    pub fn fill_link(&self, address: SocketAddr, duration: Duration) {
        let mut busy_until = self.0.busy_until.borrow_mut();
        busy_until.insert(address, clock::now() + duration);
    }

    /// Occupies the link of the sender, and returns the time that the message waits.
    fn occupy_link(&self, from: SocketAddr, bytes: usize) -> Duration {
        let rate = self.0.bandwidth.get();
        if rate == 0 {
            return Duration::ZERO;
        }
        let now = clock::now();
        let mut busy_until = self.0.busy_until.borrow_mut();
        let busy_until = busy_until.entry(from).or_insert(now);
        let nanos = bytes as u64 * 1_000_000_000 / rate;
        *busy_until = (*busy_until).max(now) + Duration::from_nanos(nanos);
        *busy_until - now
    }

    fn link_backlog(&self, from: SocketAddr) -> Duration {
        let busy_until = self.0.busy_until.borrow();
        busy_until
            .get(&from)
            .map_or(Duration::ZERO, |it| *it - clock::now())
    }

    /// Lets all connections fall silent. Messages on them are lost, callers give
    /// them up after [`CALLER_TIMEOUT`] and servers after [`SERVER_TIMEOUT`].
    pub fn stall(&self) {
        let nodes: Vec<SocketAddr> = self.0.nodes.borrow().keys().copied().collect();
        let pairs = nodes.iter().flat_map(|a| nodes.iter().map(|b| (*a, *b)));
        let stalled = pairs.map(|it| (it, None));
        self.0.stalled.borrow_mut().extend(stalled);
        self.disconnect();
        self.0.stall.notify();
    }

    /// Waits until the caller gives up its stalled connection. Returns false at
    /// once if the connection works.
    async fn stalled(&self, pair: (SocketAddr, SocketAddr)) -> bool {
        let given_up_at = match self.0.stalled.borrow_mut().get_mut(&pair) {
            Some(given_up_at) => *given_up_at.get_or_insert(clock::now() + CALLER_TIMEOUT),
            None => return false,
        };
        clock::sleep_until(given_up_at).await;
        self.0.stalled.borrow_mut().remove(&pair);
        true
    }

    /// Makes all connections that fell silent anew.
    pub fn reconnect(&self) {
        self.0.silent.borrow_mut().clear();
    }

    /// Resets all connections between instances.
    pub fn reset(&self) {
        self.disconnect();
        self.0.resets.set(self.0.resets.get() + 1);
        self.0.reset.notify();
    }

    /// Heartbeats sent so far.
    pub fn heartbeats(&self) -> u64 {
        self.0.heartbeats.get()
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.0.calls.get()
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.0.cuts.borrow().contains(&(from, to))
    }

    /// Delivers a request after the cut, as a connection that outlives it does.
    fn hold_up(&self, from: SocketAddr, to: SocketAddr, request: Request) {
        let mesh = self.clone();
        drop(Scope::new().spawn(async move {
            let end = clock::now() + HELD_UP;
            while mesh.is_cut(from, to) && clock::now() < end {
                clock::sleep(RESEND).await;
            }
            if let Some((node, scope)) = mesh.peer(from, to) {
                let contact = Contact::default();
                drop(scope.spawn(async move { node.handle_request(request, &contact).await }));
            }
        }));
    }

    fn peer(&self, from: SocketAddr, to: SocketAddr) -> Option<(Rc<Node>, Scope)> {
        if self.is_cut(from, to) {
            return None;
        }
        let peer = self.0.nodes.borrow().get(&to).cloned();
        peer.filter(|(_, scope)| scope.is_alive())
    }
}

impl Transport for Side {
    fn send_heartbeat(&self, to: &[SocketAddr], heartbeat: &Heartbeat) {
        for to in to {
            self.send_one(*to, heartbeat);
        }
    }

    fn call(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> LocalFuture<'static, Result<Reply, CallError>> {
        self.call_one(to, request)
    }
}

impl Side {
    fn send_one(&self, to: SocketAddr, heartbeat: &Heartbeat) {
        let sent = &self.mesh.0.heartbeats;
        sent.set(sent.get() + 1);
        if self.mesh.0.unheard.borrow().contains(&(self.own, to)) {
            return;
        }
        let (mesh, own, heartbeat) = (self.mesh.clone(), self.own, heartbeat.clone());
        if mesh.link_backlog(own) > DATAGRAM_QUEUE {
            return;
        }
        let targets = heartbeat.target_short_ids.len();
        let wait = mesh.occupy_link(own, MESSAGE_BYTES + 8 * targets);
        drop(Scope::new().spawn(async move {
            clock::sleep(WAY + wait).await;
            if let Some((node, scope)) = mesh.peer(own, to) {
                drop(scope.spawn(async move { node.receive_heartbeat(heartbeat) }));
            }
        }));
    }

    fn call_one(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> LocalFuture<'static, Result<Reply, CallError>> {
        let (mesh, own) = (self.mesh.clone(), self.own);
        mesh.0.calls.set(mesh.0.calls.get() + 1);
        let wait = mesh.occupy_link(own, bytes_of(&request));
        Box::pin(async move {
            clock::sleep(WAY + wait).await;
            if mesh.0.refusing.borrow().contains(&(own, to)) {
                return Err(CallError::NotSent);
            }
            if mesh.is_cut(own, to) {
                mesh.hold_up(own, to, request);
                clock::sleep(CALLER_TIMEOUT).await;
                return Err(CallError::Unknown);
            }
            if mesh.0.silent.borrow().contains(&(own, to)) {
                future::pending::<()>().await;
            }
            if mesh.stalled((own, to)).await {
                return Err(CallError::Unknown);
            }
            let Some((node, scope)) = mesh.peer(own, to) else {
                return Err(CallError::NotSent);
            };
            let connection = mesh.connection(own, to);
            let contact = connection.contact.clone();
            connection.calls.set(connection.calls.get() + 1);
            let _call = CallCount(connection.calls);
            let stall = mesh.0.stall.notified();
            let reset = mesh.until_reset((own, to));
            let (inner, dropped) = (mesh.clone(), Rc::new(Notify::new()));
            let caller = Hangup(dropped.clone());
            // The receiver drops the call when its connection ends, as daemons do.
            let reply = scope.spawn(async move {
                let handling = node.handle_request(request, &contact);
                let ends = async {
                    let reset = pin!(inner.until_reset((own, to)));
                    let ways = [(own, to)];
                    let silent = pin!(inner.until_silent(&ways, SERVER_TIMEOUT));
                    select(reset, select(silent, pin!(dropped.notified()))).await;
                };
                match select(handling, pin!(ends)).await {
                    Either::Left((reply, _)) => Some(reply),
                    Either::Right(_) => None,
                }
            });
            let ways = [(own, to), (to, own)];
            let (reset, stall) = (pin!(reset), pin!(stall));
            let silent = pin!(mesh.until_silent(&ways, CALLER_TIMEOUT));
            let reply = match select(reply, select(select(reset, silent), stall)).await {
                Either::Left((reply, _)) => reply.flatten(),
                Either::Right((Either::Left((Either::Left(_), _)), _)) => None,
                Either::Right((Either::Left((Either::Right(_), _)), _)) => {
                    if mesh.is_cut(own, to) {
                        // The server does not learn of the end of the connection.
                        drop(Scope::new().spawn(async move {
                            clock::sleep(SERVER_TIMEOUT - CALLER_TIMEOUT).await;
                            drop(caller);
                        }));
                    }
                    return Err(CallError::Unknown);
                }
                Either::Right((Either::Right(_), _)) => {
                    drop(Scope::new().spawn(async move {
                        clock::sleep(SERVER_TIMEOUT).await;
                        drop(caller);
                    }));
                    mesh.stalled((own, to)).await;
                    return Err(CallError::Unknown);
                }
            };
            clock::sleep(WAY + mesh.occupy_link(to, MESSAGE_BYTES)).await;
            let cut = mesh.is_cut(to, own);
            match reply {
                Some(reply) if !cut => Ok(reply),
                _ => Err(CallError::Unknown),
            }
        })
    }
}

/// Probes a connection as long as calls are under way. A probe tells the receiver the
/// least that its clocks can show.
async fn probe(mesh: Mesh, pair: (SocketAddr, SocketAddr), connection: Connection) {
    let alive: Rc<Cell<Option<(ClockReading, Instant)>>> = Rc::default();
    loop {
        clock::sleep(PROBE).await;
        if !mesh.is_open(pair, &connection) {
            return;
        }
        if connection.calls.get() == 0 {
            mesh.0.connections.borrow_mut().remove(&pair);
            return;
        }
        let receiver = mesh.peer(pair.0, pair.1).filter(|_| !mesh.is_silent(pair));
        let Some((_, receiver)) = receiver else {
            continue;
        };
        let (mesh, contact) = (mesh.clone(), connection.contact.clone());
        let known = alive.get();
        let clocks = known.map(|(clocks, received_at)| clocks.after(clock::now() - received_at));
        let alive = alive.clone();
        drop(receiver.spawn(async move {
            clock::sleep(WAY).await;
            contact.confirm(clocks.unwrap_or_default());
            if !mesh.is_cut(pair.1, pair.0) {
                alive.set(Some((ClockReading::now(), clock::now() + WAY)));
            }
        }));
    }
}

/// Bytes of a request on a link.
fn bytes_of(request: &Request) -> usize {
    let content = match request {
        Request::Run(it) => it.spec.len() + 4 * it.eligible_targets.len(),
        Request::Claim {
            run_request,
            short_ids,
        } => run_request.spec.len() + 8 * short_ids.len(),
        _ => 0,
    };
    MESSAGE_BYTES + content
}

/// Ends a call at its receiver once the caller is gone.
struct Hangup(Rc<Notify>);

impl Drop for Hangup {
    fn drop(&mut self) {
        self.0.notify();
    }
}
