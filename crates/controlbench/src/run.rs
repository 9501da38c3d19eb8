//! One measurement.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use bluebellpath::{
    config::{Document, LocalConfig},
    entry::{Config, Dependencies, Entry},
    http::{Budget, Client, ClientConfig, Limits, Server},
    job::Incarnation,
    log,
    peer::{self, Key, Net},
    platform::{self, Instance, Role, State},
    settings::Domain,
    target,
};
use bluebellpath_runtime::{Scope, clock, runtime};
use bluebellpath_standin::{Instances, Objects, Table, serve};
use serde::{Deserialize, Serialize};

use crate::platform::{Counted, Traffic};

/// Time before a measurement in which everybody has heard of everybody.
const SETTLE: Duration = Duration::from_secs(6);

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that UDP and IP add to a datagram.
const DATAGRAM_BYTES: u64 = 28;

/// Bytes that TCP and IP add to a request, its response and an acknowledgement.
const EXCHANGE_BYTES: u64 = 3 * 52;

/// Size of a system.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Size {
    /// Entry instances in all.
    pub entries: u16,
    /// Targets in all.
    pub targets: u16,
    /// Failure domains, over which both are spread evenly.
    pub domains: u16,
}

/// What one entry instance costs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Size at which it was measured.
    pub size: Size,
    /// Datagrams sent in a second.
    pub datagrams: f64,
    /// Bytes sent in datagrams in a second, headers included.
    pub gossip_bytes: f64,
    /// Requests to the platform in a second.
    pub requests: f64,
    /// Bytes to and from the platform in a second, headers included.
    pub platform_bytes: f64,
    /// Share of a core, in percent.
    pub core_percent: f64,
    /// Memory in KiB.
    pub memory_kib: f64,
}

impl Row {
    /// Control bytes in a second that the instance sends or asks for.
    pub fn bytes(&self) -> f64 {
        self.gossip_bytes + self.platform_bytes
    }
}

/// Runs a system of `size` and measures it for `seconds`.
pub fn measure(size: Size, seconds: u64) -> io::Result<Row> {
    let traffic = Arc::new(Traffic::default());
    let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    platform.set_nonblocking(true)?;
    let address = platform.local_addr()?;
    let ports: Vec<SocketAddr> = (0..size.entries)
        .map(|it| free_port(it, size.domains))
        .collect::<io::Result<_>>()?;
    let instances = instances(size, &ports);
    let counted = traffic.clone();
    thread::spawn(move || runtime::block_on(stand_in(platform, instances, counted)));
    // A thread of its own: its processor time is the entries' alone.
    let measuring =
        thread::spawn(move || runtime::block_on(entries(size, ports, address, &traffic, seconds)));
    let measured = measuring.join();
    measured.map_err(|_| io::Error::other("a measurement panicked"))?
}

async fn entries(
    size: Size,
    ports: Vec<SocketAddr>,
    platform: SocketAddr,
    traffic: &Traffic,
    seconds: u64,
) -> io::Result<Row> {
    let before = memory_kib()?;
    let scope = Scope::new();
    let mut entries = Vec::new();
    for (index, port) in ports.into_iter().enumerate() {
        let entry = entry(index as u16, size, port, platform)?;
        let started = entry.clone();
        drop(scope.spawn(async move { started.start() }));
        entries.push(entry);
    }
    clock::sleep(SETTLE).await;
    let from = Counts::now(&entries, traffic)?;
    clock::sleep(Duration::from_secs(seconds)).await;
    let to = Counts::now(&entries, traffic)?;
    let memory = memory_kib()?.saturating_sub(before);
    let least = usize::from(size.entries / size.domains) - 1;
    let peers = entries.iter().map(|it| it.membership().peers().len());
    let missing = peers.filter(|it| *it < least).count();
    scope.kill();
    if missing > 0 {
        return Err(io::Error::other(format!("{missing} entries lack peers")));
    }
    let rate = |it: u64| it as f64 / seconds as f64 / f64::from(size.entries);
    let datagrams = to.datagrams - from.datagrams;
    let requests = to.requests - from.requests;
    Ok(Row {
        size,
        datagrams: rate(datagrams),
        gossip_bytes: rate(to.bytes - from.bytes + datagrams * DATAGRAM_BYTES),
        requests: rate(requests),
        platform_bytes: rate(to.platform - from.platform + requests * EXCHANGE_BYTES),
        core_percent: rate(to.cpu_ns - from.cpu_ns) / 1e7,
        memory_kib: memory as f64 / f64::from(size.entries),
    })
}

