//! One entry instance and its stand-ins, each in threads of its own.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::mpsc,
    thread,
};

use bluebellpath::{
    daemon,
    http::{Limits, Request, Response, Server, Service},
    platform::{Instance, Role, State},
    runtime::LocalFuture,
    settings::{Domain, Settings},
};
use bluebellpath_runtime::{Scope, runtime};
use bluebellpath_standin::{Instances, Objects, Table, serve};
use http::StatusCode;

use crate::usage::Cpu;

/// Threads over which the targets are spread.
const TARGET_THREADS: usize = 4;

/// Name of the entry instance's thread, by which profilers tell it apart.
const ENTRY_THREAD: &str = "entry";

/// Slots and connections of each target.
const SLOTS: u32 = 64;

/// How the targets behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Targets {
    /// Reply at once.
    Instant,
    /// Never reply.
    Silent,
}

/// Running entry instance.
pub struct System {
    /// Address for callers.
    pub entry: SocketAddr,
    /// Processor time of the entry instance.
    pub cpu: Cpu,
}

impl System {
    /// Starts the threads, which end with the process.
    pub fn start(targets: usize, behaviour: Targets) -> io::Result<System> {
        let listeners: Vec<TcpListener> = (0..targets)
            .map(|_| loopback())
            .collect::<io::Result<_>>()?;
        let mut instances = Vec::new();
        let mut threads: Vec<Vec<TcpListener>> = Vec::new();
        threads.resize_with(TARGET_THREADS, Vec::new);
        for (index, listener) in listeners.into_iter().enumerate() {
            instances.push(instance(index, listener.local_addr()?));
            threads[index % TARGET_THREADS].push(listener);
        }
        for listeners in threads {
            thread::spawn(move || runtime::block_on(serve_targets(listeners, behaviour)));
        }
        let platform = loopback()?;
        let entry = loopback()?;
        let (address, settings) = (
            entry.local_addr()?,
            Settings::new(
                "bench",
                "bench",
                entry.local_addr()?,
                platform.local_addr()?,
            ),
        );
        thread::spawn(move || runtime::block_on(serve_platform(platform, instances)));
        let (sender, cpu) = mpsc::channel();
        let thread = thread::Builder::new().name(ENTRY_THREAD.to_owned());
        thread.spawn(move || {
            // The receiver waits until the counter is sent.
            let _ = sender.send(Cpu::current());
            runtime::block_on(async {
                let listener = monoio::net::TcpListener::from_std(entry)?;
                let served = daemon::serve(listener, &settings).await;
                served.map_err(io::Error::other)
            })
        })?;
        let cpu = cpu.recv().map_err(io::Error::other)??;
        Ok(System {
            entry: address,
            cpu,
        })
    }
}

async fn serve_platform(listener: TcpListener, instances: Vec<Instance>) {
    let list = Instances::new(instances);
    let service = serve::Platform::new(Table::new(), Objects::new(), list);
    listen(listener, Rc::new(service)).await;
}

async fn serve_targets(listeners: Vec<TcpListener>, behaviour: Targets) {
    let scope = Scope::new();
    let servers: Vec<_> = listeners
        .into_iter()
        .map(|it| scope.spawn(listen(it, Rc::new(Target(behaviour)))))
        .collect();
    for server in servers {
        server.await;
    }
}

async fn listen(listener: TcpListener, service: Rc<dyn Service>) {
    match monoio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            Server::new(listener, service, Limits::default())
                .run()
                .await
        }
        Err(error) => eprintln!("path: stand-in: {error}"),
    }
}

struct Target(Targets);

impl Service for Target {
    fn call(&self, _request: Request) -> LocalFuture<'static, Response> {
        match self.0 {
            Targets::Instant => {
                let response = Response::new(StatusCode::OK).with_body("ok");
                Box::pin(std::future::ready(response))
            }
            Targets::Silent => Box::pin(std::future::pending()),
        }
    }
}

fn loopback() -> io::Result<TcpListener> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn instance(index: usize, address: SocketAddr) -> Instance {
    Instance {
        name: format!("target-{index}"),
        role: Role::Target,
        state: State::Live,
        domain: Domain::new(0),
        rack: index as u32 / 6,
        address,
        slots: SLOTS,
        connections: SLOTS,
    }
}
