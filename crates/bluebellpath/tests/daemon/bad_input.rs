//! Malformed requests: each has an answer that says what is wrong.

use std::{net::SocketAddr, sync::OnceLock};

use quickcheck::{Gen, QuickCheck};

use crate::{
    caller::{Caller, job},
    system::{System, settings},
};

struct Case {
    name: &'static str,
    bytes: &'static str,
    status: u16,
    /// Part of the answer's body.
    says: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "no http",
        bytes: "\x16\x03\x01\x02\x00\x01 hello\r\n\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "half a head",
        bytes: "GET /jobs/a HT",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "half a body",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: 10\r\n\r\n{}",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "a negative length",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "a length beyond any number",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: 99999999999999999999999\r\n\r\n",
        status: 413,
        says: "body too large",
    },
    Case {
        name: "two lengths",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n{}",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "a length and an encoding",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "an unknown encoding",
        bytes: "POST /jobs HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "an oversized body that waits for the go-ahead",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: 9000000\r\nexpect: 100-continue\r\n\r\n",
        status: 413,
        says: "body too large",
    },
    Case {
        name: "a chunk without a size",
        bytes: "POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "a chunk size that overflows",
        bytes: "POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "a chunk that is longer than its size",
        bytes: "POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}{}\r\n0\r\n\r\n",
        status: 400,
        says: "malformed",
    },
    Case {
        name: "chunks of a body that is no submission",
        bytes: "POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\n[\r\n1\r\n]\r\n0\r\n\r\n",
        status: 400,
        says: "a list of 0",
    },
    Case {
        name: "no JSON",
        bytes: "POST /jobs HTTP/1.1\r\ncontent-length: 3\r\n\r\n{a}",
        status: 400,
        says: "\"allowed\":\"JSON\"",
    },
    Case {
        name: "a wrong key",
        bytes: "POST /jobs HTTP/1.1\r\nidempotency-key: a b\r\ncontent-length: 0\r\n\r\n",
        status: 400,
        says: "a job id has",
    },
    Case {
        name: "a ticket that is none",
        bytes: "GET /jobs/ticket.0.x.1 HTTP/1.1\r\n\r\n",
        status: 400,
        says: "a ticket reads",
    },
    Case {
        name: "an unknown job",
        bytes: "GET /jobs/nobody HTTP/1.1\r\n\r\n",
        status: 404,
        says: "\"outcome\":\"unknown\"",
    },
    Case {
        name: "a wrong wait",
        bytes: "GET /jobs/nobody?wait_ms=-1 HTTP/1.1\r\n\r\n",
        status: 400,
        says: "wait_ms: allowed 0 to",
    },
    Case {
        name: "too many tickets",
        bytes: "POST /tickets?count=1001 HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
        status: 400,
        says: "count: allowed 1 to",
    },
    Case {
        name: "an unknown resource",
        bytes: "GET /nothing HTTP/1.1\r\n\r\n",
        status: 404,
        says: "no resource at /nothing",
    },
    Case {
        name: "a wrong method",
        bytes: "PUT /jobs/a HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
        status: 405,
        says: "only GET, DELETE",
    },
];

#[test]
fn each_malformed_request_has_its_answer() {
    let system = System::start(settings());
    for case in CASES {
        let mut caller = system.caller();
        caller.send(case.bytes.as_bytes());
        caller.finish();
        let reply = caller.reply().unwrap_or_else(|| panic!("{}", case.name));
        assert_eq!(reply.status, case.status, "{}: {reply:?}", case.name);
        assert!(reply.body.contains(case.says), "{}: {reply:?}", case.name);
        assert_eq!(
            reply.header("content-type"),
            Some("application/problem+json")
        );
        let outcome = reply.field("outcome");
        assert!(outcome.is_some(), "{}: {reply:?}", case.name);
    }
}

#[test]
fn every_faulty_field_is_listed_at_once() {
    let system = System::start(settings());
    let body = r#"{"team": "", "deadline_ms": 0, "extra": 1, "tasks": [
        {"caller": 7, "size": 0}, 3, {"caller": "a", "kind": "b", "idempotent": "no"}]}"#;
    let reply = system.caller().post("/jobs", body);
    assert_eq!(reply.status, 400);
    let problem: bluebellpath::caller::Problem =
        serde_json::from_str(&reply.body).expect("a problem document");
    let mut fields: Vec<&str> = problem.faults.iter().map(|it| it.field.as_str()).collect();
    fields.sort_unstable();
    let expected = [
        "deadline_ms",
        "extra",
        "tasks[0].caller",
        "tasks[0].kind",
        "tasks[0].size",
        "tasks[1]",
        "tasks[2].idempotent",
        "team",
    ];
    assert_eq!(fields, expected);
}

