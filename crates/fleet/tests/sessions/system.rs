//! A deployment in memory, on the paused clock.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    InjectedFault, JobId, Resources, Target, TaskId,
    config::Config as Queues,
    frontend::{Answer, Step, Submission},
    membership,
    node::{Config, Node},
    scheduler,
    table_watch::{ConfigDocument, InstanceRow, Watcher},
};
use bluebellpath_runtime::{LocalFuture, Scope, clock};
use bluebellpath_standin::{Feed, Mesh, Yard};
use slog::{Drain, KV, Key, Logger, OwnedKVList, Record, Serializer, o};

/// Cores of a target.
pub const CORES: u32 = 64;

/// Entry instances and targets in each failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub domains: usize,
    pub instances: usize,
    pub targets: usize,
}

/// Two domains with two instances and four targets each.
pub const SMALL: Layout = Layout {
    domains: 2,
    instances: 2,
    targets: 4,
};

/// One entry instance as a process.
pub struct Instance {
    pub node: Rc<Node>,
    pub address: SocketAddr,
    pub domain: String,
    scope: Scope,
}

/// Answers by job.
pub type Answers = Rc<RefCell<BTreeMap<u64, Answer>>>;

/// The platform's list of targets, whose version rises all the time.
#[derive(Default)]
pub struct Listing {
    /// Times that each instance has read it.
    pub reads: RefCell<BTreeMap<usize, u32>>,
    /// Instance whose view of it stands still.
    pub stuck: Cell<Option<usize>>,
}

/// A deployment.
pub struct System {
    pub yard: Yard,
    pub listing: Rc<Listing>,
    pub configurations: Feed<ConfigDocument>,
    pub registry: Feed<InstanceRow>,
    pub mesh: Mesh,
    pub instances: Vec<Instance>,
    pub answers: Answers,
    layout: Layout,
    injected_fault: Option<InjectedFault>,
}

impl System {
    /// Deployment whose instances have taken over their targets.
    pub async fn start(layout: Layout) -> System {
        System::start_with(layout, None).await
    }

    /// Deployment with a fault planted in every instance.
    pub async fn start_with(layout: Layout, injected_fault: Option<InjectedFault>) -> System {
        let yard = Yard::default();
        for number in 0..layout.domains * layout.targets {
            yard.add(target(number, number / layout.targets));
        }
        let mut system = System {
            yard,
            listing: Rc::default(),
            configurations: Feed::default(),
            registry: Feed::default(),
            mesh: Mesh::default(),
            instances: Vec::new(),
            answers: Answers::default(),
            layout,
            injected_fault,
        };
        for number in 0..layout.domains * layout.instances {
            system.add(number, number / layout.instances);
        }
        clock::sleep(Duration::from_millis(800)).await;
        system
    }

    /// Starts the instance `number` in `domain`, perhaps anew.
    pub fn add(&mut self, number: usize, domain: usize) {
        let scope = Scope::new();
        let address = address(number);
        let name: Rc<str> = format!("entry-{number}").into();
        let domain = format!("domain-{domain}");
        let config = Config {
            name: name.clone(),
            domain: domain.as_str().into(),
            address,
            weight: 250,
            scheduler: scheduler::Config {
                lease: Duration::from_millis(900),
                poll_timeout: Duration::from_millis(225),
                request_timeout: Duration::from_millis(300),
                claim_timeout: Duration::from_millis(450),
                unlisted_timeout: Duration::from_millis(2_500),
                far_factor: 1.5,
                injected_fault: None,
            },
            membership: membership::Config {
                heartbeat_interval: Duration::from_millis(100),
                failure_timeout: Duration::from_millis(550),
            },
            orphan_timeout: Duration::from_millis(2_000),
            config_deadline: Duration::from_millis(2_000),
            injected_fault: self.injected_fault,
        };
        let side = Rc::new(self.mesh.side(address));
        let orders = Rc::new(self.yard.hand(&domain));
        let log = log(&name);
        let (yard, listing, peers) = (self.yard.clone(), self.listing.clone(), self.layout);
        let node = Node::new(config, orders, side, read, log.clone());
        let starting = node.clone();
        let configurations = Rc::new(self.configurations.side(number));
        let registered = Rc::new(self.registry.member(number, &name, address));
        drop(scope.spawn(async move {
            for peer in 0..peers.domains * peers.instances {
                starting.membership().add_address(self::address(peer));
            }
            starting.start();
            let watcher = Watcher::new(&starting, &log);
            watcher.watch_configuration(configurations);
            watcher.watch_instances(registered);
            starting.replace_targets(version(), yard.list());
            loop {
                starting.wait_for_targets_turn().await;
                *listing.reads.borrow_mut().entry(number).or_default() += 1;
                match listing.stuck.get() == Some(number) {
                    true => starting.update_targets(0, Vec::new()),
                    false => {
                        let rows = yard.list().into_iter().map(|(id, it)| (id, Some(it)));
                        starting.update_targets(version(), rows.collect());
                    }
                }
            }
        }));
        self.mesh.join(address, node.clone(), scope.clone());
        let instance = Instance {
            node,
            address,
            domain,
            scope,
        };
        match self.instances.get_mut(number) {
            Some(old) => *old = instance,
            None => self.instances.push(instance),
        }
    }

    /// Ends an instance without notice.
    pub fn kill(&self, number: usize) {
        self.instances[number].scope.kill();
    }

    /// Suspends an instance.
    pub fn freeze(&self, number: usize) {
        self.instances[number].scope.freeze();
    }

