//! The scenarios, one for each case that is a script.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    entry::{Entry, Network},
    http::{self, Response, Server},
    json,
    store::Store,
    worker::{SERVICE, Seen, Worker},
};

type Fault = Box<dyn std::error::Error>;

const HOST: &str = "desk.example";
const PREFIX: &str = "/quotes/";

/// `cancel_ms` of the settings.
const CANCEL_MS: u64 = 3_000;

/// `stop_ms` of the settings.
const STOP_MS: u64 = 50;

/// Small deployment: instances and workers in two zones, and one queue.
struct Deployment {
    entries: Vec<Entry>,
    workers: Vec<Arc<Worker>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    record: Arc<Record>,
    folder: PathBuf,
    _server: Server,
}

impl Deployment {
    fn start(zones: &[&str], workers: usize, record: &Arc<Record>) -> Result<Deployment, Fault> {
        let network = Network::find(zones.len())?;
        let (store, server) = Store::start(&network.stand_in_ip())?;
        let folder =
            std::env::temp_dir().join(format!("bluebellpath-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let seen = Arc::default();
        let workers: Result<Vec<_>, _> = (0..workers)
            .map(|it| {
                let zone = zones[it % zones.len()];
                let id = format!("i-{it:04}");
                Worker::start((&id, zone), &network.stand_in_ip(), &store, record, &seen)
            })
            .collect();
        let config = format!(
            r#"{{"version":7,"routes":[{{"name":"quotes","host":"{HOST}","path_prefix":"{PREFIX}","service":"{SERVICE}","timeout_ms":20000,"priority":0,"max_attempts":3,"stretch":1.6,"target_latency_ms":3000}}],"services":[{{"name":"{SERVICE}","enforces_capacity":false}}],"limits":{{}}}}"#
        );
        store.put("op", "config", config.as_bytes());
        let mut entries = Vec::new();
        for (number, zone) in zones.iter().enumerate() {
            let mut entry = Entry::new(&network, number, zone, server.address, &folder)?;
            entry.start()?;
            entries.push(entry);
        }
        let deployment = Deployment {
            entries,
            workers: workers?,
            seen,
            record: record.clone(),
            folder,
            _server: server,
        };
        for entry in &deployment.entries {
            if !entry.wait_until_ready(Duration::from_secs(15)) {
                return Err(format!("{} is not ready\n{}", entry.name, entry.log()).into());
            }
        }
        // Several heartbeats, so that all instances know each other and all workers.
        thread::sleep(Duration::from_millis(2_500));
        record.note("all instances are ready");
        Ok(deployment)
    }

    fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Waits for a run of a task to start.
    fn wait_for_start(&self, task: &str, run: u64, limit: Duration) -> Option<Seen> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let seen = self.seen();
            if let Some(it) = seen.into_iter().find(|it| it.task == task && it.run >= run) {
                return Some(it);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn worker(&self, id: &str) -> Option<&Arc<Worker>> {
        self.workers.iter().find(|it| it.id == id)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.iter_mut().for_each(Entry::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Job without a need to be stored, of one task a step, each step after the last one.
fn chain(steps: usize, work_ms: u64) -> String {
    let steps: Vec<_> = (0..steps)
        .map(|it| {
            let after = match it {
                0 => String::new(),
                it => format!(",\"after\":[{}]", it - 1),
            };
            format!("{{\"count\":1,\"cpu\":27000,\"mem_mb\":64,\"estimate_ms\":{work_ms}{after}}}")
        })
        .collect();
    format!(
        "{{\"spec\":\"{work_ms}\",\"steps\":[{}],\"best_effort\":true}}",
        steps.join(",")
    )
}

/// Submits a job from a client of its own, which waits for the answer.
fn submit(
    deployment: &Deployment,
    entry: usize,
    job: &str,
    body: String,
    deadline_ms: u64,
) -> thread::JoinHandle<Response> {
    let (front, name) = (
        deployment.entries[entry].front,
        deployment.entries[entry].name.clone(),
    );
    let (record, job) = (deployment.record.clone(), job.to_owned());
    thread::spawn(move || {
        record.note(&format!("client: POST {PREFIX}{job} to {name}: {body}"));
        let path = format!("{PREFIX}{job}");
        let answer = http::call(front, ("POST", HOST, &path), &body, deadline_ms);
        let (status, body) = (answer.status, &answer.body);
        record.note(&format!(
            "client: POST {PREFIX}{job} answered {status} {body}"
        ));
        answer
    })
}

/// A job is cancelled while it runs.
fn cancel(trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    let deployment = Deployment::start(&["west", "east"], 4, record)?;
    let job = "5c0e7a21d94b36f8";
    let posted = submit(&deployment, 0, job, chain(4, 2_000), 20_000);
    let first = format!("{job}.0.0.0");
    let start = deployment.wait_for_start(&first, 1, Duration::from_secs(5));
    start.ok_or("the job did not start")?;
    thread::sleep(Duration::from_millis(1_000));
    if !trouble {
        let answer = posted.join().map_err(|_| "client failed")?;
        return Ok(answer.status == 200 && answer.body.contains("completed"));
    }
    let path = format!("{PREFIX}{job}");
    let front = deployment.entries[0].front;
    let answer = http::call(front, ("DELETE", HOST, &path), "", 2_000);
    let acked_ms = record.now_ms();
    let status = answer.status;
    record.note(&format!("client: DELETE {path} answered {status}"));
    if !(200..300).contains(&status) && status != 410 {
        return Err(format!("the cancel has no ack but {status}").into());
    }
    // The client stays: it neither leaves nor breaks its connection.
    let _ = posted.join();
    let bound_ms = acked_ms + CANCEL_MS;
    let mut held = true;
    for it in deployment.seen() {
        if it.started_ms > bound_ms {
            let late = it.started_ms - acked_ms;
            record.note(&format!(
                "UNASKED: {} run {} starts {late} ms after the ack of the cancel",
                it.task, it.run
            ));
            held = false;
        }
        let ended_ms = it.ended.map_or(record.now_ms(), |it| it.0);
        if it.started_ms <= bound_ms && ended_ms > bound_ms + STOP_MS {
            let late = ended_ms - acked_ms;
            record.note(&format!(
                "UNASKED: {} run {} runs on until {late} ms after the ack of the cancel",
                it.task, it.run
            ));
            held = false;
        }
    }
    Ok(held)
}

/// Two workers crash one after the other, each while it runs the same task.
fn crash(trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    let deployment = Deployment::start(&["west", "east"], 8, record)?;
    let job = "77d2f3ab87bdd667";
    let posted = submit(&deployment, 0, job, chain(1, 1_500), 15_000);
    let task = format!("{job}.0.0.0");
    let mut run = 1;
    for _ in 0..2 {
        let start = deployment.wait_for_start(&task, run, Duration::from_secs(5));
        let Some(start) = start else { break };
        run = start.run + 1;
        if !trouble {
            break;
        }
        thread::sleep(Duration::from_millis(500));
        let worker = deployment.worker(&start.worker).ok_or("no such worker")?;
        worker.crash();
        thread::sleep(Duration::from_millis(400));
        worker.restart()?;
    }
    let answer = posted.join().map_err(|_| "client failed")?;
    if answer.status != 200 {
        return Err(format!("the job was answered with {}", answer.status).into());
    }
    let state = json::parse(answer.body.as_bytes()).ok_or("no JSON")?;
    let failures = deployment.seen().into_iter();
    let failures = failures.filter(|it| it.ended.is_some_and(|it| it.1 == "failed"));
    let failures = failures.count();
    if state.get("state").text() == "failed" && failures < 3 {
        record.note(&format!(
            "LOST: the job is shown as failed, and {failures} runs have ended failed, of 3 allowed"
        ));
        return Ok(false);
    }
    Ok(state.get("state").text() == "completed")
}

pub fn play(name: &str, trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    match name {
        "cancel" => cancel(trouble, record),
        "crash" => crash(trouble, record),
        _ => Err(format!("no scenario {name}").into()),
    }
}