#[test]
fn the_head_and_the_body_have_limits() {
    let system = System::start(settings());
    let mut caller = system.caller();
    let long = "x".repeat(20 << 10);
    caller.send(format!("GET /{long} HTTP/1.1\r\n\r\n").as_bytes());
    assert_eq!(caller.reply().expect("an answer").status, 431);
    let mut caller = system.caller();
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000)).repeat(3);
    let head = "POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    caller.send(format!("{head}{chunk}").as_bytes());
    assert_eq!(caller.reply().expect("an answer").status, 413);
    let mut caller = system.caller();
    caller.request("POST", "/jobs", "", &"x".repeat(70 << 10));
    assert_eq!(caller.reply().expect("an answer").status, 413);
}

#[test]
fn slow_senders_are_answered_in_the_end() {
    let system = System::start(settings());
    for part in [
        "GET /heal",
        "POST /jobs HTTP/1.1\r\ncontent-length: 5\r\n\r\n{",
    ] {
        let mut caller = system.caller();
        caller.send(part.as_bytes());
        let reply = caller.reply().expect("an answer");
        assert_eq!((reply.status, reply.closes()), (408, true), "{part}");
        assert_eq!(reply.field("outcome").as_deref(), Some("not_run"));
    }
}

#[test]
fn good_requests_of_all_shapes_are_served() {
    let system = System::start(settings());
    let mut caller = system.caller();
    // Sent ahead: answers come in the order of the requests.
    for run_ms in [30, 1, 15] {
        let key = format!("idempotency-key: ahead-{run_ms}\r\n");
        caller.request("POST", "/jobs", &key, &job(run_ms));
    }
    for run_ms in [30, 1, 15] {
        let reply = caller.reply().expect("an answer");
        assert_eq!(reply.field("id"), Some(format!("ahead-{run_ms}")));
    }
    // In chunks, after the go-ahead.
    let body = job(1);
    let (first, second) = body.split_at(7);
    caller
        .send(b"POST /jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\nexpect: 100-continue\r\n\r\n");
    assert_eq!(caller.any_reply(false).expect("the go-ahead").status, 100);
    for part in [first, second, ""] {
        caller.send(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
    }
    assert_eq!(caller.reply().expect("an answer").status, 200);
    caller.send(b"HEAD /health/ready HTTP/1.1\r\n\r\n");
    assert_eq!(caller.head_reply().expect("an answer").status, 204);
    // A job that has no answer yet, then its answer after a cancel.
    let mut other = system.caller();
    other.request("POST", "/jobs", "idempotency-key: long\r\n", &job(10_000));
    let pending = loop {
        let reply = caller.get("/jobs/long?wait_ms=20");
        if reply.status != 404 {
            break reply;
        }
    };
    assert_eq!(
        (pending.status, pending.header("retry-after")),
        (202, Some("1"))
    );
    caller.request("DELETE", "/jobs/long", "", "");
    let cancelled = caller.reply().expect("an answer");
    assert_eq!(cancelled.field("outcome").as_deref(), Some("failed"));
    assert_eq!(other.reply().expect("an answer").body, cancelled.body);
    // Supply of tickets.
    let tickets = caller.post("/tickets?count=3", "");
    assert_eq!(
        (tickets.status, tickets.body.matches("ticket.").count()),
        (201, 3)
    );
}

/// Daemon that damaged requests go to.
static DAMAGED: OnceLock<SocketAddr> = OnceLock::new();

fn is_answered(at: usize, damage: Vec<u8>, cut: usize) -> bool {
    let body = job(1);
    let head = format!(
        "POST /jobs HTTP/1.1\r\nhost: t\r\nidempotency-key: k\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = (head + &body).into_bytes();
    let at = at % bytes.len();
    bytes.splice(at..=at, damage);
    bytes.truncate(bytes.len() - cut % bytes.len());
    let address = DAMAGED.get().expect("the test has set it");
    let mut caller = Caller::connect(*address).expect("the daemon listens");
    caller.send(&bytes);
    caller.finish();
    caller.reply().is_some()
}

#[test]
fn damaged_requests_never_go_without_an_answer() {
    let system = System::start(settings());
    DAMAGED.set(system.address).expect("set once");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(300)
        .quickcheck(is_answered as fn(usize, Vec<u8>, usize) -> bool);
}
