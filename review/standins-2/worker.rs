//! Workers: leases, fences and long polls.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    http::{Request, Response, Server, response},
    json::{self, Value, quote},
    store::Store,
    wall_ms,
};

/// Name of the service.
pub const SERVICE: &str = "field-desk";

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `max_hold_ms` of the settings.
const MAX_LEASE_MS: u64 = 1_000;

/// Time that a stop takes; `stop_ms` is 50.
const STOP: Duration = Duration::from_millis(30);

type RunKey = (String, u64);

struct Run {
    ends_at: Instant,
    stops_at: Option<Instant>,
}

/// State of a worker.
struct Life {
    born_ms: u64,
    since: Instant,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<RunKey, Run>,
    ended: Vec<(u64, RunKey, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    sequence: u64,
    draining: bool,
}

impl Life {
    fn new() -> Life {
        Life {
            born_ms: wall_ms(),
            since: Instant::now(),
            fence: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
            sequence: 0,
            draining: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until_ms: Option<u64>) {
        let latest = self.clock_ms() + MAX_LEASE_MS;
        self.until_ms = self.until_ms.max(until_ms.unwrap_or(0).min(latest));
    }
}

/// What a worker saw of one run.
#[derive(Clone, Debug)]
pub struct Seen {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
}

pub struct Worker {
    pub id: String,
    zone: String,
    address: SocketAddr,
    life: Mutex<Life>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Worker {
    /// Starts a worker on a free port of `ip`.
    pub fn start(
        (id, zone): (&str, &str),
        ip: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> io::Result<Arc<Worker>> {
        let free = std::net::TcpListener::bind(format!("{ip}:0"))?;
        let address = free.local_addr()?;
        drop(free);
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
        });
        worker.listen()?;
        let ticking = worker.clone();
        thread::spawn(move || {
            let mut last = Instant::now() - HEARTBEAT;
            loop {
                ticking.advance();
                if last.elapsed() >= HEARTBEAT {
                    ticking.send_heartbeat();
                    last = Instant::now();
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        Ok(worker)
    }

    fn listen(self: &Arc<Worker>) -> io::Result<()> {
        let handler = self.clone();
        Server::start(
            &self.address.to_string(),
            Arc::new(move |it| handler.handle(&it)),
        )?;
        Ok(())
    }

    fn send_heartbeat(&self) {
        let mut life = self.life.lock().unwrap();
        life.sequence += 1;
        let entry = format!(
            "{{\"service\":{},\"addr\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":{},\"cold_left_ms\":0,\"capacity\":{{\"cpu\":64000,\"mem_mb\":262144,\
             \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"born\":{},\"clock_ms\":{},\"seq\":{}}}",
            quote(SERVICE),
            quote(&self.address.to_string()),
            quote(&self.zone),
            match life.draining {
                true => "\"draining\",\"remaining_ms\":20000",
                false => "\"ready\"",
            },
            life.born_ms,
            life.clock_ms(),
            life.sequence
        );
        self.store.put("servers", &self.id, entry.as_bytes());
    }

    /// Reports that it is about to leave. It goes on working.
    pub fn drain(&self) {
        self.life.lock().unwrap().draining = true;
        self.send_heartbeat();
        self.record
            .note(&format!("worker {} is draining, says the store", self.id));
    }

    fn note_end(&self, key: &RunKey, how: &'static str) {
        self.record.note(&format!(
            "worker {}: {} run {} ends {how}",
            self.id, key.0, key.1
        ));
        let now = self.record.now_ms();
        let mut seen = self.seen.lock().unwrap();
        let mut open = seen.iter_mut().rev();
        if let Some(it) = open.find(|it| {
            it.worker == self.id && it.task == key.0 && it.run == key.1 && it.ended.is_none()
        }) {
            it.ended = Some((now, how));
        }
    }

    /// Ends what has ended by now.
    fn advance(&self) {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        let lapsed = life.clock_ms() > life.until_ms;
        let how = |it: &Run| match () {
            () if it.ends_at <= now => Some("done"),
            () if it.stops_at.is_some_and(|at| at <= now) => Some("stopped"),
            () if lapsed => Some("lapsed"),
            () => None,
        };
        let over = life.runs.iter();
        let over: Vec<_> = over
            .filter_map(|it| Some((it.0.clone(), how(it.1)?)))
            .collect();
        for (key, how) in &over {
            life.runs.remove(key);
            life.last_end += 1;
            let number = life.last_end;
            life.ended.push((number, key.clone(), how));
            let highest = life.over.entry(key.0.clone()).or_default();
            *highest = key.1.max(*highest);
            self.note_end(key, how);
        }
        drop(life);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request
            .header("expect-instance")
            .is_some_and(|it| it != self.id)
        {
            return Some(response(421, String::from("{}")));
        }
        let body = json::parse(&request.body)?;
        self.advance();
        let mut life = self.life.lock().unwrap();
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < life.fence {
            return Some(refusal(&life, "fence"));
        }
        life.fence = fence;
        let key = (
            body.get("task").text().to_owned(),
            body.get("run").number().unwrap_or(0),
        );
        match request.path.as_str() {
            "/-/run-start" => Some(self.begin(&mut life, key, &body)),
            "/-/run-stop" => {
                let highest = life.over.entry(key.0.clone()).or_default();
                *highest = key.1.max(*highest);
                if let Some(run) = life.runs.get_mut(&key) {
                    run.stops_at.get_or_insert(Instant::now() + STOP);
                }
                Some(acknowledgement(&life))
            }
            "/-/hold" => {
                drop(life);
                self.hold(&body)
            }
            _ => Some(response(404, String::from("{}"))),
        }
    }

    fn begin(&self, life: &mut Life, key: RunKey, body: &Value) -> Response {
        let until_ms = body.get("until_ms").number();
        if life.runs.contains_key(&key) {
            life.extend(until_ms);
            return acknowledgement(life);
        }
        if life.over.get(&key.0).is_some_and(|it| key.1 <= *it) {
            life.extend(until_ms);
            return refusal(life, "old");
        }
        if until_ms.unwrap_or(0) <= life.clock_ms() {
            return refusal(life, "late");
        }
        life.extend(until_ms);
        // The text of a job is the time that each of its tasks takes, in milliseconds.
        let work_ms = body.get("spec").text().parse().unwrap_or(100);
        self.record.note(&format!(
            "worker {}: {} run {} starts",
            self.id, key.0, key.1
        ));
        self.seen.lock().unwrap().push(Seen {
            worker: self.id.clone(),
            task: key.0.clone(),
            run: key.1,
            started_ms: self.record.now_ms(),
            ended: None,
        });
        let run = Run {
            ends_at: Instant::now() + Duration::from_millis(work_ms),
            stops_at: None,
        };
        life.runs.insert(key, run);
        acknowledgement(life)
    }

    fn hold(&self, body: &Value) -> Option<Response> {
        let seen = body.get("seen_upto").number().unwrap_or(0);
        let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut life = self.life.lock().unwrap();
        life.ended.retain(|it| it.0 > seen);
        if let Some(until_ms) = body.get("until_ms").number() {
            life.extend(Some(until_ms));
        }
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if !life.ended.is_empty() || left.is_zero() {
                return Some(lists(&life));
            }
            life = self.changed.wait_timeout(life, left).unwrap().0;
        }
    }
}

fn lists(life: &Life) -> Response {
    let running = life.runs.keys();
    let running: Vec<_> = running
        .map(|(task, run)| format!("[{},{run},\"\",50,27000]", quote(task)))
        .collect();
    let ended = life.ended.iter().take(500);
    let ended: Vec<_> = ended
        .map(|(number, (task, run), how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        })
        .collect();
    let body = format!(
        "{{\"clock_ms\":{},\"born\":{},\"running_tasks\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born_ms,
        running.join(","),
        ended.join(",")
    );
    response(200, body)
}

fn acknowledgement(life: &Life) -> Response {
    response(200, format!("{{\"clock_ms\":{}}}", life.clock_ms()))
}

fn refusal(life: &Life, reason: &str) -> Response {
    let clock_ms = life.clock_ms();
    response(
        409,
        format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
    )
}
