//! One session and its trace.

use std::{cell::RefCell, fmt::Write, rc::Rc, time::Duration};

use bluebellpath::{
    caller::Api,
    http::{Request, Response, Service},
    peer::Phase,
};
use bluebellpath_runtime::{Instant, clock, runtime, spawn};
use bluebellpath_standin::{Fleet, Layout};
use http::Method;

/// Time in which the entry instance reads lists and joins its domain.
const SETTLE: Duration = Duration::from_secs(5);

/// Time after which each session is over.
const END: Duration = Duration::from_secs(20);

/// Request of a caller.
#[derive(Clone)]
pub struct Ask {
    method: &'static str,
    path: String,
    key: Option<&'static str>,
    body: String,
}

impl Ask {
    pub fn new(method: &'static str, path: &str) -> Ask {
        Ask {
            method,
            path: path.to_owned(),
            key: None,
            body: String::new(),
        }
    }

    pub fn get(path: &str) -> Ask {
        Ask::new("GET", path)
    }

    /// Job `key` with one task for each run time.
    pub fn submit(key: &'static str, run_ms: &[u64]) -> Ask {
        let tasks: Vec<String> = run_ms
            .iter()
            .map(|it| {
                format!(r#"{{"caller":"crew","kind":"quote","payload":"{{\"run_ms\": {it}}}"}}"#)
            })
            .collect();
        Ask::job(key, &tasks.join(","))
    }

    /// Job `key` with one task that takes `size` slots.
    pub fn submit_sized(key: &'static str, size: u32) -> Ask {
        let task = format!(r#"{{"caller":"crew","kind":"quote","size":{size}}}"#);
        Ask::job(key, &task)
    }

    fn job(key: &'static str, tasks: &str) -> Ask {
        Ask {
            key: Some(key),
            body: format!(r#"{{"team":"default","deadline_ms":5000,"tasks":[{tasks}]}}"#),
            ..Ask::new("POST", "/jobs")
        }
    }

    fn request(&self) -> Request {
        let method = Method::from_bytes(self.method.as_bytes()).expect("a method");
        let (path, query) = match self.path.split_once('?') {
            Some((path, query)) => (path, Some(query.to_owned())),
            None => (self.path.as_str(), None),
        };
        let mut request = Request::new(method, path).with_body(self.body.clone());
        request.query = query;
        match self.key {
            Some(key) => request.with_header(http::HeaderName::from_static("idempotency-key"), key),
            None => request,
        }
    }
}

enum Step {
    Send(u64, Ask),
    Drain(u64),
}

/// What happens in a session, at milliseconds after its start.
#[derive(Default)]
pub struct Session(RefCell<Vec<Step>>);

impl Session {
    /// Sends `ask` at `at_ms`.
    pub fn send(&self, at_ms: u64, ask: Ask) {
        self.0.borrow_mut().push(Step::Send(at_ms, ask));
    }

    /// Tells balancers and peers at `at_ms` that the instance drains.
    pub fn drain(&self, at_ms: u64) {
        self.0.borrow_mut().push(Step::Drain(at_ms));
    }
}

/// Plays a session and returns its trace.
pub fn trace(play: fn(&Session)) -> String {
    let session = Session::default();
    play(&session);
    runtime::paused(async move {
        let fleet = Fleet::start(Layout {
            domains: 1,
            entries: 1,
            targets: 2,
            slots: 2,
            ..Layout::default()
        });
        clock::sleep(SETTLE).await;
        let start = clock::now();
        let lines = Rc::new(RefCell::new(String::new()));
        for step in session.0.take() {
            let (lines, entry) = (lines.clone(), fleet.members[0].entry());
            drop(spawn(async move {
                match step {
                    Step::Send(at_ms, ask) => {
                        clock::sleep_until(start + Duration::from_millis(at_ms)).await;
                        note(&lines, start, &format!("> {}", line(&ask)));
                        let response = Api::new(entry).call(ask.request()).await;
                        note(&lines, start, &format!("< {}", answer(&ask, &response)));
                    }
                    Step::Drain(at_ms) => {
                        clock::sleep_until(start + Duration::from_millis(at_ms)).await;
                        entry.set_phase(Phase::Draining);
                        note(&lines, start, "draining");
                    }
                }
            }));
        }
        clock::sleep(END).await;
        lines.borrow_mut().push_str("targets\n");
        for run in fleet.targets.runs() {
            let ended = run.ended.map_or("-".to_owned(), |it| time(start, it));
            let began = time(start, run.began);
            let text = format!("{began} to {ended} {} {}", run.target, run.task);
            let _ = writeln!(lines.borrow_mut(), "{text}");
        }
        lines.take()
    })
}

fn line(ask: &Ask) -> String {
    let key = ask.key.map(|it| format!(" {it}")).unwrap_or_default();
    format!("{} {}{key} {}", ask.method, ask.path, ask.body)
}

fn answer(ask: &Ask, response: &Response) -> String {
    let mut text = format!("{} {}: {}", ask.method, ask.path, response.status.as_u16());
    for name in ["allow", "retry-after"] {
        if let Some(value) = response.headers.get(name) {
            let _ = write!(text, " {name}: {}", value.to_str().expect("text"));
        }
    }
    let body = String::from_utf8_lossy(&response.body);
    format!("{text} {body}")
}

fn note(lines: &RefCell<String>, start: Instant, text: &str) {
    let at = time(start, clock::now());
    let _ = writeln!(lines.borrow_mut(), "{at} {}", text.trim_end());
}

fn time(start: Instant, at: Instant) -> String {
    format!("{:9.3}", (at - start).as_secs_f64() * 1000.0)
}
