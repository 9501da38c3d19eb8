//! 100,000 bad requests: each answered, nothing leaked.

#[allow(dead_code)]
#[path = "daemon/caller.rs"]
mod caller;
#[allow(dead_code)]
#[path = "daemon/system.rs"]
mod system;

use std::{fs, thread, time::Duration};

use crate::{
    caller::Caller,
    system::{System, settings},
};

/// Connections that send bad requests one after the other.
const KEPT: u64 = 9;

/// Bad requests on each of them.
const ON_KEPT: u64 = 10_000;

/// Bad requests that cost their connection.
const ON_FRESH: u64 = 10_000;

/// Looks at the descriptors until they are back, 10 ms apart.
const LOOKS: usize = 1_000;

/// Bad requests after which the connection is kept.
const BAD: &[(&str, u16)] = &[
    ("POST /jobs HTTP/1.1\r\ncontent-length: 2\r\n\r\n{]", 400),
    ("POST /jobs HTTP/1.1\r\ncontent-length: 4\r\n\r\nnull", 400),
    ("GET /jobs/%20 HTTP/1.1\r\n\r\n", 400),
    ("GET /jobs/none HTTP/1.1\r\n\r\n", 404),
    ("GET /none HTTP/1.1\r\n\r\n", 404),
    ("PATCH /jobs HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 405),
    (
        "POST /tickets?count=x HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
        400,
    ),
];

/// Bad requests that close the connection.
const BROKEN: &[(&str, u16)] = &[
    ("\0\0\0\0\r\n\r\n", 400),
    ("POST /jobs HTTP/1.1\r\ncontent-length: x\r\n\r\n", 400),
    (
        "POST /jobs HTTP/1.1\r\ncontent-length: 100000000\r\n\r\n",
        413,
    ),
    (
        "POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nx",
        400,
    ),
];

fn descriptors() -> usize {
    let listed = fs::read_dir("/proc/self/fd").expect("this process has descriptors");
    listed.count()
}

fn send_kept(mut caller: Caller) -> u64 {
    let mut answered = 0;
    for (bytes, status) in BAD.iter().cycle().take(ON_KEPT as usize) {
        caller.send(bytes.as_bytes());
        let reply = caller.reply().expect("an answer");
        assert_eq!(reply.status, *status, "{bytes}");
        answered += 1;
    }
    answered
}

fn send_fresh(address: std::net::SocketAddr) -> u64 {
    let mut answered = 0;
    for (bytes, status) in BROKEN.iter().cycle().take(ON_FRESH as usize) {
        let mut caller = Caller::connect(address).expect("the daemon listens");
        caller.send(bytes.as_bytes());
        let reply = caller.reply().expect("an answer");
        assert_eq!((reply.status, reply.closes()), (*status, true), "{bytes}");
        answered += 1;
    }
    answered
}

#[test]
fn a_hundred_thousand_bad_requests_are_answered_and_leak_nothing() {
    let mut system = System::start(settings());
    drop(system.caller().get("/jobs/none"));
    thread::sleep(Duration::from_millis(100));
    let before = descriptors();
    let address = system.address;
    let kept: Vec<_> = (0..KEPT)
        .map(|_| system.caller())
        .map(|it| thread::spawn(move || send_kept(it)))
        .collect();
    let mut answered = send_fresh(address);
    for sender in kept {
        answered += sender.join().expect("every request had its answer");
    }
    assert_eq!(answered, 100_000);
    // A drain is clean only once no connection is open; after it, pooled
    // connections to the platform are gone too.
    system.stop();
    assert!(system.end().clean);
    let back = (0..LOOKS).any(|_| {
        thread::sleep(Duration::from_millis(10));
        descriptors() <= before
    });
    assert!(back, "{before} descriptors before, {} after", descriptors());
}
