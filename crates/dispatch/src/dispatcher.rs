//! The dispatcher of one entry instance.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bluebellpath_runtime::Instant;

use crate::{
    Assignment, Dropped, Ending, Job, JobId, Next, NotStarted, Reason, Refusal, Report, Target,
    TargetId, Task,
};

/// Limits of a [`Dispatcher`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Most tasks that may wait.
    pub max_waiting: usize,
    /// Run time assumed of a task nothing is known of.
    pub default_run_time: Duration,
    /// Assignments after which a task that never started is given up.
    pub max_attempts: u32,
}

impl Default for Config {
    /// 100,000 tasks waiting, 500 ms run time, 3 attempts.
    fn default() -> Config {
        Config {
            max_waiting: 100_000,
            default_run_time: Duration::from_millis(500),
            max_attempts: 3,
        }
    }
}

/// Place in the queue: deadline first, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    deadline: Instant,
    job: JobId,
    task: u32,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    task: Task,
    attempts: u32,
}

struct Held {
    target: Target,
    used: u32,
}

/// Queue of waiting tasks and the slots they may go to.
pub struct Dispatcher {
    config: Config,
    targets: BTreeMap<TargetId, Held>,
    queue: BTreeMap<Place, Waiting>,
    running: HashMap<(JobId, u32), (Place, Waiting)>,
}

impl Dispatcher {
    /// Dispatcher without targets and jobs.
    pub fn new(config: Config) -> Dispatcher {
        Dispatcher {
            config,
            targets: BTreeMap::new(),
            queue: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// Adds a target or changes what is known of it.
    pub fn set_target(&mut self, target: Target) {
        let used = self.targets.get(&target.id).map_or(0, |it| it.used);
        self.targets.insert(target.id, Held { target, used });
    }

    /// Forgets a target; its running tasks are reported as usual.
    pub fn remove_target(&mut self, target: TargetId) {
        self.targets.remove(&target);
    }

    /// Takes in a job or refuses it whole.
    pub fn submit(&mut self, job: Job, now: Instant) -> Result<(), Refusal> {
        let largest = self
            .targets
            .values()
            .map(|it| it.target.slots)
            .max()
            .unwrap_or(0);
        if job.tasks.iter().any(|it| it.size > largest) {
            return Err(Refusal {
                reason: Reason::TooLarge,
                retry_after: None,
            });
        }
        if job.deadline <= now {
            return Err(Refusal {
                reason: Reason::Deadline,
                retry_after: None,
            });
        }
        if self.queue.len() + job.tasks.len() > self.config.max_waiting {
            let retry_after = Some(self.config.default_run_time);
            return Err(Refusal {
                reason: Reason::Overload,
                retry_after,
            });
        }
        for task in job.tasks {
            let place = Place {
                deadline: job.deadline,
                job: job.id,
                task: task.index,
            };
            self.queue.insert(place, Waiting { task, attempts: 0 });
        }
        Ok(())
    }

    /// Next task to start, if a slot is free for one.
    pub fn next(&mut self, now: Instant) -> Option<Assignment> {
        let (place, waiting) = self.queue.first_key_value()?;
        let (place, mut waiting) = (*place, *waiting);
        if place.deadline <= now {
            return None;
        }
        let target = self.choose(waiting.task.size)?;
        self.queue.remove(&place);
        waiting.attempts += 1;
        self.targets.get_mut(&target)?.used += waiting.task.size;
        self.running
            .insert((place.job, place.task), (place, waiting));
        let expected = waiting
            .task
            .declared
            .unwrap_or(self.config.default_run_time);
        Some(Assignment {
            job: place.job,
            task: place.task,
            target,
            expected,
        })
    }

    /// Takes note of how an assignment ended.
    pub fn finish(&mut self, report: Report) -> Next {
        let Assignment {
            job, task, target, ..
        } = report.assignment;
        let Some((place, waiting)) = self.running.remove(&(job, task)) else {
            return Next::Done;
        };
        if let Some(held) = self.targets.get_mut(&target) {
            held.used -= waiting.task.size;
            if report.ending == Ending::NotStarted(NotStarted::Leaving) {
                held.target.leaving = true;
            }
        }
        match report.ending {
            Ending::NotStarted(NotStarted::Lapsed) => Next::Done,
            Ending::NotStarted(_) if waiting.attempts < self.config.max_attempts => {
                self.queue.insert(place, waiting);
                Next::Requeued
            }
            _ => Next::Done,
        }
    }

    /// Drops all waiting tasks of a job.
    pub fn cancel(&mut self, job: JobId) -> Vec<Dropped> {
        self.drop_where(|place| place.job == job)
    }

    /// Drops the waiting tasks that can't meet their deadline any more.
    pub fn expire(&mut self, now: Instant) -> Vec<Dropped> {
        self.drop_where(|place| place.deadline <= now)
    }

    /// Earliest time at which [`Dispatcher::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.queue
            .first_key_value()
            .map(|(place, _)| place.deadline)
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Tasks that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn choose(&self, size: u32) -> Option<TargetId> {
        let free = |it: &Held| it.target.credit.saturating_sub(it.used);
        let fits = |it: &&Held| !it.target.leaving && free(it) >= size;
        self.targets
            .values()
            .filter(fits)
            .max_by_key(|it| free(it))
            .map(|it| it.target.id)
    }

    fn drop_where(&mut self, gone: impl Fn(&Place) -> bool) -> Vec<Dropped> {
        let places: Vec<Place> = self.queue.keys().filter(|it| gone(it)).copied().collect();
        for place in &places {
            self.queue.remove(place);
        }
        places
            .into_iter()
            .map(|it| Dropped {
                job: it.job,
                task: it.task,
            })
            .collect()
    }
}
