//! Calls and datagrams between instances over loopback sockets.

use std::{
    cell::{Cell, RefCell},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bluebellpath::{
    job::{Id, Ticket},
    peer::{Contact, Fault, Handler, Key, Link, Net, Reply, Request, Step, net},
};
use bluebellpath_fleet::{JobId, membership};
use bluebellpath_runtime::{LocalFuture, Scope, clock, runtime, spawn};
use futures_util::future::join_all;

fn bind(secret: &str) -> Rc<Net> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = net::Config {
        call: Duration::from_millis(500),
        idle: Duration::from_millis(200),
        ..net::Config::default()
    };
    Rc::new(Net::bind(address, Key::new(secret), config).expect("loopback"))
}

fn fetch(text: &str) -> Request {
    let id: Id = text.parse().expect("valid");
    Request::Fetch { id, hops: 0 }
}

/// Answers after the milliseconds in the id's text.
#[derive(Default)]
struct Delays {
    handled: Rc<RefCell<Vec<String>>>,
}

impl Handler for Delays {
    fn handle(&self, request: Request, _: &Contact) -> LocalFuture<'static, Reply> {
        let Request::Fetch { id, .. } = request else {
            return Box::pin(async { Reply::NotOwner });
        };
        let text = id.to_string();
        self.handled.borrow_mut().push(text.clone());
        Box::pin(async move {
            let delay_ms = text.parse().unwrap_or(0);
            clock::sleep(Duration::from_millis(delay_ms)).await;
            match delay_ms % 2 {
                0 => Reply::Missing,
                _ => Reply::NotOwner,
            }
        })
    }
}

#[test]
fn calls_share_a_connection_and_replies_find_their_calls() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("key"));
        server.serve(Rc::new(Delays::default()));
        let calls = (0..50).rev().map(|it| {
            let client = client.clone();
            let to = server.address();
            async move { client.call(to, fetch(&it.to_string())).await }
        });
        let replies = join_all(calls).await;
        for (index, reply) in replies.into_iter().enumerate() {
            let wanted = match (49 - index) % 2 {
                0 => Reply::Missing,
                _ => Reply::NotOwner,
            };
            assert_eq!(reply.expect("served"), wanted);
        }
        // Past the idle limit a fresh connection is made.
        clock::sleep(Duration::from_millis(500)).await;
        let again = client.call(server.address(), fetch("0")).await;
        assert_eq!(again.expect("served"), Reply::Missing);
    });
}

#[test]
fn nobody_listens_is_not_sent() {
    runtime::block_on(async {
        let client = bind("key");
        let gone = {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
            listener.local_addr().expect("bound")
        };
        let error = client.call(gone, fetch("0")).await.expect_err("closed");
        assert_eq!((error.step, error.fault), (Step::Connect, Fault::NotSent));
    });
}

#[test]
fn another_key_is_not_sent_and_not_served() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("other key"));
        let delays = Delays::default();
        let handled = delays.handled.clone();
        server.serve(Rc::new(delays));
        let error = client.call(server.address(), fetch("0")).await;
        assert_eq!(error.expect_err("refused").fault, Fault::NotSent);
        assert!(handled.borrow().is_empty());
    });
}

#[test]
fn no_reply_in_time_is_unknown() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("key"));
        server.serve(Rc::new(Delays::default()));
        let error = client.call(server.address(), fetch("5000")).await;
        let error = error.expect_err("too slow");
        assert_eq!((error.step, error.fault), (Step::Receive, Fault::Unknown));
    });
}

#[test]
fn a_peer_that_dies_leaves_its_calls_unknown_at_once() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("key"));
        let (scope, to) = (Scope::new(), server.address());
        drop(scope.spawn(async move { server.serve(Rc::new(Delays::default())) }));
        let calling = spawn(async move { client.call(to, fetch("5000")).await });
        clock::sleep(Duration::from_millis(100)).await;
        let killed = clock::now();
        scope.kill();
        let error = calling.await.expect("not killed").expect_err("gone");
        assert_eq!(error.fault, Fault::Unknown);
        assert!(clock::now() - killed < Duration::from_millis(300));
    });
}

