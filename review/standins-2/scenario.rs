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
    store: Arc<Store>,
    /// Address at which nobody listens.
    other_ip: String,
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
            store,
            other_ip: network.other_ip(),
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

/// Time from the submission of a job to its cancel.
const CANCEL_AFTER: Duration = Duration::from_millis(800);

/// One of five jobs is cancelled while it runs.
fn cancel(trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    let deployment = Deployment::start(&["west", "east"], 4, record)?;
    let others: Vec<_> = (1..5)
        .map(|it| {
            let job = format!("5c0e7a21d94b36{it:02x}");
            submit(&deployment, it % 2, &job, chain(4, 2_000), 20_000)
        })
        .collect();
    let job = "5c0e7a21d94b36f8";
    let posted = submit(&deployment, 0, job, chain(4, 2_000), 20_000);
    let submitted = Instant::now();
    let first = format!("{job}.0.0.0");
    let start = deployment.wait_for_start(&first, 1, CANCEL_AFTER);
    start.ok_or("the job did not start in time")?;
    thread::sleep(CANCEL_AFTER.saturating_sub(submitted.elapsed()));
    let completed = |it: Response| it.status == 200 && it.body.contains("completed");
    let all_completed = |others: Vec<thread::JoinHandle<Response>>| {
        let mut others = others.into_iter();
        others.all(|it| it.join().is_ok_and(completed))
    };
    if !trouble {
        let answer = posted.join().map_err(|_| "client failed")?;
        return match completed(answer) && all_completed(others) {
            true => Ok(true),
            false => Err("a job that nobody cancelled was not completed".into()),
        };
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
    if !all_completed(others) {
        return Err("a job that nobody cancelled was not completed".into());
    }
    let bound_ms = acked_ms + CANCEL_MS;
    let mut held = true;
    let seen = deployment.seen().into_iter();
    for it in seen.filter(|it| it.task.starts_with(job)) {
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

/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);

/// Entries of another writer, and the size of each.
const FOREIGN_ENTRIES: usize = 20;
const FOREIGN_BYTES: usize = 48_000;

/// Workers of another product.
const OTHER_WORKERS: usize = 300;

/// Submits short jobs to all instances in turn, and returns how many are served.
fn served(deployment: &Deployment, first: u64, count: u64) -> Result<u64, Fault> {
    let mut served = 0;
    for number in first..first + count {
        let entry = number as usize % deployment.entries.len();
        let job = format!("{:016x}", 0x4b36_f800_0000_0000 + number);
        let posted = submit(deployment, entry, &job, chain(1, 100), 1_500);
        let answer = posted.join().map_err(|_| "client failed")?;
        served += u64::from(answer.status == 200 && answer.body.contains("completed"));
    }
    Ok(served)
}

/// Another writer has entries among those of the workers that can't be read, and all
/// processes are killed.
fn foreign(trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    recover(trouble, record, |deployment| {
        let junk: Vec<u8> = (0..FOREIGN_BYTES).map(|it| 128 + (it % 97) as u8).collect();
        for number in 0..FOREIGN_ENTRIES {
            let key = format!("agent {number:02}");
            deployment.store.put("servers", &key, &junk);
        }
        format!("another writer has {FOREIGN_ENTRIES} entries of {FOREIGN_BYTES} bytes")
    })
}

/// Workers of another product register in the same table, for a service that is not
/// named in the desired state, and all processes are killed.
fn service(trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    recover(trouble, record, |deployment| {
        for number in 0..OTHER_WORKERS {
            let zone = ["west", "east"][number % 2];
            // Nobody listens there.
            let address = format!("{}:{}", deployment.other_ip, 1_000 + number);
            let entry = format!(
                "{{\"service\":\"appraisal\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"capacity\":{{\"cpu\":64000,\"mem_mb\":262144,\"gpu\":0}},\
                 \"labels\":[\"a\",\"r9-1\"],\"born\":1790000000000,\"clock_ms\":1,\"seq\":1}}"
            );
            let key = format!("appraisal-{number:04}");
            deployment.store.put("servers", &key, entry.as_bytes());
        }
        format!("{OTHER_WORKERS} entries name a service that is not in the desired state")
    })
}

/// Whether a quarter of the jobs is served after all processes were killed, with
/// entries of another writer under `servers/`.
fn recover(
    trouble: bool,
    record: &Arc<Record>,
    write: impl Fn(&Deployment) -> String,
) -> Result<bool, Fault> {
    let mut deployment = Deployment::start(&["west", "east"], 4, record)?;
    let count = 20;
    let before = served(&deployment, 0, count)?;
    record.note(&format!("{before} of {count} served"));
    if trouble {
        let what = write(&deployment);
        record.note(&what);
        thread::sleep(Duration::from_secs(3));
        let with = served(&deployment, 100, count)?;
        record.note(&format!("{with} of {count} served"));
    }
    deployment.entries.iter_mut().for_each(Entry::kill);
    record.note("all processes are killed");
    thread::sleep(Duration::from_secs(1));
    for entry in &mut deployment.entries {
        entry.start()?;
    }
    record.note("all processes run again");
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let after = served(&deployment, 200, count)?;
    record.note(&format!("{after} of {count} served"));
    if before * 4 < count {
        return Err("under a quarter was served before".into());
    }
    if after * 4 < count {
        record.note("RECOVER: under a quarter is served after recovery_s");
        let entry = &deployment.entries[0];
        let log = entry.log();
        let is_cause = |it: &&str| it.contains("store lost") || it.contains("no usable target");
        let last = log.lines().rev().find(is_cause);
        record.note(&format!("log of {}: {}", entry.name, last.unwrap_or("")));
        return Ok(false);
    }
    Ok(true)
}

/// `drain_ms` of the settings.
const DRAIN_MS: u64 = 2_000;

/// Entries of another writer that come at once.
const HERD_ENTRIES: usize = 160;

/// A worker is drained just after another writer has written many entries.
fn drain(trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    let deployment = Deployment::start(&["west", "east"], 16, record)?;
    thread::sleep(Duration::from_secs(1));
    if trouble {
        let junk: Vec<u8> = (0..FOREIGN_BYTES).map(|it| 128 + (it % 97) as u8).collect();
        for number in 0..HERD_ENTRIES {
            let key = format!("agent-{number:03}");
            deployment.store.put("servers", &key, &junk);
        }
        record.note(&format!(
            "another writer has {HERD_ENTRIES} entries of {FOREIGN_BYTES} bytes"
        ));
    }
    let worker = &deployment.workers[0];
    worker.drain();
    let acked_ms = record.now_ms();
    let mut posted = Vec::new();
    while record.now_ms() < acked_ms + 10_000 {
        let number = posted.len();
        let job = format!("{:016x}", 0x4b36_f800_0000_0000_u64 + number as u64);
        let entry = number % deployment.entries.len();
        let body = r#"{"spec":"400","steps":[{"count":6,"cpu":27000,"mem_mb":64,"estimate_ms":400}],"best_effort":true}"#;
        posted.push(submit(&deployment, entry, &job, body.to_owned(), 1_500));
        thread::sleep(Duration::from_millis(125));
    }
    let count = posted.len();
    let answers = posted.into_iter().filter_map(|it| it.join().ok());
    let served = answers.filter(|it| it.status == 200).count();
    record.note(&format!("{served} of {count} served"));
    let seen = deployment.seen();
    let there = seen.iter().filter(|it| it.worker == worker.id);
    let late: Vec<_> = there
        .filter(|it| it.started_ms > acked_ms + DRAIN_MS)
        .collect();
    if let Some(last) = late.last() {
        record.note(&format!(
            "DRAIN: {} starts on {} later than {DRAIN_MS} ms after the ack, the last one {} ms after it",
            late.len(),
            worker.id,
            last.started_ms - acked_ms
        ));
        return Ok(false);
    }
    if served * 2 <= count {
        return Err("under half of the jobs were served".into());
    }
    Ok(true)
}

pub fn play(name: &str, trouble: bool, record: &Arc<Record>) -> Result<bool, Fault> {
    match name {
        "cancel" => cancel(trouble, record),
        "foreign" => foreign(trouble, record),
        "service" => service(trouble, record),
        "drain" => drain(trouble, record),
        _ => Err(format!("no scenario {name}").into()),
    }
}
