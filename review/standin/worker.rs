//! Stand-in for a worker.
//!
//! The spec of a task tells what the worker does with it: `ms=` how long it runs,
//! `cpu=` what the job asked for, `label=` the label that the job asked for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Record;
use crate::http::{Reply, Request, Server};
use crate::json::{Json, quote};
use crate::store::Store;

/// Longest lease, `max_hold_ms` of the settings.
const MAX_HOLD_MS: u64 = 1_000;

/// Time that a stop takes, within `stop_ms` of the settings.
const STOP: Duration = Duration::from_millis(20);

/// Time between two writes of the entry.
const BEAT: Duration = Duration::from_millis(1_500);

pub type RunKey = (String, u64);

#[derive(Clone)]
pub struct Kind {
    pub cpu: u64,
    pub labels: Vec<String>,
}

struct Running {
    ends_at: Instant,
    cpu: u64,
}

/// State of one incarnation.
struct Life {
    born: u64,
    since: Instant,
    kind: Kind,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<RunKey, Running>,
    ended: Vec<(u64, RunKey, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    seq: u64,
}

impl Life {
    fn new(kind: Kind) -> Life {
        Life {
            born: unix_ms(),
            since: Instant::now(),
            kind,
            fence: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
            seq: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until_ms: Option<u64>) {
        let latest = self.clock() + MAX_HOLD_MS;
        self.until_ms = self.until_ms.max(until_ms.unwrap_or(0).min(latest));
    }
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    service: String,
    store: Arc<Store>,
    record: Arc<Record>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    /// True while the worker is cut off: nothing reaches it, and it runs on.
    cut: Mutex<bool>,
    /// Number of incarnations so far.
    lives: Mutex<u64>,
    server: Mutex<Option<Server>>,
    address: Mutex<SocketAddr>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn field(spec: &str, name: &str) -> Option<String> {
    let found = spec
        .split(' ')
        .filter_map(|it| it.split_once('='))
        .find(|it| it.0 == name);
    found.map(|it| it.1.to_owned())
}

impl Worker {
    /// Starts a worker on a free port of `ip`.
    pub fn start(
        id: &str,
        zone: &str,
        service: &str,
        ip: &str,
        kind: Kind,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            store: store.clone(),
            record: record.clone(),
            life: Mutex::new(None),
            changed: Condvar::new(),
            cut: Mutex::new(false),
            lives: Mutex::new(0),
            server: Mutex::new(None),
            address: Mutex::new(format!("{ip}:0").parse().unwrap()),
        });
        worker.come_up(kind);
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(2));
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                beating.beat();
            }
        });
        worker
    }

    /// Begins an incarnation: its entry is stored before it takes any order.
    pub fn come_up(self: &Arc<Worker>, kind: Kind) {
        let address = *self.address.lock().unwrap();
        let (cpu, labels) = (kind.cpu, kind.labels.join(","));
        *self.life.lock().unwrap() = Some(Life::new(kind));
        let (handling, mut seen) = (self.clone(), self.lives.lock().unwrap());
        *seen += 1;
        let number = *seen;
        drop(seen);
        if address.port() != 0 {
            self.beat();
        }
        let (server, address) =
            Server::start(address, Arc::new(move |it| handling.receive(it, number)))
                .expect("a worker's port is free");
        *self.address.lock().unwrap() = address;
        *self.server.lock().unwrap() = Some(server);
        self.beat();
        self.record.line(&format!(
            "worker {} is up with cpu {cpu}, labels {labels}",
            self.id
        ));
    }

    /// Ends the incarnation as by a crash.
    pub fn crash(&self) {
        let life = self.life.lock().unwrap().take();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.changed.notify_all();
        let running = life.map(|it| it.running).unwrap_or_default();
        self.record.line(&format!(
            "worker {} crashed with {} runs",
            self.id,
            running.len()
        ));
        for key in running.keys() {
            self.record.end(&self.id, key, "crashed");
        }
    }

    /// Cuts the worker off, or ends that.
    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap() = cut;
        let text = if cut {
            "is cut off"
        } else {
            "is reached again"
        };
        self.record.line(&format!("worker {} {text}", self.id));
    }

    fn beat(&self) {
        if *self.cut.lock().unwrap() {
            return;
        }
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        life.seq += 1;
        let labels: Vec<_> = life.kind.labels.iter().map(|it| quote(it)).collect();
        let entry = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\
             \"gpu\":0}},\"labels\":[{}],\"born\":{},\"clock_ms\":{},\"seq\":{}}}",
            quote(&self.service),
            self.address.lock().unwrap(),
            quote(&self.zone),
            life.kind.cpu,
            labels.join(","),
            life.born,
            life.clock(),
            life.seq
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let now = Instant::now();
        let lapsed = life.clock() > life.until_ms;
        let over = life
            .running
            .iter()
            .filter(|it| lapsed || it.1.ends_at <= now);
        let over: Vec<_> = over.map(|it| (it.0.clone(), it.1.ends_at <= now)).collect();
        for (key, done) in over {
            self.finish(life, &key, if done { "done" } else { "lapsed" });
        }
    }

    fn finish(&self, life: &mut Life, key: &RunKey, how: &'static str) {
        if life.running.remove(key).is_none() {
            return;
        }
        life.last_end += 1;
        life.ended.push((life.last_end, key.clone(), how));
        let over = life.over.entry(key.0.clone()).or_default();
        *over = key.1.max(*over);
        self.record.end(&self.id, key, how);
        self.changed.notify_all();
    }

    /// Ends the incarnation while it is cut off, and begins another one, which is reached
    /// again. Nobody hears of the end: the channels to the former one are silent.
    pub fn crash_behind_cut(self: &Arc<Worker>, kind: Kind) {
        let life = self.life.lock().unwrap().take();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.abandon();
        }
        self.record
            .line(&format!("worker {} crashed behind the cut", self.id));
        for key in life.map(|it| it.running).unwrap_or_default().keys() {
            self.record.end(&self.id, key, "crashed");
        }
        *self.cut.lock().unwrap() = false;
        self.come_up(kind);
    }

    /// Takes an order that has reached the incarnation `number` on one of its channels,
    /// unless the worker is cut off: then neither the order nor an answer gets through.
    fn receive(self: &Arc<Worker>, request: Request, number: u64) -> Reply {
        if *self.lives.lock().unwrap() != number {
            return (0, String::new());
        }
        let reply = match *self.cut.lock().unwrap() {
            true => None,
            false => Some(request),
        };
        let reply = reply.map(|it| self.handle(it));
        while *self.cut.lock().unwrap() {
            thread::sleep(Duration::from_millis(5));
        }
        if *self.lives.lock().unwrap() != number {
            // Nothing comes from the former incarnation any more.
            thread::sleep(Duration::from_secs(5));
            return (0, String::new());
        }
        reply.unwrap_or((0, String::new()))
    }

    fn handle(self: &Arc<Worker>, request: Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return (503, "{}".to_owned());
        };
        if request
            .header("expect-instance")
            .is_some_and(|it| it != self.id)
        {
            return (421, "{}".to_owned());
        }
        let clock =
            |life: &Life| format!("{{\"clock_ms\":{},\"born\":{}}}", life.clock(), life.born);
        let refuse = |life: &Life, reason: &str| {
            let clock = life.clock();
            (
                409,
                format!(
                    "{{\"clock_ms\":{clock},\"born\":{},\"reason\":\"{reason}\"}}",
                    life.born
                ),
            )
        };
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            return refuse(life, "fence");
        }
        life.fence = fence;
        let key = (
            body.text("task").to_owned(),
            body.number("run").unwrap_or(0),
        );
        match request.path.as_str() {
            "/-/run-start" => {
                if life.running.contains_key(&key) {
                    life.extend(body.number("until_ms"));
                    return (200, clock(life));
                }
                if life.over.get(&key.0).is_some_and(|it| key.1 <= *it) {
                    life.extend(body.number("until_ms"));
                    return refuse(life, "old");
                }
                if body.number("until_ms").unwrap_or(0) <= life.clock() {
                    return refuse(life, "late");
                }
                life.extend(body.number("until_ms"));
                let spec = body.text("spec");
                let number = |name| field(spec, name).and_then(|it| it.parse().ok());
                let cpu: u64 = number("cpu").unwrap_or(0);
                let used: u64 = life.running.values().map(|it| it.cpu).sum();
                let duration = Duration::from_millis(number("ms").unwrap_or(100));
                life.running.insert(
                    key.clone(),
                    Running {
                        ends_at: Instant::now() + duration,
                        cpu,
                    },
                );
                self.record.start(
                    &self.id,
                    &key,
                    spec,
                    (used, cpu, life.kind.cpu),
                    &life.kind.labels,
                );
                (200, clock(life))
            }
            "/-/run-stop" => {
                let over = life.over.entry(key.0.clone()).or_default();
                *over = key.1.max(*over);
                let (answer, born) = (clock(life), life.born);
                let worker = self.clone();
                thread::spawn(move || {
                    thread::sleep(STOP);
                    let mut life = worker.life.lock().unwrap();
                    if let Some(life) = life.as_mut().filter(|it| it.born == born) {
                        worker.finish(life, &key, "stopped");
                    }
                });
                (200, answer)
            }
            "/-/hold" => {
                let seen = body.number("seen_upto").unwrap_or(0);
                life.ended.retain(|it| it.0 > seen);
                if body.number("until_ms").is_some() {
                    life.extend(body.number("until_ms"));
                }
                let wait = body.number("wait_ms").unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                let born = life.born;
                loop {
                    let Some(life) = guard.as_ref().filter(|it| it.born == born) else {
                        return (503, "{}".to_owned());
                    };
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() || life.ended.iter().any(|it| it.0 > seen) {
                        return (200, lists(life));
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn lists(life: &Life) -> String {
    let running = life.running.keys();
    let running = running.map(|it| format!("[{},{},\"\",50,0]", quote(&it.0), it.1));
    let ended = life.ended.iter().take(500);
    let ended = ended
        .map(|(number, key, how)| format!("[{number},{},{},\"{how}\",\"\"]", quote(&key.0), key.1));
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running_tasks\":[{}],\"ended\":[{}]}}",
        life.clock(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    )
}