/// Passes bytes between a caller and a server, and keeps what the caller sent.
fn proxy(server: SocketAddr) -> (SocketAddr, std::thread::JoinHandle<Vec<u8>>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let thread = std::thread::spawn(move || {
        let (mut near, _) = listener.accept().expect("caller");
        let mut far = std::net::TcpStream::connect(server).expect("server");
        let mut back = far.try_clone().expect("clone");
        let mut reply = near.try_clone().expect("clone");
        let answers = std::thread::spawn(move || std::io::copy(&mut back, &mut reply));
        let mut captured = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(length @ 1..) = near.read(&mut buffer) {
            captured.extend_from_slice(&buffer[..length]);
            far.write_all(&buffer[..length]).expect("server");
        }
        drop(far.shutdown(std::net::Shutdown::Both));
        drop(answers.join());
        captured
    });
    (address, thread)
}

/// Passes connections on to a server. Once `muted` is set, those that are open
/// swallow what they get, and later ones work.
fn muting_proxy(server: SocketAddr, muted: &Arc<AtomicBool>) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    let muted = muted.clone();
    std::thread::spawn(move || {
        while let Ok((near, _)) = listener.accept() {
            let far = TcpStream::connect(server).expect("server");
            let born_muted = muted.load(Ordering::SeqCst);
            let clone = |it: &TcpStream| it.try_clone().expect("clone");
            for (from, to) in [(clone(&near), clone(&far)), (far, near)] {
                let muted = muted.clone();
                std::thread::spawn(move || {
                    pass(from, to, || !born_muted && muted.load(Ordering::SeqCst))
                });
            }
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_muted: impl Fn() -> bool) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if !is_muted() && to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
}

#[test]
fn a_silent_connection_is_replaced_and_its_calls_are_unknown() {
    runtime::block_on(async {
        let config = net::Config {
            probe: Duration::from_millis(100),
            silence: Duration::from_millis(400),
            ..net::Config::default()
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let client = Net::bind(address, Key::new("key"), config).expect("loopback");
        let server = bind("key");
        server.serve(Rc::new(Delays::default()));
        let muted = Arc::new(AtomicBool::new(false));
        let proxy = muting_proxy(server.address(), &muted);
        // Longer than the silence: probes are answered.
        let reply = client.call(proxy, fetch("1000")).await;
        assert_eq!(reply.expect("served"), Reply::Missing);
        muted.store(true, Ordering::SeqCst);
        let error = client.call(proxy, fetch("0")).await.expect_err("silent");
        assert_eq!((error.step, error.fault), (Step::Receive, Fault::Unknown));
        let reply = client.call(proxy, fetch("0")).await;
        assert_eq!(reply.expect("a fresh connection"), Reply::Missing);
    });
}

/// Never answers; `abandoned` is set once the call has ended.
struct Endless {
    abandoned: Rc<Cell<bool>>,
}

impl Handler for Endless {
    fn handle(&self, _: Request, _: &Contact) -> LocalFuture<'static, Reply> {
        struct Guard(Rc<Cell<bool>>);
        impl Drop for Guard {
            fn drop(&mut self) {
                self.0.set(true);
            }
        }
        let guard = Guard(self.abandoned.clone());
        Box::pin(async move {
            let _guard = guard;
            std::future::pending().await
        })
    }
}

#[test]
fn a_call_ends_at_its_server_once_the_caller_is_silent() {
    runtime::block_on(async {
        let config = net::Config {
            probe: Duration::from_millis(100),
            silence: Duration::from_millis(300),
            ..net::Config::default()
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let bind = || Rc::new(Net::bind(address, Key::new("key"), config).expect("loopback"));
        let (client, server) = (bind(), bind());
        let abandoned = Rc::new(Cell::new(false));
        server.serve(Rc::new(Endless {
            abandoned: abandoned.clone(),
        }));
        let muted = Arc::new(AtomicBool::new(false));
        let proxy = muting_proxy(server.address(), &muted);
        let request = Request::Fleet(Box::new(membership::Request::Block(JobId(1))));
        let calling = spawn(async move { client.call(proxy, request).await });
        // Longer than the server waits for a probe.
        clock::sleep(Duration::from_millis(1_500)).await;
        assert!(!abandoned.get(), "the caller is alive");
        muted.store(true, Ordering::SeqCst);
        clock::sleep(Duration::from_millis(1_500)).await;
        assert!(abandoned.get(), "the caller is silent");
        let error = calling.await.expect("not killed").expect_err("silent");
        assert_eq!(error.fault, Fault::Unknown);
    });
}

#[test]
fn a_caller_that_stood_still_takes_no_peer_for_silent() {
    let (address, listening) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime::block_on(async {
            let server = bind("key");
            server.serve(Rc::new(Delays::default()));
            address.send(server.address()).expect("a test");
            clock::sleep(Duration::from_secs(10)).await;
        });
    });
    let server = listening.recv().expect("a server");
    runtime::block_on(async {
        let config = net::Config {
            probe: Duration::from_millis(100),
            silence: Duration::from_millis(400),
            ..net::Config::default()
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let client = Rc::new(Net::bind(address, Key::new("key"), config).expect("loopback"));
        for stall_ms in [500, 700, 900] {
            let caller = client.clone();
            let calling = spawn(async move { caller.call(server, fetch("200")).await });
            clock::sleep(Duration::from_millis(50)).await;
            // The reply comes meanwhile.
            std::thread::sleep(Duration::from_millis(stall_ms));
            let reply = calling.await.expect("not killed");
            assert_eq!(reply.expect("served"), Reply::Missing, "{stall_ms}");
        }
    });
}

/// Keeps the contact of the last connection with a call, and never answers.
#[derive(Default)]
struct Watcher {
    contact: Rc<RefCell<Option<Contact>>>,
}

impl Handler for Watcher {
    fn handle(&self, _: Request, contact: &Contact) -> LocalFuture<'static, Reply> {
        self.contact.replace(Some(contact.clone()));
        Box::pin(std::future::pending())
    }
}

