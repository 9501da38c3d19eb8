//! In-memory deployment on the paused clock.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bluebellpath_fleet::{
    InjectedFault, JobId, Resources, Target, TaskId,
    config::{Config as QueueConfig, Queue},
    evacuation::{EvacuationRow, domain_id},
    frontend::{Answer, Step, Submission},
    membership,
    node::{Config, Node},
    scheduler,
    table_watch::{InstanceRow, OperatorRow, Watcher},
};
use bluebellpath_runtime::{LocalFuture, Notify, Scope, clock};
use bluebellpath_standin::{Cut, Feed, Identities, Mesh, Yard};
use futures_util::future::{Either, select};
use slog::{Drain, KV, Key, Logger, OwnedKVList, Record, Serializer, o};

/// Cores of a target.
pub const CORES: u32 = 64;

/// Service of the targets.
pub const SERVICE: &str = "match";

/// Configuration that the instances know when they start.
const FIRST_CONFIG: &str = "1";

/// Targets of a rack.
const RACK_SIZE: usize = 2;

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
    pub scope: Scope,
}

/// Answers by job id.
pub type Answers = Rc<RefCell<BTreeMap<u64, Answer>>>;

/// Connection of a caller that waits for the answer to a job.
#[derive(Default)]
struct Connection {
    /// Whether the caller has left.
    left: Cell<bool>,
    /// Notified once the instance has read that.
    ended: Notify,
}

/// The platform's list of targets. Its version increases with the clock.
#[derive(Default)]
pub struct TargetList {
    /// Number of reads by instance.
    pub read_counts: RefCell<BTreeMap<usize, u32>>,
    /// Instance that gets a stale view of the list.
    pub stale_reader: Cell<Option<usize>>,
    /// Instance whose reads of the list take this long.
    pub slow_reader: Cell<Option<(usize, Duration)>>,
}

/// Deployment of entry instances and targets.
pub struct System {
    pub targets: Yard,
    pub target_list: Rc<TargetList>,
    pub config_table: Feed<OperatorRow>,
    pub instance_table: Feed<InstanceRow>,
    pub identities: Identities,
    pub mesh: Mesh,
    pub instances: Vec<Instance>,
    pub answers: Answers,
    /// Connections of callers, by instance and job.
    connections: RefCell<BTreeMap<(usize, u64), Rc<Connection>>>,
    layout: Layout,
    injected_fault: Option<InjectedFault>,
    first_config: Option<&'static str>,
}

impl System {
    /// Starts a deployment and waits until the instances own their targets.
    pub async fn start(layout: Layout) -> System {
        System::start_with(layout, None).await
    }

    /// Like `start`, with a fault injected into every instance.
    pub async fn start_with(layout: Layout, injected_fault: Option<InjectedFault>) -> System {
        System::start_configured(layout, injected_fault, Some(FIRST_CONFIG)).await
    }

    /// Like `start_with`, with the configuration that all instances know from the start.
    /// Without one they use no targets until one is written.
    pub async fn start_configured(
        layout: Layout,
        injected_fault: Option<InjectedFault>,
        first_config: Option<&'static str>,
    ) -> System {
        let targets = Yard::default();
        for number in 0..layout.domains * layout.targets {
            targets.add(target(number, number / layout.targets));
        }
        let mut system = System {
            targets,
            target_list: Rc::default(),
            config_table: Feed::default(),
            instance_table: Feed::default(),
            identities: Identities::default(),
            mesh: Mesh::default(),
            instances: Vec::new(),
            answers: Answers::default(),
            connections: RefCell::default(),
            layout,
            injected_fault,
            first_config,
        };
        for number in 0..layout.domains * layout.instances {
            system.start_instance(number, number / layout.instances);
        }
        clock::sleep(Duration::from_millis(800)).await;
        system
    }