struct Counts {
    datagrams: u64,
    bytes: u64,
    requests: u64,
    platform: u64,
    cpu_ns: u64,
}

impl Counts {
    fn now(entries: &[Entry], traffic: &Traffic) -> io::Result<Counts> {
        let tallies: Vec<_> = entries.iter().map(|it| it.membership().traffic()).collect();
        Ok(Counts {
            datagrams: tallies.iter().map(|it| it.sent).sum(),
            bytes: tallies.iter().map(|it| it.sent_bytes).sum(),
            requests: traffic.requests.load(Ordering::Relaxed),
            platform: traffic.bytes.load(Ordering::Relaxed),
            cpu_ns: cpu_ns()?,
        })
    }
}

fn entry(index: u16, size: Size, port: SocketAddr, platform: SocketAddr) -> io::Result<Entry> {
    let client = Client::new(ClientConfig::default());
    let service = platform::http::Http::new(client.clone(), platform, PLATFORM_TIMEOUT);
    let service = Rc::new(service);
    let key = Key::new("a key for measurements");
    let net = Net::bind(port, key, peer::net::Config::default())?;
    let env = Dependencies {
        table: service.clone(),
        object_store: service.clone(),
        instance_list: service,
        target_client: Rc::new(target::Http::new(client)),
        link: Rc::new(net),
        config: Rc::new(LocalConfig::new(1, Document::default())),
        callers: Budget::unlimited(),
        log: log::discard(),
    };
    let incarnation = Incarnation::new(clock::wall(), u32::from(index));
    let config = Config {
        domain: Domain::new(index % size.domains),
        domain_count: size.domains,
        membership: peer::Config {
            key,
            ..peer::Config::default()
        },
        ..Config::new(&entry_name(index), incarnation, port)
    };
    Ok(Entry::new(config, env))
}

async fn stand_in(listener: TcpListener, instances: Vec<Instance>, traffic: Arc<Traffic>) {
    let Ok(listener) = monoio::net::TcpListener::from_std(listener) else {
        return;
    };
    let list = Instances::new(instances);
    let service = serve::Platform::new(Table::new(), Objects::new(), list);
    let counted = Counted::new(Rc::new(service), traffic);
    let limits = Limits::default();
    Server::new(listener, Rc::new(counted), limits).run().await;
}

fn instances(size: Size, ports: &[SocketAddr]) -> Vec<Instance> {
    let instance = |name: String, role, index: u16, address| Instance {
        name,
        role,
        state: State::Live,
        domain: Domain::new(index % size.domains),
        rack: u32::from(index / 6),
        address,
        slots: 8,
        connections: 64,
    };
    let entries = ports.iter().enumerate().map(|(index, address)| {
        let index = index as u16;
        instance(entry_name(index), Role::Entry, index, *address)
    });
    let target = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let targets =
        (0..size.targets).map(|it| instance(format!("target-{it:05}"), Role::Target, it, target));
    entries.chain(targets).collect()
}

fn entry_name(index: u16) -> String {
    format!("entry-{index:03}")
}

fn free_port(index: u16, domains: u16) -> io::Result<SocketAddr> {
    let [_, domain] = (index % domains).to_be_bytes();
    let [_, index] = index.to_be_bytes();
    let address = Ipv4Addr::new(127, 1, domain, index);
    TcpListener::bind((address, 0))?.local_addr()
}

/// Processor time of this thread in nanoseconds.
fn cpu_ns() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next();
    first
        .and_then(|it| it.parse().ok())
        .ok_or_else(|| io::Error::other("schedstat without processor time"))
}

/// Resident memory of this process in KiB.
fn memory_kib() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok())
        .ok_or_else(|| io::Error::other("status without resident memory"))
}
