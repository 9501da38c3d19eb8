//! Golden files of whole sessions on the paused clock.
//!
//! Requests go through the callers' interface, so a trace holds what a caller
//! sees, with its time, and after it what the targets truly ran. Accept a
//! changed trace with `INSTA_UPDATE=always`, then read the difference.

#[path = "golden/session.rs"]
mod session;

use session::{Ask, Session};

struct Case {
    name: &'static str,
    play: fn(&Session),
}

const CASES: &[Case] = &[
    Case {
        name: "ordinary",
        play: |it| {
            it.send(0, Ask::submit("order-1", &[120, 80]));
            it.send(40, Ask::get("/jobs/order-1"));
            it.send(500, Ask::get("/jobs/order-1?wait_ms=0"));
        },
    },
    Case {
        name: "refusal",
        play: |it| {
            it.send(0, Ask::submit_sized("too-large", 100));
            it.send(10, Ask::submit("order-2", &[]));
            it.send(20, Ask::get("/jobs/nobody"));
            it.send(30, Ask::new("PUT", "/jobs"));
            it.send(40, Ask::new("POST", "/tickets?count=2"));
        },
    },
    Case {
        name: "cancel",
        play: |it| {
            // Four slots: two of the six tasks wait when the cancel comes.
            it.send(0, Ask::submit("order-3", &[900; 6]));
            it.send(100, Ask::new("DELETE", "/jobs/order-3"));
            it.send(200, Ask::submit("order-3", &[900; 6]));
        },
    },
    Case {
        name: "drain",
        play: |it| {
            it.send(0, Ask::submit("order-4", &[300]));
            it.send(10, Ask::get("/health/ready"));
            it.drain(50);
            it.send(60, Ask::get("/health/ready"));
            it.send(60, Ask::get("/health/live"));
            it.send(70, Ask::submit("order-5", &[100]));
        },
    },
    Case {
        name: "resubmit",
        play: |it| {
            it.send(0, Ask::submit("order-6", &[200]));
            it.send(50, Ask::submit("order-6", &[200]));
            it.send(60, Ask::submit("order-6", &[201]));
            it.send(900, Ask::submit("order-6", &[200]));
        },
    },
];

#[test]
fn sessions_are_as_their_files_say() {
    for case in CASES {
        let trace = session::trace(case.play);
        for _ in 0..2 {
            assert_eq!(session::trace(case.play), trace, "{}", case.name);
        }
        insta::assert_snapshot!(case.name, trace);
    }
}
