//! What claiming adds to a job, way by way, on a stand-in store with 5 ms
//! writes.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath::{
    job::{Digest, Incarnation, Key, Submission},
    owner::{Claim, Claims, Config, ExtensionReply, ExtensionRequest, Tickets},
    peer::{self, Contact, Handler, Identity, Link, Membership, Offline, Reply, Request},
    platform::{Expect, Table as _, Write},
    settings::Domain,
};
use bluebellpath_runtime::{LocalFuture, Scope, clock, runtime, spawn};
use bluebellpath_standin::{Network, Table};

/// Entry instances among which the store's writes are shared out.
const INSTANCES: u16 = 7;

/// Other instances of a domain that keep replicas.
const REPLICAS: u16 = 2;

/// Time of each measurement.
const LENGTH: Duration = Duration::from_secs(4);

/// Time in which the instance takes its shards.
const SETTLED: Duration = Duration::from_secs(5);

/// Jobs a second.
const RATES: [u64; 4] = [10, 100, 1_000, 10_000];

#[derive(Clone, Copy, Debug)]
enum Way {
    /// A conditional insert for each job.
    Insert,
    /// Leased shards and group commit.
    Group,
    /// A call to each other instance of the domain for each job.
    Replicas,
    /// An id that names its incarnation.
    Ticket,
}

struct Bench {
    way: Way,
    table: Table,
    network: Network,
    claims: Rc<Claims>,
    tickets: Tickets,
    link: Rc<dyn Link>,
    added: RefCell<Vec<Duration>>,
}

struct Replica;

impl Handler for Replica {
    fn handle(&self, _request: Request, _: &Contact) -> LocalFuture<'static, Reply> {
        let promise = ExtensionReply {
            granted: true,
            have: 1,
        };
        Box::pin(async move { Reply::Extension(promise) })
    }
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index))
}

impl Bench {
    fn new(way: Way) -> Bench {
        let incarnation = Incarnation::new(clock::wall(), 1);
        let identity = Identity {
            name: "entry".to_owned(),
            incarnation,
            domain: Domain::new(0),
            address: address(0),
        };
        let offline = Rc::new(Offline);
        let membership = Membership::new(identity, offline, peer::Config::default());
        let (table, network) = (Table::new(), Network::new(Duration::from_micros(500)));
        for index in 1..=REPLICAS {
            let node = network.node(address(index), Scope::new());
            node.serve(Rc::new(Replica));
        }
        let store = Rc::new(table.clone());
        let config = Config::default();
        let claims = Claims::new(store, Rc::new(membership), INSTANCES, config);
        Bench {
            way,
            link: Rc::new(network.node(address(0), Scope::new())),
            tickets: Tickets::new(Domain::new(0), incarnation, config.max_tickets),
            claims: Rc::new(claims),
            table,
            network,
            added: RefCell::default(),
        }
    }

    async fn claim(&self, number: u64) {
        let key = Key::new(&format!("order-{number}")).expect("a valid key");
        let digest = Digest::of(&Submission {
            team: "default".to_owned(),
            deadline_ms: 1_000,
            tasks: Vec::new(),
        });
        let began = clock::now();
        match self.way {
            Way::Insert => {
                let write = Write {
                    key: format!("claim/{key}"),
                    expect: Expect::Absent,
                    value: Some(vec![0; 64]),
                };
                self.table.commit(&[write]).await.expect("the store is up");
            }
            Way::Group => {
                let claim = self.claims.claim(&key, digest).await;
                assert!(matches!(claim, Claim::Granted(_)), "{claim:?}");
            }
            Way::Replicas => {
                let calls = (1..=REPLICAS).map(|it| {
                    let link = self.link.clone();
                    spawn(async move { link.call(address(it), hold()).await })
                });
                for call in calls.collect::<Vec<_>>() {
                    let reply = call.await.expect("nothing is killed");
                    reply.expect("the peer is up");
                }
            }
            Way::Ticket => drop(self.tickets.issue()),
        }
        self.added.borrow_mut().push(clock::now() - began);
    }
}

fn hold() -> Request {
    Request::ExtendClaims(ExtensionRequest {
        holder: Incarnation::from_u64(1),
        shards: Vec::new(),
        term: 1,
        for_ms: 3_000,
        first: 0,
        claims: Vec::new(),
    })
}

async fn measure(way: Way, rate: u64) {
    let bench = Rc::new(Bench::new(way));
    bench.claims.start();
    clock::sleep(SETTLED).await;
    let writes = bench.claims.transactions();
    let (began, requests) = (clock::now(), bench.table.faults().requests.get());
    let jobs = rate * LENGTH.as_secs();
    let mut tasks = Vec::new();
    for number in 0..jobs {
        let due = began + Duration::from_secs(1) * number as u32 / rate as u32;
        clock::sleep_until(due).await;
        let bench = bench.clone();
        tasks.push(spawn(async move { bench.claim(number).await }));
    }
    let length = (clock::now() - began).as_secs_f64();
    let writes = match way {
        Way::Insert => bench.table.faults().requests.get() - requests,
        Way::Group | Way::Replicas | Way::Ticket => bench.claims.transactions() - writes,
    };
    for task in tasks {
        task.await;
    }
    report(&bench, rate, writes as f64 / length);
}

fn report(bench: &Bench, rate: u64, writes_per_s: f64) {
    let mut added = bench.added.borrow_mut();
    added.sort();
    let ms = |it: Duration| it.as_secs_f64() * 1_000.0;
    let (median, p99) = (added[added.len() / 2], added[added.len() * 99 / 100]);
    let messages = 2.0 * bench.network.calls() as f64 / added.len() as f64;
    println!(
        "{:?}, {rate} jobs/s: {:.2} ms median, {:.2} ms p99, {messages:.1} messages a job, {writes_per_s:.1} store writes/s",
        bench.way,
        ms(median),
        ms(p99),
    );
}

fn main() {
    for way in [Way::Insert, Way::Group, Way::Replicas, Way::Ticket] {
        for rate in RATES {
            runtime::paused(measure(way, rate));
        }
    }
}
