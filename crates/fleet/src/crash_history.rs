/*!
Tasks that were running on targets which were lost.

A task may crash every target that starts it. Each instance remembers which targets
were lost under which tasks, as the owners of the targets report it to the instances
that the caller of a job may reach. Whoever takes the job again thus knows what its
tasks have done, even if its first frontend is gone.

A target that falls silent has not necessarily crashed: only another incarnation in
its place proves that. Until then the [`Fate`] of the target is open, and a task that
may have crashed two targets waits for it.

All tasks on a lost target are suspects. A suspect runs on a target of its own, which
protects its neighbours and shows whether it was to blame.
*/

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration};

use bluebellpath_runtime::{Instant, Notify, clock};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{JobId, TaskId, target_list::TargetList};

/// Time for which a task is remembered after its last loss. A caller that gets no
/// answer submits its job again within some seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// Most tasks that are remembered. A failure domain that loses power loses about
/// 1,300 runs.
const MAX_TASKS: usize = 4_096;

/// Crashes of targets after which a task is not run again.
const MAX_CRASHES: usize = 2;

/// Lost targets, whatever their fate, after which a task waits until it is known.
const MAX_LOSSES: usize = 3;

/// What became of a target that stopped answering, in the order of certainty.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fate {
    /// It does not answer, and may still be running.
    #[display("silent")]
    Silent,
    /// Nobody listens at its address: it has probably crashed.
    #[display("refusing")]
    Refusing,
    /// It answers again, in the same incarnation.
    #[display("alive")]
    Alive,
    /// Another incarnation has taken its place.
    #[display("crashed")]
    Crashed,
}

/// Loss of one incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Short id of the target.
    pub target: u32,
    /// Start time of the incarnation in Unix milliseconds.
    pub incarnation_ms: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// What became of it.
    pub fate: Fate,
}

/// Loss of a target, with the tasks that it was running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Loss.
    pub loss: Loss,
    /// Tasks.
    pub tasks: Vec<TaskId>,
}

/// Whether and how a task may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run beside other tasks.
    Unsuspected,
    /// It may run on a target of its own.
    Suspect,
    /// It may have crashed two targets, and waits until that is known.
    Undecided,
    /// It has crashed two targets and must not run again.
    Harmful,
}

/// Lost targets of each task.
#[derive(Default)]
pub struct CrashHistory {
    tasks: RefCell<BTreeMap<TaskId, Entry>>,
    changed: Notify,
}

#[derive(Debug)]
struct Entry {
    losses: Vec<Loss>,
    expires_at: Instant,
}

impl CrashHistory {
    /// Records a loss, or what became of a target that was recorded before.
    pub fn record(&self, report: &LossReport) {
        for task in &report.tasks {
            self.record_one(*task, report.loss);
        }
        self.changed.notify();
    }

    fn record_one(&self, task: TaskId, loss: Loss) {
        let expires_at = clock::now() + RETENTION;
        let mut tasks = self.tasks.borrow_mut();
        if !tasks.contains_key(&task) && tasks.len() >= MAX_TASKS {
            let oldest = tasks.iter().min_by_key(|it| it.1.expires_at);
            if let Some(oldest) = oldest.map(|it| *it.0) {
                tasks.remove(&oldest);
            }
        }
        let entry = tasks.entry(task).or_insert_with(|| Entry {
            losses: Vec::new(),
            expires_at,
        });
        entry.expires_at = expires_at;
        let is_same =
            |it: &&mut Loss| (it.target, it.incarnation_ms) == (loss.target, loss.incarnation_ms);
        match entry.losses.iter_mut().find(is_same) {
            Some(known) => known.fate = known.fate.max(loss.fate),
            None => entry.losses.push(loss),
        }
    }

    /// Returns whether and how `task` may run.
    pub fn verdict(&self, task: TaskId) -> Verdict {
        let tasks = self.tasks.borrow();
        let Some(entry) = tasks.get(&task) else {
            return Verdict::Unsuspected;
        };
        let count = |fate| entry.losses.iter().filter(|it| it.fate == fate).count();
        let crashed = count(Fate::Crashed);
        let suspected = crashed + count(Fate::Refusing);
        let lost = suspected + count(Fate::Silent);
        match () {
            () if crashed >= MAX_CRASHES => Verdict::Harmful,
            () if suspected >= MAX_CRASHES || lost >= MAX_LOSSES => Verdict::Undecided,
            () if suspected > 0 => Verdict::Suspect,
            () => Verdict::Unsuspected,
        }
    }

    /// Returns the verdict about `task` once it is not [`Verdict::Undecided`].
    pub async fn decided(&self, task: TaskId) -> Verdict {
        loop {
            let changed = self.changed.notified();
            match self.verdict(task) {
                Verdict::Undecided => changed.await,
                verdict => return verdict,
            }
        }
    }

    /// Whether a target was lost under a task of `job`, which may therefore have run.
    pub fn may_have_run(&self, job: JobId) -> bool {
        self.tasks_of(job).next().is_some()
    }

    /// Whether a task of `job` must not run again.
    pub fn is_harmful(&self, job: JobId) -> bool {
        self.tasks_of(job)
            .any(|it| self.verdict(it) == Verdict::Harmful)
    }

    fn tasks_of(&self, job: JobId) -> impl Iterator<Item = TaskId> {
        let task = |occurrence, step, index| TaskId {
            job,
            occurrence,
            step,
            index,
        };
        let range = task(0, 0, 0)..=task(u32::MAX, u16::MAX, u16::MAX);
        let tasks: Vec<_> = self.tasks.borrow().range(range).map(|it| *it.0).collect();
        tasks.into_iter()
    }

    /// Returns everything that is remembered, for an instance that has just started.
    pub fn reports(&self) -> Vec<LossReport> {
        let mut reports: BTreeMap<_, LossReport> = BTreeMap::new();
        for (task, entry) in self.tasks.borrow().iter() {
            for loss in &entry.losses {
                let key = (loss.target, loss.incarnation_ms, loss.fate);
                let report = reports.entry(key).or_insert_with(|| LossReport {
                    loss: *loss,
                    tasks: Vec::new(),
                });
                report.tasks.push(*task);
            }
        }
        reports.into_values().collect()
    }

    /// Decides the fate of targets from the list of targets. A target has crashed if
    /// its id or its address is listed with a later incarnation; one that is listed no
    /// more may also be cut off.
    pub fn compare_with_list(&self, list: &TargetList) {
        let mut tasks = self.tasks.borrow_mut();
        let losses = tasks.values_mut().flat_map(|it| it.losses.iter_mut());
        let open: Vec<_> = losses.filter(|it| it.fate < Fate::Alive).collect();
        if open.is_empty() {
            return;
        }
        let mut by_address: BTreeMap<_, u64> = BTreeMap::new();
        for target in list.targets().values() {
            let latest = by_address.entry(target.address).or_default();
            *latest = target.incarnation_ms.max(*latest);
        }
        let mut changed = false;
        for loss in open {
            let under_id = list.find(loss.target).map(|it| it.incarnation_ms);
            let at_address = by_address.get(&loss.address).copied();
            if under_id.max(at_address) > Some(loss.incarnation_ms) {
                loss.fate = Fate::Crashed;
                changed = true;
            }
        }
        drop(tasks);
        if changed {
            self.changed.notify();
        }
    }

    /// Forgets expired tasks; must be called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.tasks.borrow_mut().retain(|_, it| now < it.expires_at);
    }
}
