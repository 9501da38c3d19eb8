//! Entry instances as processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::http;

/// Command of the deploy file.
const COMMAND: [&str; 3] = [
    "target/release/bluebellpath-entry",
    "--metrics-port",
    "9464",
];

const METRICS_PORT: u16 = 9_464;

/// Processes that are alive.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a play that takes longer than `limit`, and its processes.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the case takes longer than {} s", limit.as_secs());
        for pid in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    PROCESSES.lock().unwrap().retain(|it| *it != child.id());
}

/// Network of one play: loopback addresses and ports that nobody uses.
pub struct Network {
    prefix: String,
    base_port: u16,
}

impl Network {
    /// Network with room for `nodes` entry instances.
    pub fn find(nodes: u8) -> Result<Network, String> {
        let seed = std::process::id();
        for attempt in 0..50_u32 {
            let number = seed.wrapping_mul(31).wrapping_add(attempt * 7);
            let prefix = format!("127.{}.{}", 64 + number % 128, 1 + number / 128 % 250);
            let base_port = 21_000 + u16::try_from(number % 900).unwrap_or(0) * 10;
            let network = Network { prefix, base_port };
            let ports = (base_port..base_port + 8).chain([METRICS_PORT]);
            let is_free = |(node, port): (u8, u16)| {
                let ip = network.ip(node);
                TcpListener::bind(format!("{ip}:{port}")).is_ok()
            };
            let places = (1..=nodes).flat_map(|node| ports.clone().map(move |port| (node, port)));
            if places.into_iter().all(is_free) {
                return Ok(network);
            }
        }
        Err("no free loopback ports".to_owned())
    }

    pub fn ip(&self, number: u8) -> String {
        format!("{}.{number}", self.prefix)
    }
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    health: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    logs: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// Temporary folder that is removed with its content.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|it| it.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

impl Node {
    /// Writes the settings of instance `number` of `zone`.
    pub fn new(
        network: &Network,
        (number, nodes): (u8, u8),
        zone: &str,
        (store, root, folder): (SocketAddr, &str, &Path),
        record: &Arc<Record>,
    ) -> Result<Node, String> {
        let (ip, port) = (network.ip(number), network.base_port);
        let name = format!("edge-{zone}-{number}");
        let seeds: Vec<_> = (1..=nodes.min(3))
            .map(|it| format!("\"{}:{}\"", network.ip(it), port + 2))
            .collect();
        let text = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"here\"\nport_range = [{},{}]\nseeds = [{}]\nbootstrap = true\n\
             fault_counted = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = 1500\norders = \"call\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\
             \"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
             [zones]\nnorth = \"here\"\nsouth = \"here\"\n\
             [listen]\nfront = \"{ip}:{port}\"\nhealth_addr = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
             recovery_s = 12\nmax_hold_ms = 1000\nstop_ms = 50\ngang_wait_ms = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n\
             status_s = 120\nfar_factor = 1.5\ncheckpoint_s = 2\nrestore_ms = 600\n\
             notice_ms = 4500\nmove_s = 1.5\nmaintenance_s = 2\nrequire_fence = true\n\
             lease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\n\
             resend_ms = 1300\n\
             [platform]\naddr = \"{store}\"\nform = \"table\"\nwrites_per_s = 600\n\
             reads_per_s = 2000\ntxn_latency_ms = 8.0\npart_iops_s = 150\nrow_bytes = 65536\n\
             across = false\nhistory_s = 20\n",
            port + 4,
            port + 7,
            seeds.join(","),
            port + 1,
            port + 2,
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(|it| it.to_string())?;
        let address = |port: u16| {
            format!("{ip}:{port}")
                .parse()
                .map_err(|_| "address".to_owned())
        };
        Ok(Node {
            front: address(port)?,
            health: address(port + 1)?,
            settings,
            root: root.into(),
            logs: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
            name,
        })
    }

    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.logs);
        let log = log.map_err(|it| it.to_string())?;
        let mut command = Command::new(self.root.join(COMMAND[0]));
        command
            .args(&COMMAND[1..])
            .current_dir(&self.root)
            .env_clear();
        command
            .env("BLUEBELLPATH_BOOT", &self.settings)
            .stdin(Stdio::null());
        command.stdout(log).stderr(Stdio::null());
        let child = command.spawn().map_err(|it| it.to_string())?;
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record
            .line(&format!("process of {} starts", self.name));
        Ok(())
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            end(child);
            self.record
                .line(&format!("process of {} is killed", self.name));
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status();
            self.record
                .line(&format!("{name} to the process of {}", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::send(
            self.health,
            "GET",
            "/-/readyz",
            &[],
            "",
            Duration::from_millis(500),
        );
        answer.is_ok_and(|it| it.0 == 200)
    }

    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready() {
                return Ok(());
            }
            let ended = self.child.as_mut().map(|it| it.try_wait());
            if let Some(Ok(Some(status))) = ended {
                return Err(format!("{} ended: {status}", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready after 10 s", self.name))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = self.child.take() {
            end(child);
        }
    }
}