    /// Starts or restarts the instance `number` in `domain`.
    pub fn start_instance(&mut self, number: usize, domain: usize) {
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
                give_up_time: Duration::from_millis(2_000),
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
        let transport = Rc::new(self.mesh.side(address));
        let target_client = Rc::new(self.targets.hand(&domain));
        let log = new_logger(&name);
        let (targets, target_list, layout) =
            (self.targets.clone(), self.target_list.clone(), self.layout);
        let node = Node::new(config, target_client, transport, parse_config, log.clone());
        let (started_node, first_config) = (node.clone(), self.first_config);
        let config_table = Rc::new(self.config_table.side(number));
        let identities = Rc::new(self.identities.side(&name));
        let instance_table = Rc::new(self.instance_table.member(number, &name, address));
        drop(scope.spawn(async move {
            if let Some(document) = first_config {
                started_node.apply_config(document, "test");
            }
            for peer in 0..layout.domains * layout.instances {
                started_node.membership().add_address(self::address(peer));
            }
            started_node.start();
            let watcher = Watcher::new(&started_node, &log);
            watcher.watch_configuration(config_table);
            watcher.claim_identity(identities);
            watcher.watch_instances(instance_table);
            started_node.replace_targets(target_list_version(), targets.list());
            loop {
                started_node.wait_for_targets_turn().await;
                *target_list
                    .read_counts
                    .borrow_mut()
                    .entry(number)
                    .or_default() += 1;
                if target_list.stale_reader.get() == Some(number) {
                    started_node.update_targets(0, Vec::new());
                    continue;
                }
                let version = target_list_version();
                let rows = targets.list().into_iter().map(|(id, it)| (id, Some(it)));
                let rows = rows.collect();
                if let Some((_, delay)) = target_list.slow_reader.get().filter(|it| it.0 == number)
                {
                    clock::sleep(delay).await;
                }
                started_node.update_targets(version, rows);
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
            Some(existing) => *existing = instance,
            None => self.instances.push(instance),
        }
    }

    /// Kills an instance without a shutdown.
    pub fn kill(&self, number: usize) {
        self.instances[number].scope.kill();
    }

    /// Suspends an instance.
    pub fn suspend(&self, number: usize) {
        self.instances[number].scope.freeze();
    }

    /// Resumes an instance.
    pub fn resume(&self, number: usize) {
        self.instances[number].scope.thaw();
    }

    pub fn is_alive(&self, number: usize) -> bool {
        self.instances[number].scope.is_alive()
    }

    /// Partitions a failure domain from all others, or ends the partition.
    pub fn set_partitioned(&self, domain: &str, partitioned: bool) {
        self.cut_off(domain, partitioned.then_some(CutKind::Silent));
    }

    /// Cuts a failure domain off from all others, or ends that.
    pub fn cut_off(&self, domain: &str, kind: Option<CutKind>) {
        for a in &self.instances {
            for b in &self.instances {
                if a.domain == domain && b.domain != domain {
                    self.cut_instances(a.address, b.address, kind);
                    self.cut_targets(&a.domain, &b.domain, kind);
                }
            }
        }
    }

    fn cut_instances(&self, cut_off: SocketAddr, other: SocketAddr, kind: Option<CutKind>) {
        self.mesh.refuse(cut_off, other, false);
        match kind {
            Some(CutKind::Silent) => self.mesh.cut(cut_off, other, true),
            Some(CutKind::Refusing) => self.mesh.refuse(cut_off, other, true),
            Some(CutKind::Deaf) => self.mesh.cut_one_way(other, cut_off, true),
            Some(CutKind::Unheard) => self.mesh.cut_one_way(cut_off, other, true),
            None => {}
        }
    }

    /// Cuts a failure domain off from the targets of another one and the other way round,
    /// or ends that.
    pub fn cut_targets(&self, cut_off: &str, other: &str, kind: Option<CutKind>) {
        let (out_of, into) = match kind {
            Some(CutKind::Silent) => (Some(Cut::Silent), Some(Cut::Silent)),
            Some(CutKind::Refusing) => (Some(Cut::Refusing), Some(Cut::Refusing)),
            Some(CutKind::Deaf) => (Some(Cut::AnswersLost), Some(Cut::Silent)),
            Some(CutKind::Unheard) => (Some(Cut::Silent), Some(Cut::AnswersLost)),
            None => (None, None),
        };
        self.targets.cut(cut_off, other, out_of);
        self.targets.cut(other, cut_off, into);
    }

    /// Writes a configuration with this version to the store.
    pub fn write_config(&self, version: u64) {
        self.put_document(&version.to_string());
    }

    /// Writes a configuration document to the store.
    pub fn put_document(&self, document: &str) {
        let row = OperatorRow::Config(document.into());
        self.config_table.put("config", row);
    }

    /// Writes or removes the row that requests the evacuation of a domain.
    pub fn set_evacuated(&self, domain: &str, requested: bool) {
        let row = EvacuationRow {
            domain: domain_id(domain),
            requested,
        };
        let key = format!("evacuate/{domain}");
        self.config_table.put(&key, OperatorRow::Evacuation(row));
    }

    /// Versions of the configuration in force at the live instances.
    pub fn config_versions(&self) -> Vec<u64> {
        let alive = self.instances.iter().filter(|it| it.scope.is_alive());
        alive.map(|it| it.node.queue_config().version).collect()
    }

    /// Submits a job to an instance and stores its answer in `answers`.
    pub fn submit(&self, number: usize, spec: JobSpec) {
        self.submit_as(number, spec.submission());
    }

    /// Like `submit`, with the submission as it is.
    pub fn submit_as(&self, number: usize, submission: Submission) {
        let instance = &self.instances[number];
        let (node, answers) = (instance.node.clone(), self.answers.clone());
        let (job, connection) = (submission.job.0, Rc::<Connection>::default());
        let mut connections = self.connections.borrow_mut();
        connections.insert((number, job), connection.clone());
        drop(instance.scope.spawn(async move {
            let answer = pin!(node.frontend().submit(submission));
            let ended = pin!(connection.ended.notified());
            if let Either::Right((answer, _)) = select(ended, answer).await
                && !connection.left.get()
            {
                answers.borrow_mut().insert(job, answer);
            }
        }));
    }

    /// Ends the connection of the caller of a job. The instance reads that a little after
    /// its timers if it is suspended.
    pub fn hang_up(&self, number: usize, job: u64) {
        let connection = self.connections.borrow().get(&(number, job)).cloned();
        let Some(connection) = connection else { return };
        connection.left.set(true);
        drop(self.instances[number].scope.spawn(async move {
            sleep_ms(1).await;
            connection.ended.notify();
        }));
    }

    /// Answer of a job.
    pub fn answer(&self, job: u64) -> Option<Answer> {
        self.answers.borrow().get(&job).copied()
    }

    /// Number of started runs of the tasks of a job.
    pub fn started_runs(&self, job: u64) -> u32 {
        let started = self.targets.started();
        let of_job = started.iter().filter(|(task, _)| task.job == JobId(job));
        of_job.map(|(_, runs)| runs).sum()
    }

    /// Violations of the invariants so far.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.targets.violations();
        let started = self.targets.started();
        for (job, answer) in self.answers.borrow().iter() {
            let ran = started.keys().any(|it: &TaskId| it.job == JobId(*job));
            if ran && matches!(answer, Answer::Refused(_)) {
                violations.push(format!("job {job} was refused and has run"));
            }
        }
        violations
    }

    /// Panics if an invariant was violated.
    #[track_caller]
    pub fn assert_no_violations(&self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// What a cut between failure domains does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// Everything that is sent is lost.
    Silent,
    /// Connections are reset, and new ones refused.
    Refusing,
    /// The domain hears nobody, and is heard.
    Deaf,
    /// The domain is heard by nobody, and hears.
    Unheard,
}

impl CutKind {
    /// All kinds.
    pub const ALL: [CutKind; 4] = [
        CutKind::Silent,
        CutKind::Refusing,
        CutKind::Deaf,
        CutKind::Unheard,
    ];
}

/// Job to submit.
#[derive(Clone, Copy, Debug)]
pub struct JobSpec {
    pub job: u64,
    pub tasks: u16,
    pub cores: u32,
    pub run_ms: u64,
    pub deadline_ms: u64,
    /// Latency goal; `None` for one in proportion to the run time.
    pub goal_ms: Option<u64>,
    pub fails: bool,
    /// Whether the first task crashes its target.
    pub crashes: bool,
    /// Bytes added to the specification.
    pub padding: usize,
    /// Rack that holds the data.
    pub rack: Option<&'static str>,
    /// Service of the targets that may run the tasks.
    pub service: &'static str,
}

impl Default for JobSpec {
    fn default() -> JobSpec {
        JobSpec {
            job: 1,
            tasks: 4,
            cores: 27,
            run_ms: 200,
            deadline_ms: 8_000,
            goal_ms: None,
            fails: false,
            crashes: false,
            padding: 0,
            rack: None,
            service: SERVICE,
        }
    }
}

impl JobSpec {
    pub fn submission(self) -> Submission {
        let millicores = self.cores * 1_000;
        let fails = if self.fails { " fail" } else { "" };
        let crashes = if self.crashes { " crash" } else { "" };
        Submission {
            job: JobId(self.job),
            spec: format!(
                "{millicores} {}{fails}{crashes} {}",
                self.run_ms,
                "-".repeat(self.padding)
            )
            .into(),
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
                preferred_rack: self.rack.map(Into::into),
                max_per_target: 0,
            }],
            queue: "matches".into(),
            service: self.service.into(),
            priority: 1,
            max_attempts: 2,
            latency_goal: Duration::from_millis(self.goal_ms.unwrap_or(self.run_ms * 8 / 5 + 60)),
            deadline: Duration::from_millis(self.deadline_ms),
        }
    }
}

/// Logger of an instance, which prints to stdout if `SESSION_LOG` is set.
fn new_logger(name: &str) -> Logger {
    if std::env::var_os("SESSION_LOG").is_none() {
        return Logger::root(slog::Discard, o!());
    }
    Logger::root(StdoutDrain.fuse(), o!("instance" => name.to_owned()))
}

struct StdoutDrain;

impl Drain for StdoutDrain {
    type Ok = ();
    type Err = std::fmt::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), std::fmt::Error> {
        let mut line = FieldWriter(String::new());
        // Writing to a string cannot fail.
        let _ = record.kv().serialize(record, &mut line);
        let _ = values.serialize(record, &mut line);
        let now_ms = clock::now().as_nanos() / 1_000_000;
        println!("{now_ms:>7} {}{}", record.msg(), line.0);
        Ok(())
    }
}

