//! Planned stops: nothing in progress is cut off.

use std::{fs, thread, time::Duration};

use crate::{
    caller::{Caller, job},
    system::{System, settings},
};

#[test]
fn a_planned_stop_finishes_what_is_in_progress() {
    let mut system = System::start(settings());
    let (mut busy, mut late, mut probe) = (system.caller(), system.caller(), system.caller());
    let mut idle = system.caller();
    assert_eq!(idle.get("/health/live").status, 204);
    busy.request("POST", "/jobs", "", &job(600));
    thread::sleep(Duration::from_millis(50));
    system.stop();
    while probe.get("/health/ready").status != 503 {
        thread::sleep(Duration::from_millis(1));
    }
    // Not ready, yet alive and still accepting what the balancer sends.
    assert_eq!(probe.get("/health/live").status, 204);
    let accepted = late.post("/jobs", &job(10));
    assert_eq!(accepted.field("outcome").as_deref(), Some("complete"));
    let answer = busy.reply().expect("the job in progress is answered");
    assert_eq!(answer.field("outcome").as_deref(), Some("complete"));
    assert!(answer.closes());
    // An idle connection ends with an answer that would be true of a request
    // that was under way.
    let last = idle.reply().expect("a last answer");
    assert_eq!((last.status, last.closes()), (408, true));
    assert_eq!(last.field("outcome").as_deref(), Some("not_run"));
    drop((busy, late, probe, idle));
    let end = system.end();
    assert!(end.clean, "{end:?}");
}

#[test]
fn a_second_request_to_stop_tells_what_is_lost() {
    let mut system = System::start(settings());
    let mut busy = system.caller();
    busy.request("POST", "/jobs", "", &job(10_000));
    thread::sleep(Duration::from_millis(100));
    system.stop();
    system.stop();
    let end = system.end();
    assert!(!end.clean);
    assert_eq!((end.left.jobs, end.left.running), (1, 1));
}

/// Callers that go on submitting on kept connections while the daemon stops.
const CALLERS: u64 = 16;

#[test]
fn no_request_in_flight_goes_without_an_answer() {
    let mut system = System::start(settings());
    let address = system.address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| thread::spawn(move || submit_until_closed(address)))
        .collect();
    thread::sleep(Duration::from_millis(100));
    system.stop();
    let end = system.end();
    let mut answered = 0;
    for caller in callers {
        answered += caller.join().expect("every request had its answer");
    }
    assert!(end.clean, "{end:?}");
    assert!(answered > CALLERS, "{answered} requests are no load");
}

/// Submits on one connection until an answer says that it closes; returns the
/// count of answers.
fn submit_until_closed(address: std::net::SocketAddr) -> u64 {
    let mut caller = Caller::connect(address).expect("the daemon listens");
    for answered in 1.. {
        // Some connections are idle and some are busy when they are closed.
        thread::sleep(Duration::from_millis(answered % 3));
        caller.request("POST", "/jobs", "", &job(1));
        let reply = caller.reply().expect("an answer to each request");
        let outcome = reply.field("outcome");
        match reply.status {
            200 => assert_eq!(outcome.as_deref(), Some("complete")),
            status => assert_eq!((status, outcome.as_deref()), (408, Some("not_run"))),
        }
        if reply.closes() {
            return answered;
        }
    }
    unreachable!("the loop has no other end")
}

#[test]
fn a_running_daemon_has_no_io_uring() {
    let mut system = System::start(settings());
    let answer = system.caller().post("/jobs", &job(1));
    assert_eq!(answer.status, 200);
    let links: Vec<String> = fs::read_dir("/proc/self/fd")
        .expect("this process has descriptors")
        .filter_map(|it| fs::read_link(it.ok()?.path()).ok())
        .map(|it| it.display().to_string())
        .collect();
    assert!(links.iter().any(|it| it.contains("eventpoll")), "{links:?}");
    assert!(!links.iter().any(|it| it.contains("io_uring")), "{links:?}");
    system.stop();
    assert!(system.end().clean);
}
