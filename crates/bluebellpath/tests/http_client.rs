//! The calling side of HTTP against servers that fall silent.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use bluebellpath::http::{Client, ClientConfig, Fault, Request, Step};
use bluebellpath_runtime::{clock, runtime};
use http::Method;

/// Time for a response.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Longest that a call may take: far more than its parts have, far less than the
/// 10 s that a whole message may take.
const BOUND: Duration = Duration::from_secs(3);

/// Server that answers with `text` and then keeps its connections open.
fn silent_after(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 4_096]).expect("request");
            stream.write_all(text.as_bytes()).expect("client");
            open.push(stream);
        }
    });
    address
}

struct Case {
    name: &'static str,
    text: &'static str,
}

const CASES: [Case; 4] = [
    Case {
        name: "nothing",
        text: "",
    },
    Case {
        name: "half a head",
        text: "HTTP/1.1 200 OK\r\ncontent-",
    },
    Case {
        name: "half a body",
        text: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345",
    },
    Case {
        name: "half a chunk",
        text: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n123",
    },
];

#[test]
fn a_response_that_stops_midway_is_lost_in_time() {
    for case in CASES {
        runtime::block_on(async {
            let client = Client::new(ClientConfig::default());
            let since = clock::now();
            let request = Request::new(Method::GET, "/");
            let answer = client.send(silent_after(case.text), request, TIMEOUT).await;
            let error = answer.expect_err(case.name);
            let found = (error.step, error.fault);
            assert_eq!(found, (Step::Receive, Fault::TimedOut), "{}", case.name);
            assert!(clock::now() - since < BOUND, "{}", case.name);
        });
    }
}