struct FieldWriter(String);

impl Serializer for FieldWriter {
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
        service: SERVICE.into(),
        domain: format!("domain-{domain}").into(),
        capacity: Resources {
            cpu: CORES * 1_000,
            memory_mb: 4_096,
            gpu: 0,
        },
        labels: vec![format!("rack-{}", number / RACK_SIZE).into()],
        draining: false,
    }
}

/// Parses a configuration document: its version, and the services of its queues, which
/// are that of all targets if none is named.
fn parse_config(document: &str) -> Result<QueueConfig, String> {
    let (version, services) = document.split_once(' ').unwrap_or((document, SERVICE));
    let version = version.parse().map_err(|_| "not a version".to_owned())?;
    Ok(QueueConfig {
        version,
        queues: services.split(' ').map(queue).map(Rc::new).collect(),
        document: document.into(),
    })
}

/// Queue for jobs of `service`.
pub fn queue(service: &str) -> Queue {
    Queue {
        name: format!("{service}-queue").into(),
        host: "test.example".into(),
        prefix: format!("/{service}/").into(),
        service: service.into(),
        priority: 1,
        max_attempts: 2,
        stretch_permille: 1_600,
        latency_margin: Duration::from_millis(60),
        timeout: Duration::from_millis(8_000),
        needs_advice: false,
    }
}

/// Current version of the list of targets.
fn target_list_version() -> u64 {
    1 + clock::now().as_nanos() / 1_000_000
}

/// Sleeps for `ms` milliseconds.
pub fn sleep_ms(ms: u64) -> LocalFuture<'static, ()> {
    Box::pin(clock::sleep(Duration::from_millis(ms)))
}
