//! Runs on the held targets that no frontend waits for.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};

use bluebellpath_runtime::clock;
use slog::info;

use super::{
    QueuedRun, Scheduler, Shared,
    held_target::{HeldTarget, RunKey},
};
use crate::{
    InjectedFault,
    messages::{NotStartedReason, RunOutcome},
    orphans::{Orphan, Registry, Sighting},
};

impl HeldTarget {
    /// Run on this target, as it is reported.
    pub(super) fn orphan(&self, key: RunKey) -> Orphan {
        Orphan {
            task: key.0,
            run: key.1,
            target: self.short_id,
        }
    }
}

impl Shared {
    /// Reported run of a task with the number of `key` or a higher one.
    pub(super) fn reported_run(&self, key: RunKey) -> Option<Sighting> {
        match self.config.injected_fault {
            Some(InjectedFault::StartAfterLoss) => None,
            _ => self.orphans.next_runs(key.0, key.1).first().copied(),
        }
    }

    /// Answers a task that was about to start, although it may be at work: a run of it
    /// was reported.
    pub(super) fn refuse_repeated(&self, queued: QueuedRun, sighting: Sighting) {
        let (task, run) = (queued.request.task, queued.request.run);
        let Orphan {
            run: reported,
            target,
            ..
        } = sighting.orphan;
        info!(self.log, "task may be at work"; "task" => %task, "run" => run,
            "reported_run" => reported, "owner" => %sighting.owner);
        let run_outcome = match reported == run {
            true => RunOutcome::Moved { target },
            false => RunOutcome::NotStarted(NotStartedReason::RunNumberUsed),
        };
        // The receiver may have been dropped.
        let _ = queued.reply.send(run_outcome);
    }
}

impl Scheduler {
    /// Runs that no frontend waits for, as all instances have reported them.
    pub(crate) fn orphans(&self) -> &Rc<Registry> {
        &self.0.orphans
    }

    /// Returns the runs that no frontend waits for and that were not reported yet.
    pub fn take_orphans(&self) -> Vec<Orphan> {
        let now = clock::now();
        let mut orphans = self.0.unreported_ends.take();
        for held in self.0.held_targets.borrow().values() {
            for (key, run) in &mut held.state.borrow_mut().runs {
                if run.report_at.take_if(|it| now >= *it).is_some() {
                    orphans.push(held.orphan(*key));
                }
            }
        }
        orphans
    }

    /// Sets the short ids of the targets whose last holder has failed.
    pub fn set_lost_targets(&self, short_ids: BTreeSet<u32>) {
        self.0.lost_targets.replace(short_ids);
    }

    /// Stops all runs of a frontend that is gone.
    pub fn cancel_all_from(&self, front_address: SocketAddr) {
        let now = clock::now();
        let mut keys = Vec::new();
        for held in self.0.held_targets.borrow().values() {
            let runs = &mut held.state.borrow_mut().runs;
            let matching = runs
                .iter_mut()
                .filter(|(_, run)| run.front_address == Some(front_address));
            for (key, run) in matching {
                run.report_at = Some(now);
                keys.push(*key);
            }
        }
        let backlog = self.0.backlog.borrow();
        let matching = backlog
            .iter()
            .filter(|(_, it)| it.request.front_address == front_address);
        keys.extend(matching.map(|(_, it)| (it.request.task, it.request.run)));
        drop(backlog);
        for key in keys {
            self.0.cancel(key, "its front is gone");
        }
    }
}