    /// Resumes an instance.
    pub fn thaw(&self, number: usize) {
        self.instances[number].scope.thaw();
    }

    pub fn is_alive(&self, number: usize) -> bool {
        self.instances[number].scope.is_alive()
    }

    /// Cuts a failure domain off from all others, or heals the cut.
    pub fn cut(&self, domain: &str, cut: bool) {
        for a in &self.instances {
            for b in &self.instances {
                if a.domain == domain && b.domain != domain {
                    self.mesh.cut(a.address, b.address, cut);
                    self.yard.cut(&a.domain, &b.domain, cut);
                    self.yard.cut(&b.domain, &a.domain, cut);
                }
            }
        }
    }

    /// Lets the operator change the configuration.
    pub fn configure(&self, version: u64) {
        self.configurations
            .put("config", version.to_string().into());
    }

    /// Versions of the configuration in force at the instances that live.
    pub fn versions(&self) -> Vec<u64> {
        let alive = self.instances.iter().filter(|it| it.scope.is_alive());
        alive.map(|it| it.node.queue_config().version).collect()
    }

    /// Sends a job to an instance; its answer comes into `answers`.
    pub fn submit(&self, number: usize, work: Work) {
        let instance = &self.instances[number];
        let (node, answers) = (instance.node.clone(), self.answers.clone());
        drop(instance.scope.spawn(async move {
            let job = work.job;
            let answer = node.frontend().submit(work.submission()).await;
            answers.borrow_mut().insert(job, answer);
        }));
    }

    /// Answer of a job.
    pub fn answer(&self, job: u64) -> Option<Answer> {
        self.answers.borrow().get(&job).copied()
    }

    /// Runs of a job's tasks that were started.
    pub fn runs(&self, job: u64) -> u32 {
        let started = self.yard.started();
        let of_job = started.iter().filter(|(task, _)| task.job == JobId(job));
        of_job.map(|(_, runs)| runs).sum()
    }

    /// What happened that must never happen.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.yard.violations();
        let started = self.yard.started();
        for (job, answer) in self.answers.borrow().iter() {
            let ran = started.keys().any(|it: &TaskId| it.job == JobId(*job));
            if ran && matches!(answer, Answer::Refused(_)) {
                violations.push(format!("job {job} was refused and has run"));
            }
        }
        violations
    }

    /// Panics where something happened that must never happen.
    #[track_caller]
    pub fn check(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Job to submit.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub job: u64,
    pub tasks: u16,
    pub cores: u32,
    pub run_ms: u64,
    pub deadline_ms: u64,
    pub fails: bool,
}

impl Default for Work {
    fn default() -> Work {
        Work {
            job: 1,
            tasks: 4,
            cores: 27,
            run_ms: 200,
            deadline_ms: 8_000,
            fails: false,
        }
    }
}

impl Work {
    fn submission(self) -> Submission {
        let millicores = self.cores * 1_000;
        let fails = if self.fails { " fail" } else { "" };
        Submission {
            job: JobId(self.job),
            spec: format!("{millicores} {}{fails}", self.run_ms).into(),
            steps: vec![Step {
                task_count: self.tasks,
                resources: Resources {
                    cpu: millicores,
                    memory_mb: 64,
                    gpu: 0,
                },
                estimate: Duration::from_millis(self.run_ms),
                dependencies: Vec::new(),
                required_label: None,
                preferred_rack: None,
                max_per_target: 0,
            }],
            queue: "matches".into(),
            service: "match".into(),
            priority: 1,
            max_attempts: 2,
            latency_goal: Duration::from_millis(self.run_ms * 8 / 5 + 60),
            deadline: Duration::from_millis(self.deadline_ms),
        }
    }
}

/// Log that shows what an instance did when `SESSION_LOG` is set.
fn log(name: &str) -> Logger {
    if std::env::var_os("SESSION_LOG").is_none() {
        return Logger::root(slog::Discard, o!());
    }
    Logger::root(Lines.fuse(), o!("instance" => name.to_owned()))
}

struct Lines;

impl Drain for Lines {
    type Ok = ();
    type Err = std::fmt::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), std::fmt::Error> {
        let mut line = Line(String::new());
        // Writing to a string can't fail.
        let _ = record.kv().serialize(record, &mut line);
        let _ = values.serialize(record, &mut line);
        let now_ms = clock::now().as_nanos() / 1_000_000;
        println!("{now_ms:>7} {}{}", record.msg(), line.0);
        Ok(())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + number).expect("few instances");
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

pub fn target(number: usize, domain: usize) -> Target {
    Target {
        id: format!("target-{number}").into(),
        incarnation_ms: 1,
        address: address(1_000 + number),
        service: "match".into(),
        domain: format!("domain-{domain}").into(),
        capacity: Resources {
            cpu: CORES * 1_000,
            memory_mb: 4_096,
            gpu: 0,
        },
        labels: Vec::new(),
        draining: false,
    }
}

/// Reads a configuration document, which holds nothing but its version.
fn read(document: &str) -> Result<Queues, String> {
    let version = document.parse().map_err(|_| "not a version".to_owned())?;
    Ok(Queues {
        version,
        document: document.into(),
        ..Queues::default()
    })
}

/// Version of the list of targets now.
fn version() -> u64 {
    1 + clock::now().as_nanos() / 1_000_000
}

/// Sleeps for milliseconds.
pub fn wait(ms: u64) -> LocalFuture<'static, ()> {
    Box::pin(clock::sleep(Duration::from_millis(ms)))
}
