//! Entry instances, as processes with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends SIGKILL to all processes that run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Ports of one instance.
const PORTS: u16 = 8;

/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9_464;

/// Loopback network that nobody uses: an address for each instance, the same ports on
/// all of them.
pub struct Network {
    prefix: String,
    port: u16,
}

impl Network {
    pub fn find(instances: usize) -> io::Result<Network> {
        let id = std::process::id();
        for attempt in 0..100 {
            let number = id.wrapping_mul(31).wrapping_add(attempt * 7);
            let network = Network {
                prefix: format!("127.{}.{}", 64 + number % 128, 1 + number / 128 % 250),
                port: 21_000 + (number % 900) as u16 * 10,
            };
            let ports = (0..PORTS).map(|it| network.port + it).chain([METRICS_PORT]);
            let places = ports.flat_map(|port| (0..instances).map(move |it| (it, port)));
            let mut addresses = places.map(|(it, port)| format!("{}:{port}", network.ip(it)));
            if addresses.all(|it| TcpListener::bind(it).is_ok()) {
                return Ok(network);
            }
        }
        Err(io::Error::other("no free loopback addresses"))
    }

    /// Address of the stand-ins.
    pub fn stand_in_ip(&self) -> String {
        format!("{}.250", self.prefix)
    }

    /// Address at which nobody listens.
    pub fn other_ip(&self) -> String {
        format!("{}.251", self.prefix)
    }

    fn ip(&self, instance: usize) -> String {
        format!("{}.{}", self.prefix, instance + 1)
    }
}

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    /// Instance `number` in `zone`, which does not run yet.
    pub fn new(
        network: &Network,
        number: usize,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Entry> {
        let name = format!("edge-{zone}-{}", number + 1);
        let (ip, port) = (network.ip(number), network.port);
        let (front, health, control) = (
            format!("{ip}:{port}"),
            format!("{ip}:{}", port + 1),
            format!("{ip}:{}", port + 2),
        );
        let seed = format!("{}:{}", network.ip(0), port + 2);
        let text = format!(
            r#"node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "region"
port_range = [{}, {}]
seeds = ["{seed}"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
orders = "call"
[listen]
front = "{front}"
health_addr = "{health}"
control = "{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
max_hold_ms = 1000
stop_ms = 50
cancel_ms = 3000
visible_ms = 3000
far_factor = 1.5
lease_ms = 3000
resend_ms = 1300
[platform]
addr = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
"#,
            port + 4,
            port + 7
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let address = |it: String| it.parse().map_err(io::Error::other);
        Ok(Entry {
            front: address(front)?,
            health: address(health)?,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            name,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/bluebellpath-entry")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("BLUEBELLPATH_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|it| *it != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the instance reports that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let target = ("GET", "health", "/-/readyz");
            if http::call(self.health, target, "", 500).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
