//! Targets in memory, with a log of what they truly ran.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fs::File,
    io::Write,
    rc::Rc,
    time::Duration,
};

use bluebellpath::{
    job::TaskId,
    platform::Instance,
    target::{Client, Error, Fault, Fence, Reason, Reply, Start, Status, Step},
};
use bluebellpath_runtime::{Instant, LocalFuture, Notify, clock};
use serde::{Deserialize, Serialize};

use crate::load::RunLine;

/// Run time of a task whose payload names none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// What is wrong with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Accepts no connection; what ran is lost.
    Dead,
    /// Accepts tasks, runs them and never replies.
    Silent,
    /// Fails every task at once.
    Failing,
    /// Refuses all new tasks because it is leaving.
    Leaving,
}

/// How a target behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Run time of a task here, in thousandths of its nominal run time.
    pub slowness_permille: u32,
    /// What is wrong with it.
    pub trouble: Option<Trouble>,
}

impl Default for Behaviour {
    /// Nominal speed, nothing wrong.
    fn default() -> Behaviour {
        Behaviour {
            slowness_permille: 1000,
            trouble: None,
        }
    }
}

/// One start that a target carried out.
#[derive(Clone, Debug)]
pub struct Run {
    /// Task.
    pub task: TaskId,
    /// Target.
    pub target: String,
    /// When it began.
    pub began: Instant,
    /// When it ended, unless it still runs or was lost.
    pub ended: Option<Instant>,
}

#[derive(Default)]
struct Inner {
    behaviours: RefCell<HashMap<String, Behaviour>>,
    used: RefCell<HashMap<String, u32>>,
    runs: RefCell<Vec<Run>>,
    stops: RefCell<HashMap<String, Rc<Stop>>>,
    one_way: Cell<Duration>,
    connect: Cell<Duration>,
    messages: Cell<u64>,
    log: RefCell<Option<File>>,
}

#[derive(Default)]
struct Stop {
    asked: Cell<bool>,
    signal: Notify,
}

/// All targets, in memory; clones share them.
#[derive(Clone, Default)]
pub struct Targets(Rc<Inner>);

/// What a task's payload may tell a stand-in target.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Work {
    /// Nominal run time in milliseconds.
    pub run_ms: u64,
}

impl Targets {
    /// Targets that are `one_way` from each entry instance.
    pub fn new(one_way: Duration) -> Targets {
        let targets = Targets::default();
        targets.0.one_way.set(one_way);
        targets
    }

    /// Sets the time that getting a connection takes.
    pub fn set_connect(&self, connect: Duration) {
        self.0.connect.set(connect);
    }

    /// Changes how the target `name` behaves.
    pub fn set(&self, name: &str, behaviour: Behaviour) {
        self.0
            .behaviours
            .borrow_mut()
            .insert(name.to_owned(), behaviour);
    }

    /// Writes a line for each start to `file`, before the task runs.
    pub fn log_to(&self, file: File) {
        *self.0.log.borrow_mut() = Some(file);
    }

