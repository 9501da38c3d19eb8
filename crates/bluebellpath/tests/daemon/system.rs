//! Daemon and stand-ins in threads.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::net::UnixStream,
    rc::Rc,
    thread::{self, JoinHandle},
    time::Duration,
};

use bluebellpath::{
    daemon::{self, Stops},
    entry::PendingWork,
    http::{Limits, Server, Service},
    platform::{Instance, Role, State},
    settings::{Domain, Drain, Settings},
};
use bluebellpath_runtime::{Scope, runtime};
use bluebellpath_standin::{Instances, Objects, Table, Targets, serve};

use crate::caller::Caller;

/// How a daemon ended.
#[derive(Debug)]
pub struct End {
    pub clean: bool,
    pub left: PendingWork,
}

/// Running daemon.
pub struct System {
    pub address: SocketAddr,
    stop: UnixStream,
    daemon: JoinHandle<End>,
}

/// Settings of a test, with short times.
pub fn settings() -> Settings {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let times = Duration::from_secs(1);
    Settings {
        drain: Drain {
            grace: Duration::from_millis(200),
            limit: Duration::from_secs(20),
        },
        http: Limits {
            head_bytes: 4 << 10,
            body_bytes: 64 << 10,
            idle: Duration::from_secs(30),
            message: times,
            write: times,
        },
        log_level: slog::Level::Error,
        ..Settings::new("test", "test", nowhere, nowhere)
    }
}

impl System {
    /// Starts a daemon with `settings`, but on free addresses, and waits until
    /// it is ready.
    pub fn start(mut settings: Settings) -> System {
        let (target, platform, entry) = (loopback(), loopback(), loopback());
        settings.listen = address(&entry);
        settings.platform = address(&platform);
        let instance = instance(address(&target));
        let listed = instance.clone();
        thread::spawn(move || {
            runtime::block_on(async move {
                let list = Instances::new(vec![listed]);
                let service = serve::Platform::new(Table::new(), Objects::new(), list);
                let scope = Scope::new();
                let targets = serve::Target::new(Targets::new(Duration::ZERO), instance);
                drop(scope.spawn(listen(target, Rc::new(targets))));
                listen(platform, Rc::new(service)).await;
            });
        });
        let (stop, stops) = UnixStream::pair().expect("a pipe");
        let address = settings.listen;
        let daemon = thread::spawn(move || {
            runtime::block_on(async move {
                let listener = monoio::net::TcpListener::from_std(entry).expect("a listener");
                let stops = Stops::pipe(stops).expect("a pipe");
                let stopped = daemon::serve_until(listener, &settings, stops).await;
                let stopped = stopped.expect("the settings are valid");
                End {
                    clean: stopped.is_clean(),
                    left: stopped.left(),
                }
            })
        });
        let system = System {
            address,
            stop,
            daemon,
        };
        while system.caller().get("/health/ready").status != 204 {
            thread::sleep(Duration::from_millis(5));
        }
        system
    }

    /// New connection to the daemon.
    pub fn caller(&self) -> Caller {
        Caller::connect(self.address).expect("the daemon listens")
    }

    /// Asks the daemon to stop.
    pub fn stop(&mut self) {
        self.stop.write_all(b"x").expect("the daemon reads");
    }

    /// Waits for the daemon's end.
    pub fn end(self) -> End {
        self.daemon.join().expect("the daemon does not panic")
    }
}

async fn listen(listener: TcpListener, service: Rc<dyn Service>) {
    let listener = monoio::net::TcpListener::from_std(listener).expect("a listener");
    Server::new(listener, service, Limits::default())
        .run()
        .await;
}

fn loopback() -> TcpListener {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound socket")
}

fn instance(address: SocketAddr) -> Instance {
    Instance {
        name: "target".to_owned(),
        role: Role::Target,
        state: State::Live,
        domain: Domain::new(0),
        rack: 0,
        address,
        slots: 64,
        connections: 64,
    }
}