/// Guards against a server that resumes and takes the messages that waited in its buffers
/// for a proof that their sender still waits.
#[test]
fn probes_that_waited_do_not_confirm_the_contact() {
    const STANDSTILL: Duration = Duration::from_millis(1_500);
    let config = net::Config {
        probe: Duration::from_millis(100),
        silence: Duration::from_millis(400),
        ..net::Config::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let (send_address, listening) = std::sync::mpsc::channel::<SocketAddr>();
    let caller = std::thread::spawn(move || {
        runtime::block_on(async {
            let client = Net::bind(address, Key::new("key"), config).expect("loopback");
            let server = listening.recv().expect("a server");
            let request = Request::Fleet(Box::new(membership::Request::Block(JobId(1))));
            let calling = client.call(server, request);
            let error = calling.await.expect_err("the server stands still");
            assert_eq!(error.fault, Fault::Unknown);
        });
    });
    runtime::block_on(async move {
        let server = Net::bind(address, Key::new("key"), config).expect("loopback");
        let watcher = Watcher::default();
        let contact = watcher.contact.clone();
        server.serve(Rc::new(watcher));
        send_address.send(server.address()).expect("a caller");
        clock::sleep(Duration::from_millis(1_000)).await;
        let contact = contact.borrow().clone().expect("a call");
        let heard = contact.age();
        assert!(heard < Duration::from_millis(700), "{heard:?} in touch");
        std::thread::sleep(STANDSTILL);
        for _ in 0..10 {
            clock::sleep(Duration::from_millis(5)).await;
            // The caller has probed until it took the server for silent.
            let heard = contact.age();
            assert!(heard > STANDSTILL - config.silence, "{heard:?} afterwards");
        }
    });
    caller.join().expect("no panic");
}

#[test]
fn a_captured_stream_can_not_be_replayed() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("key"));
        let delays = Delays::default();
        let handled = delays.handled.clone();
        server.serve(Rc::new(delays));
        let (address, captured) = proxy(server.address());
        let reply = client.call(address, fetch("0")).await;
        assert_eq!(reply.expect("served"), Reply::Missing);
        clock::sleep(Duration::from_millis(500)).await;
        let captured = captured.join().expect("proxy");
        assert!(captured.len() > 49, "a hello, a proof and a request");
        assert_eq!(handled.borrow().len(), 1);

        let mut replay = std::net::TcpStream::connect(server.address()).expect("server");
        replay.write_all(&captured).expect("server");
        clock::sleep(Duration::from_millis(200)).await;
        assert_eq!(handled.borrow().len(), 1);
    });
}

