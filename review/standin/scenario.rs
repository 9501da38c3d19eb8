//! The cases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{self, Server};
use crate::node::{Folder, Network, Node};
use crate::store::Store;
use crate::worker::{Kind, Worker};

/// Time after which a client sends a best-effort job again, `resend_ms` of the settings.
const RESEND: Duration = Duration::from_millis(1_300);

const HOST: &str = "jobs.example";
const PREFIX: &str = "/jobs/";
const SERVICE: &str = "pool";

struct World {
    nodes: Vec<Node>,
    workers: Vec<Arc<Worker>>,
    record: Arc<Record>,
    network: Network,
    store: Arc<Store>,
    _store_server: Server,
    _folder: Folder,
}

fn kind(cpu: u64, labels: &[&str]) -> Kind {
    Kind {
        cpu,
        labels: labels.iter().map(|it| (*it).to_owned()).collect(),
    }
}

impl World {
    /// Deployment with an entry instance for each of `zones`, all of them ready.
    fn start(root: &str, zones: &[&str], record: &Arc<Record>) -> Result<World, String> {
        let folder = Folder::create()?;
        let count = u8::try_from(zones.len()).map_err(|it| it.to_string())?;
        let network = Network::find(count)?;
        let store = Store::new();
        let handling = store.clone();
        let address = format!("{}:0", network.ip(200))
            .parse()
            .map_err(|_| "address")?;
        let handler = Arc::new(move |it| handling.handle(it));
        let (server, address) = Server::start(address, handler).map_err(|it| it.to_string())?;
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
             \"path_prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":8000,\
             \"target_latency_ms\":60,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"max_attempts\":3,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"enforces_capacity\":false,\"spare\":false}}],\"limits\":\
             {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}"
        );
        store.put("op", "config", &config);
        let mut nodes = Vec::new();
        for (number, zone) in (1..).zip(zones) {
            let place = (address, root, folder.0.as_path());
            nodes.push(Node::new(&network, (number, count), zone, place, record)?);
        }
        Ok(World {
            nodes,
            workers: Vec::new(),
            record: record.clone(),
            network,
            store,
            _store_server: server,
            _folder: folder,
        })
    }

    fn add_workers(&mut self, zone: &str, count: usize, kind: &Kind) {
        for _ in 0..count {
            let number = self.workers.len() + 1;
            let ip = self.network.ip(100);
            let id = format!("i-{number:04x}");
            let (store, record) = (&self.store, &self.record);
            let worker = Worker::start(&id, zone, SERVICE, &ip, kind.clone(), store, record);
            self.workers.push(worker);
        }
    }

    fn start_nodes(&mut self) -> Result<(), String> {
        self.nodes.iter_mut().try_for_each(Node::start)?;
        self.nodes.iter_mut().try_for_each(Node::wait_until_ready)?;
        // Loads and targets are known everywhere after some heartbeats.
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// Waits until nothing is at work.
    fn settle(&self) {
        let deadline = Instant::now() + Duration::from_secs(8);
        while self.record.running() > 0 && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Client that hands one job in, and again [`RESEND`] after a broken channel, a 502 or
/// a 504.
struct Job {
    id: String,
    body: String,
    deadline: Duration,
}

impl Job {
    fn new(number: u64, tasks: u32, cpu: u32, ms: u32, label: &str) -> Job {
        let mut spec = format!("ms={ms} cpu={cpu}");
        let mut constraint = String::new();
        if !label.is_empty() {
            spec += &format!(" label={label}");
            constraint = format!(",\"constraints\":\"{label}\"");
        }
        let body = format!(
            "{{\"spec\":\"{spec}\",\"best_effort\":true,\"steps\":[{{\"count\":{tasks},\
             \"cpu\":{cpu},\"mem_mb\":64,\"estimate_ms\":{ms}{constraint}}}]}}"
        );
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        Job {
            id,
            body,
            deadline: Duration::from_millis(8_000),
        }
    }

    /// Sends the job to each of `fronts` in turn until it is answered for good.
    fn hand_in(&self, fronts: &[SocketAddr], record: &Record) -> Option<u16> {
        for (attempt, front) in fronts.iter().enumerate() {
            if attempt > 0 {
                thread::sleep(RESEND);
            }
            record.line(&format!(
                "job {} is sent to {front}, try {}",
                self.id,
                attempt + 1
            ));
            let headers = [
                ("Host", HOST.to_owned()),
                ("Content-Type", "application/json".to_owned()),
                ("Deadline-Ms", self.deadline.as_millis().to_string()),
            ];
            let path = format!("{PREFIX}{}", self.id);
            match http::send(*front, "POST", &path, &headers, &self.body, self.deadline) {
                Ok((status, body)) => {
                    record.line(&format!("job {} is answered {status} {body}", self.id));
                    if status != 502 && status != 504 {
                        return Some(status);
                    }
                }
                Err(error) => record.line(&format!("job {}: channel broken: {error}", self.id)),
            }
        }
        None
    }
}

pub fn play(name: &str, root: &str, trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    match name {
        "restart" => restart(root, trouble, record),
        "paused" => paused(root, trouble, record),
        "unnoticed" => unnoticed(root, trouble, record),
        "smaller" => reborn(root, trouble, record, false),
        "relabelled" => reborn(root, trouble, record, true),
        _ => Err(format!("no case {name}")),
    }
}

/// A process that holds workers and has a job of a client in progress is killed, and
/// starts again after a short delay, `RESTART_MS` milliseconds if that variable is set.
/// The client sends its job again. With `AGAIN_MS` the process is killed once more, that
/// many milliseconds after it has started again.
fn restart(root: &str, trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let again = std::env::var("AGAIN_MS")
        .ok()
        .and_then(|it| it.parse().ok());
    let delay = std::env::var("RESTART_MS")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(840);
    let mut world = World::start(root, &["north", "north", "south"], record)?;
    world.add_workers("north", 8, &kind(8_000, &["a", "r1"]));
    world.add_workers("south", 4, &kind(8_000, &["a", "r2"]));
    world.start_nodes()?;
    let mut served = 0;
    for round in 0..8_u64 {
        let job = Job::new(round + 1, 8, 2_000, 2_500, "");
        let victim = usize::try_from(round % 2).unwrap_or(0);
        let fronts = [world.nodes[victim].front, world.nodes[1 - victim].front];
        let client: JoinHandle<Option<u16>> = {
            let record = record.clone();
            thread::spawn(move || job.hand_in(&fronts, &record))
        };
        thread::sleep(Duration::from_millis(200));
        if trouble {
            world.nodes[victim].kill();
            thread::sleep(Duration::from_millis(delay));
            world.nodes[victim].start()?;
            if let Some(again) = again {
                thread::sleep(Duration::from_millis(again));
                world.nodes[victim].kill();
                thread::sleep(Duration::from_millis(delay));
                world.nodes[victim].start()?;
            }
        }
        served += u64::from(client.join().ok().flatten() == Some(200));
        world.settle();
        world.nodes[victim].wait_until_ready()?;
        thread::sleep(Duration::from_secs(1));
        if !record.broken().is_empty() {
            break;
        }
    }
    record.line(&format!("{served} jobs were served"));
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    Ok(())
}

/// A process that holds workers stands still for a second. Its neighbour takes the
/// workers over. Shortly before the process goes on, one of the workers is cut off from
/// all machines.
fn paused(root: &str, trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let number = |name, default| {
        std::env::var(name)
            .ok()
            .and_then(|it| it.parse().ok())
            .unwrap_or(default)
    };
    let (pause, lead) = (
        number("PAUSE_MS", 1_000_u64),
        number("CUT_LEAD_MS", 150_u64),
    );
    let mut world = World::start(root, &["north", "north", "south"], record)?;
    world.add_workers("north", 6, &kind(8_000, &["a", "r1"]));
    world.add_workers("south", 3, &kind(8_000, &["a", "r2"]));
    world.start_nodes()?;
    let mut served = 0;
    for round in 0..6_u64 {
        // The tasks fill four of the six workers, so that both instances have some.
        let job = Job::new(round + 1, 16, 2_000, 2_500, "");
        let fronts = [world.nodes[0].front];
        let client: JoinHandle<Option<u16>> = {
            let record = record.clone();
            thread::spawn(move || job.hand_in(&fronts, &record))
        };
        thread::sleep(Duration::from_millis(300));
        if trouble {
            world.nodes[1].signal("STOP");
            thread::sleep(Duration::from_millis(pause - lead));
            let victim = world.workers[usize::try_from(round % 6).unwrap_or(0)].clone();
            victim.set_cut(true);
            thread::sleep(Duration::from_millis(lead));
            world.nodes[1].signal("CONT");
            thread::sleep(Duration::from_millis(2_500));
            victim.set_cut(false);
        }
        served += u64::from(client.join().ok().flatten() == Some(200));
        world.settle();
        if !record.broken().is_empty() {
            break;
        }
        thread::sleep(Duration::from_secs(3));
    }
    record.line(&format!("{served} jobs were served"));
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    Ok(())
}

/// A worker is cut off for a moment, crashes behind the cut and starts again under its id.
/// A job comes right after it is reached again.
fn unnoticed(root: &str, trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let cut = std::env::var("CUT_MS")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(150);
    let mut served = 0;
    for round in 0..8_u64 {
        let mut world = World::start(root, &["north", "north", "south"], record)?;
        world.add_workers("north", 4, &kind(8_000, &["a", "r1"]));
        world.add_workers("south", 4, &kind(8_000, &["a", "r2"]));
        world.start_nodes()?;
        if trouble {
            let victim = &world.workers[usize::try_from(round % 4).unwrap_or(0)];
            victim.set_cut(true);
            thread::sleep(Duration::from_millis(cut));
            victim.crash_behind_cut(kind(8_000, &["a", "r1"]));
        }
        // The tasks fill the workers of the zone.
        let job = Job::new(round + 1, 16, 2_000, 1_500, "");
        let front = world.nodes[usize::try_from(round % 2).unwrap_or(0)].front;
        served += u64::from(job.hand_in(&[front], record) == Some(200));
        world.settle();
        if !record.broken().is_empty() {
            break;
        }
    }
    record.line(&format!("{served} jobs were served"));
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    Ok(())
}

/// A worker crashes and starts again under its id, as another kind: with half of its
/// capacity, or with another label. A job comes every 300 ms all the while; its tasks
/// just fill the workers of one zone.
fn reborn(root: &str, trouble: bool, record: &Arc<Record>, relabel: bool) -> Result<(), String> {
    let mut world = World::start(root, &["north", "north", "south"], record)?;
    world.add_workers("north", 3, &kind(8_000, &["a", "r1"]));
    world.add_workers("south", 5, &kind(8_000, &["a", "r2"]));
    world.start_nodes()?;
    let label = if relabel { "a" } else { "" };
    let fronts: Vec<_> = world.nodes.iter().take(2).map(|it| it.front).collect();
    let (stopped, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let load = {
        let (stopped, served, record) = (stopped.clone(), served.clone(), record.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            let mut number = 0;
            while !stopped.load(Ordering::SeqCst) {
                number += 1;
                let job = Job::new(number, 12, 2_000, 150, label);
                let front = fronts[usize::try_from(number % 2).unwrap_or(0)];
                let (served, record) = (served.clone(), record.clone());
                clients.push(thread::spawn(move || {
                    if job.hand_in(&[front], &record) == Some(200) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                }));
                thread::sleep(Duration::from_millis(300));
            }
            clients.into_iter().for_each(|it| drop(it.join()));
        })
    };
    thread::sleep(Duration::from_secs(2));
    let victim = world.workers[0].clone();
    for round in 0..4 {
        if round > 0 {
            // Back to the kind that it had.
            victim.crash();
            thread::sleep(Duration::from_millis(500));
            victim.come_up(kind(8_000, &["a", "r1"]));
            thread::sleep(Duration::from_secs(6));
        }
        if trouble {
            victim.crash();
            thread::sleep(Duration::from_millis(500));
            victim.come_up(match relabel {
                true => kind(8_000, &["b", "r1"]),
                false => kind(4_000, &["a", "r1"]),
            });
        }
        thread::sleep(Duration::from_secs(4));
        if !trouble || !record.broken().is_empty() {
            break;
        }
    }
    stopped.store(true, Ordering::SeqCst);
    let _ = load.join();
    let served = served.load(Ordering::SeqCst);
    record.line(&format!("{served} jobs were served"));
    if served == 0 {
        return Err("no job was served".to_owned());
    }
    Ok(())
}
