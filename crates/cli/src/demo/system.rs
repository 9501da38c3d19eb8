//! Stand-ins and an entry instance in threads of this process.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bluebellpath::{
    daemon,
    http::{Limits, Request, Response, Server, Service},
    platform::{Instance, Role, State},
    runtime::LocalFuture,
    settings::{Domain, Settings},
};
use bluebellpath_runtime::{Scope, runtime};
use bluebellpath_standin::{Behaviour, Instances, Objects, Table, Targets, serve};

/// Slowness of the targets, in thousandths of nominal.
const SLOWNESS_PERMILLE: [u32; 4] = [1000, 1000, 1500, 2500];

/// Slots of each target.
const SLOTS: u32 = 8;

/// Running stand-ins and entry instance.
pub struct System {
    /// Address of the entry instance.
    pub entry: SocketAddr,
    /// Targets.
    pub targets: Vec<Instance>,
    messages: Arc<AtomicU64>,
}

impl System {
    /// Starts the threads, which end with the process.
    pub fn start() -> io::Result<System> {
        let listeners: Vec<TcpListener> = SLOWNESS_PERMILLE
            .iter()
            .map(|_| loopback())
            .collect::<io::Result<_>>()?;
        let targets = listeners
            .iter()
            .enumerate()
            .map(|(index, it)| Ok(instance(index, it.local_addr()?)))
            .collect::<io::Result<Vec<Instance>>>()?;
        let (platform, entry) = (loopback()?, loopback()?);
        let settings = Settings::new("demo", "demo", entry.local_addr()?, platform.local_addr()?);
        let messages = Arc::new(AtomicU64::new(0));
        let system = System {
            entry: settings.listen,
            targets: targets.clone(),
            messages: messages.clone(),
        };
        thread::spawn(move || {
            runtime::block_on(stand_in(platform, listeners, targets, messages));
        });
        thread::spawn(move || {
            runtime::block_on(async {
                let listener = monoio::net::TcpListener::from_std(entry)?;
                let served = daemon::serve(listener, &settings).await;
                served.map_err(io::Error::other)
            })
        });
        Ok(system)
    }

    /// Messages that reached or left the targets so far.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }
}

async fn stand_in(
    platform: TcpListener,
    listeners: Vec<TcpListener>,
    instances: Vec<Instance>,
    messages: Arc<AtomicU64>,
) {
    let scope = Scope::new();
    let targets = Targets::new(Duration::ZERO);
    let list = Instances::new(instances.clone());
    let platform_service = Rc::new(serve::Platform::new(Table::new(), Objects::new(), list));
    let last = scope.spawn(listen(platform, platform_service));
    for (index, (listener, instance)) in listeners.into_iter().zip(instances).enumerate() {
        let slowness_permille = SLOWNESS_PERMILLE[index];
        targets.set(
            &instance.name,
            Behaviour {
                slowness_permille,
                trouble: None,
            },
        );
        let target = serve::Target::new(targets.clone(), instance);
        let counted = Counted {
            inner: Rc::new(target),
            messages: messages.clone(),
        };
        drop(scope.spawn(listen(listener, Rc::new(counted))));
    }
    last.await;
}

async fn listen(listener: TcpListener, service: Rc<dyn Service>) {
    match monoio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            Server::new(listener, service, Limits::default())
                .run()
                .await
        }
        Err(error) => eprintln!("bluebellpath: stand-in: {error}"),
    }
}

/// Counts requests and responses of a service.
struct Counted {
    inner: Rc<dyn Service>,
    messages: Arc<AtomicU64>,
}

impl Service for Counted {
    fn call(&self, request: Request) -> LocalFuture<'static, Response> {
        self.messages.fetch_add(1, Ordering::Relaxed);
        let (response, messages) = (self.inner.call(request), self.messages.clone());
        Box::pin(async move {
            let response = response.await;
            messages.fetch_add(1, Ordering::Relaxed);
            response
        })
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
        rack: index as u32 / 2,
        address,
        slots: SLOTS,
        connections: 64,
    }
}