#[test]
fn noise_closes_the_connection_and_nothing_else() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("key"));
        server.serve(Rc::new(Delays::default()));
        for noise in [&b""[..], &[0; 17], &[1; 17], &[1; 33], &[255; 4_096]] {
            let mut stream = std::net::TcpStream::connect(server.address()).expect("server");
            stream.write_all(noise).expect("server");
        }
        clock::sleep(Duration::from_millis(50)).await;
        let reply = client.call(server.address(), fetch("0")).await;
        assert_eq!(reply.expect("served"), Reply::Missing);
    });
}

#[test]
fn datagrams_arrive_and_large_ones_show_as_large() {
    runtime::block_on(async {
        let (a, b) = (bind("key"), bind("key"));
        a.send(b.address(), b"hello");
        let datagram = b.receive().await;
        assert_eq!(
            (datagram.from, datagram.bytes),
            (a.address(), b"hello".to_vec())
        );
        a.send(b.address(), &[0; 4_000]);
        let datagram = b.receive().await;
        assert!(datagram.bytes.len() > bluebellpath::peer::frame::MAX_BYTES);
    });
}

#[test]
fn tickets_travel_whole() {
    runtime::block_on(async {
        let (client, server) = (bind("key"), bind("key"));
        let delays = Delays::default();
        let handled = delays.handled.clone();
        server.serve(Rc::new(delays));
        let ticket = Ticket {
            domain: bluebellpath::settings::Domain::new(3),
            incarnation: bluebellpath::job::Incarnation::from_u64(u64::MAX),
            counter: 1 << 60,
        };
        let id = Id::Ticket(ticket);
        let reply = client.call(
            server.address(),
            Request::Fetch {
                id: id.clone(),
                hops: 0,
            },
        );
        assert_eq!(reply.await.expect("served"), Reply::Missing);
        assert_eq!(*handled.borrow(), [id.to_string()]);
    });
}

#[test]
fn calls_beyond_the_limit_are_not_sent() {
    runtime::block_on(async {
        let config = net::Config {
            calls: 2,
            call: Duration::from_millis(300),
            ..net::Config::default()
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let client = Rc::new(Net::bind(address, Key::new("key"), config).expect("loopback"));
        let server = bind("key");
        server.serve(Rc::new(Delays::default()));
        let refused = Rc::new(Cell::new(0));
        let calls = (0..5).map(|_| {
            let (client, to, refused) = (client.clone(), server.address(), refused.clone());
            async move {
                let called = client.call(to, fetch("100")).await;
                if called.is_err_and(|it| it.fault == Fault::NotSent) {
                    refused.set(refused.get() + 1);
                }
            }
        });
        join_all(calls).await;
        assert_eq!(refused.get(), 3);
    });
}