    /// All starts that targets carried out, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.borrow().clone()
    }

    /// Messages that reached or left targets.
    pub fn messages(&self) -> u64 {
        self.0.messages.get()
    }

    fn behaviour(&self, name: &str) -> Behaviour {
        self.0
            .behaviours
            .borrow()
            .get(name)
            .copied()
            .unwrap_or_default()
    }

    fn count(&self) {
        self.0.messages.set(self.0.messages.get() + 1);
    }

    /// Carries out a start on the target's side of the wire.
    pub async fn run(&self, start: Start<'_>) -> Result<Reply, Reason> {
        let name = &start.target.name;
        let behaviour = self.behaviour(name);
        if behaviour.trouble == Some(Trouble::Leaving) {
            return Err(Reason::Leaving);
        }
        let _slots = Slots::take(self, start).ok_or(Reason::Full)?;
        let run = self.begin(start);
        if behaviour.trouble == Some(Trouble::Failing) {
            self.end(run);
            let body = "out of order".to_owned();
            return Ok(Reply {
                status: Status::Failed,
                body,
            });
        }
        let work = serde_json::from_str::<Work>(start.payload);
        let nominal = work.map_or(DEFAULT_RUN_TIME, |it| Duration::from_millis(it.run_ms));
        let run_time = nominal * behaviour.slowness_permille / 1000;
        let stopped = self.wait(start.task, run_time).await;
        if self.behaviour(name).trouble == Some(Trouble::Dead) {
            std::future::pending::<()>().await;
        }
        self.end(run);
        let status = if stopped {
            Status::Stopped
        } else {
            Status::Complete
        };
        Ok(Reply {
            status,
            body: format!("{} by {name}", start.task),
        })
    }

    /// Stops a task on the target's side of the wire; true when it ran.
    pub fn halt(&self, task: &TaskId) -> bool {
        let stop = self.0.stops.borrow().get(&task.to_string()).cloned();
        let Some(stop) = stop else { return false };
        stop.asked.set(true);
        stop.signal.notify();
        true
    }

    async fn wait(&self, task: &TaskId, run_time: Duration) -> bool {
        let stop = Rc::new(Stop::default());
        self.0
            .stops
            .borrow_mut()
            .insert(task.to_string(), stop.clone());
        clock::timeout(run_time, stop.signal.notified()).await;
        self.0.stops.borrow_mut().remove(&task.to_string());
        stop.asked.get()
    }

    fn write(&self, start: Start<'_>) {
        let mut log = self.0.log.borrow_mut();
        let Some(file) = log.as_mut() else { return };
        let line = RunLine {
            task: start.task.to_string(),
            target: start.target.name.clone(),
        };
        let text = serde_json::to_string(&line).unwrap_or_default();
        if let Err(error) = writeln!(file, "{text}") {
            eprintln!("bluebellpath-standin: a run could not be logged: {error}");
        }
    }

    fn begin(&self, start: Start<'_>) -> usize {
        self.write(start);
        let mut runs = self.0.runs.borrow_mut();
        runs.push(Run {
            task: start.task.clone(),
            target: start.target.name.clone(),
            began: clock::now(),
            ended: None,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize) {
        self.0.runs.borrow_mut()[run].ended = Some(clock::now());
    }
}

struct Slots {
    targets: Targets,
    target: String,
    size: u32,
}

impl Slots {
    fn take(targets: &Targets, start: Start<'_>) -> Option<Slots> {
        let mut used = targets.0.used.borrow_mut();
        let used = used.entry(start.target.name.clone()).or_default();
        if *used + start.size > start.target.slots {
            return None;
        }
        *used += start.size;
        let target = start.target.name.clone();
        Some(Slots {
            targets: targets.clone(),
            target,
            size: start.size,
        })
    }
}

impl Drop for Slots {
    fn drop(&mut self) {
        if let Some(used) = self.targets.0.used.borrow_mut().get_mut(&self.target) {
            *used -= self.size;
        }
    }
}

impl Client for Targets {
    fn start<'a>(
        &'a self,
        start: Start<'a>,
        fence: Rc<dyn Fence>,
    ) -> LocalFuture<'a, Result<Reply, Error>> {
        Box::pin(async move {
            let error = |step, fault, detail: &str| Error {
                step,
                target: start.target.name.clone(),
                fault,
                detail: detail.to_owned(),
            };
            if self.behaviour(&start.target.name).trouble == Some(Trouble::Dead) {
                let fault = Fault::NotStarted(Reason::Unreachable);
                return Err(error(Step::Connect, fault, "connection refused"));
            }
            if !self.0.connect.get().is_zero() {
                clock::sleep(self.0.connect.get()).await;
            }
            let lapsed = |_| error(Step::Fence, Fault::NotStarted(Reason::Lapsed), "lapsed");
            fence.check().map_err(lapsed)?;
            self.count();
            // The target's side goes on when the caller stops waiting.
            let (targets, own) = (self.clone(), OwnedStart::new(start));
            let reply = bluebellpath_runtime::Scope::new().spawn(async move {
                clock::sleep(targets.0.one_way.get()).await;
                let result = targets.run(own.borrow()).await;
                if targets.behaviour(&own.target.name).trouble == Some(Trouble::Silent) {
                    std::future::pending::<()>().await;
                }
                clock::sleep(targets.0.one_way.get()).await;
                result
            });
            let reply = clock::timeout(start.timeout, reply).await;
            self.count();
            match reply {
                Some(Some(Ok(reply))) => Ok(reply),
                Some(Some(Err(reason))) => {
                    Err(error(Step::Receive, Fault::NotStarted(reason), "refused"))
                }
                Some(None) | None => Err(error(Step::Receive, Fault::Unknown, "no reply")),
            }
        })
    }

    fn stop<'a>(
        &'a self,
        _target: &'a Instance,
        task: &'a TaskId,
    ) -> LocalFuture<'a, Result<bool, Error>> {
        Box::pin(async move {
            self.count();
            clock::sleep(self.0.one_way.get()).await;
            let stopped = self.halt(task);
            clock::sleep(self.0.one_way.get()).await;
            self.count();
            Ok(stopped)
        })
    }
}

struct OwnedStart {
    task: TaskId,
    target: Instance,
    kind: String,
    payload: String,
    size: u32,
    lease: Duration,
    timeout: Duration,
}

impl OwnedStart {
    fn new(start: Start<'_>) -> OwnedStart {
        OwnedStart {
            task: start.task.clone(),
            target: start.target.clone(),
            kind: start.kind.to_owned(),
            payload: start.payload.to_owned(),
            size: start.size,
            lease: start.lease,
            timeout: start.timeout,
        }
    }

    fn borrow(&self) -> Start<'_> {
        Start {
            task: &self.task,
            target: &self.target,
            kind: &self.kind,
            payload: &self.payload,
            size: self.size,
            lease: self.lease,
            timeout: self.timeout,
        }
    }
}
