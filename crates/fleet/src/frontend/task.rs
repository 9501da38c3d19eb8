//! Runs of one task, from the first to the one that ends it.

use std::{net::SocketAddr, pin::pin, rc::Rc};

use bluebellpath_runtime::{clock, spawn};
use futures_util::future::{Either, select};
use slog::info;

use super::{ActiveJob, RETRY_PAUSE, Shared, Step, millis, millis_u32, search::Place};
use crate::{
    InjectedFault, TaskId,
    crash_history::{LossReport, Verdict},
    membership::{CallError, Reply, Request},
    messages::{ClockReading, NotStartedReason, RunOutcome, RunRequest},
    orphans::{Orphan, Sighting},
    scheduler::Waiter,
};

/// Multiple of the latency goal after which an answer is useless to the caller.
const USEFUL_GOAL_FACTOR: u32 = 3;

/// Number of runs that one task may use.
const MAX_RUNS_PER_TASK: u32 = 64;

/// Outcome of one task.
pub(super) enum TaskOutcome {
    Done,
    Failed,
    Refused(NotStartedReason),
    GivenUp,
}

impl Shared {
    /// Runs one task until it completes or is given up.
    pub(super) async fn run_task(
        self: &Rc<Self>,
        active_job: &ActiveJob<'_>,
        step: &Step,
        task: TaskId,
    ) -> TaskOutcome {
        let mut failures = 0;
        let mut run = 0;
        while run < MAX_RUNS_PER_TASK {
            run += 1;
            let verdict = match self.await_verdict(active_job, step, task).await {
                Some(Verdict::Harmful) => {
                    info!(self.log, "task has crashed too many targets"; "task" => %task, "run" => run);
                    return TaskOutcome::Failed;
                }
                Some(verdict) => verdict,
                None => return TaskOutcome::Refused(NotStartedReason::TargetFateUnknown),
            };
            let sightings = self.scheduler.orphans().next_runs(task, run);
            run = sightings.first().map_or(run, |it| it.orphan.run);
            let run_request = self.build_run_request(active_job, step, task, run, verdict);
            let run_outcome = match sightings.is_empty() {
                true => match self.send_run(active_job, &run_request).await {
                    RunStatus::Ended(run_outcome) => run_outcome,
                    RunStatus::MaybeOn(place) => {
                        self.find_run(active_job, &run_request, &place).await
                    }
                },
                false => {
                    self.find_orphans(active_job, &run_request, &sightings)
                        .await
                }
            };
            active_job.unanswered_runs.borrow_mut().remove(&(task, run));
            // A used run number is that of another frontend, which had the job before.
            let never_started = matches!(
                run_outcome,
                RunOutcome::NotStarted(reason) if reason != NotStartedReason::RunNumberUsed
            );
            if !never_started {
                active_job.started.set(true);
            }
            match run_outcome {
                RunOutcome::Done => return TaskOutcome::Done,
                RunOutcome::Failed => {
                    failures += 1;
                    if failures >= active_job.submission.max_attempts {
                        return TaskOutcome::Failed;
                    }
                }
                RunOutcome::TargetLost(loss) => self.crash_history.record(&LossReport {
                    loss,
                    tasks: vec![task],
                }),
                RunOutcome::Lost
                | RunOutcome::Expired { .. }
                | RunOutcome::Moved { .. }
                | RunOutcome::Superseded => {}
                RunOutcome::NotStarted(NotStartedReason::RunNumberUsed) => {}
                RunOutcome::NotStarted(NotStartedReason::RejectedByTarget) => {
                    return TaskOutcome::Failed;
                }
                RunOutcome::NotStarted(
                    reason @ (NotStartedReason::StartTimeout
                    | NotStartedReason::TargetFateUnknown
                    | NotStartedReason::NoSuitableTarget),
                ) => {
                    return TaskOutcome::Refused(reason);
                }
                RunOutcome::NotStarted(
                    NotStartedReason::OwnerUnavailable | NotStartedReason::Cancelled,
                ) => {
                    clock::sleep(RETRY_PAUSE).await;
                }
            }
            if active_job.stopping.get() || active_job.time_left() <= step.estimate / 2 {
                return TaskOutcome::Refused(NotStartedReason::StartTimeout);
            }
        }
        TaskOutcome::GivenUp
    }

    /// Waits until it is known how `task` may run. Returns `None` if there is no time
    /// left to run it.
    async fn await_verdict(
        &self,
        active_job: &ActiveJob<'_>,
        step: &Step,
        task: TaskId,
    ) -> Option<Verdict> {
        let verdict = match self.config.injected_fault {
            Some(InjectedFault::IgnoreCrashes) => Verdict::Unsuspected,
            _ => self.crash_history.verdict(task),
        };
        if verdict != Verdict::Undecided {
            return Some(verdict);
        }
        let patience = active_job.time_left().saturating_sub(step.estimate / 2);
        info!(self.log, "task waits for the fate of lost targets"; "task" => %task,
            "limit_ms" => millis(patience));
        clock::timeout(patience, self.crash_history.decided(task)).await
    }

    fn build_run_request(
        &self,
        active_job: &ActiveJob<'_>,
        step: &Step,
        task: TaskId,
        run: u32,
        verdict: Verdict,
    ) -> RunRequest {
        let useful_time = (active_job.received_at
            + active_job.submission.latency_goal * USEFUL_GOAL_FACTOR)
            - clock::now();
        // The caller of a suspect submits the whole job again unless it gets an answer,
        // however late.
        let patience = match verdict {
            Verdict::Suspect => active_job.time_left(),
            _ => active_job.time_left().min(useful_time),
        };
        let patience = patience.saturating_sub(step.estimate);
        RunRequest {
            task,
            run,
            spec: active_job.submission.spec.clone(),
            service: active_job.submission.service.clone(),
            resources: step.resources,
            constraint: step.required_label.clone(),
            affinity: step.preferred_rack.clone(),
            max_per_target: step.max_per_target,
            exclusive: verdict == Verdict::Suspect,
            estimate_ms: millis_u32(step.estimate),
            priority: active_job.submission.priority,
            goal_remaining_ms: millis_u32(active_job.goal_left()),
            start_timeout_ms: millis_u32(patience),
            eligible_targets: Rc::default(),
            owner_incarnation: 0,
            sent_at: ClockReading::default(),
            front_address: self.config.address,
        }
    }

    /// Claims runs of an earlier submission of the job, all with the number of
    /// `run_request`. Returns how the first one ended that was done, or how the last one
    /// did.
    async fn find_orphans(
        self: &Rc<Self>,
        active_job: &ActiveJob<'_>,
        run_request: &RunRequest,
        sightings: &[Sighting],
    ) -> RunOutcome {
        let mut run_outcome = RunOutcome::Lost;
        for sighting in sightings {
            let Orphan { task, run, target } = sighting.orphan;
            info!(self.log, "task has run before, claiming that run"; "task" => %task,
                "run" => run, "owner" => %sighting.owner);
            let unanswered_runs = &active_job.unanswered_runs;
            unanswered_runs
                .borrow_mut()
                .insert((task, run), sighting.owner);
            self.mark_started(task.job);
            let place = Place {
                owner: sighting.owner,
                short_ids: vec![target],
                over_at: sighting.expires_at,
            };
            run_outcome = self.find_run(active_job, run_request, &place).await;
            if run_outcome == RunOutcome::Done {
                break;
            }
        }
        run_outcome
    }

    fn place(&self, owner: SocketAddr, short_ids: Vec<u32>) -> Place {
        Place {
            owner,
            short_ids,
            over_at: clock::now() + self.config.orphan_timeout,
        }
    }

    fn locate(&self, run_outcome: RunOutcome, owner: SocketAddr, short_ids: Vec<u32>) -> RunStatus {
        match run_outcome {
            RunOutcome::Moved { target } => RunStatus::MaybeOn(self.place(owner, vec![target])),
            RunOutcome::Superseded => RunStatus::MaybeOn(self.place(owner, short_ids)),
            run_outcome => match run_outcome.silent_target() {
                Some(target) if self.has_other_holder(target, owner) => {
                    RunStatus::MaybeOn(self.place(owner, vec![target]))
                }
                _ => RunStatus::Ended(run_outcome),
            },
        }
    }

    /// Whether another instance than `owner` holds the target with this short id.
    fn has_other_holder(&self, target: u32, owner: SocketAddr) -> bool {
        let is_own = owner != self.config.address && self.scheduler.short_ids().contains(&target);
        let holders = self.membership.holders_of(&[target]);
        is_own || holders.iter().any(|it| it.1 != owner)
    }

    /// Sends a run to an owner and waits until it ends.
    async fn send_run(
        self: &Rc<Self>,
        active_job: &ActiveJob<'_>,
        run_request: &RunRequest,
    ) -> RunStatus {
        while !self.scheduler.may_start_for_callers() {
            clock::sleep(RETRY_PAUSE).await;
        }
        let Some(owner) = self.choose_owner(run_request) else {
            clock::sleep(RETRY_PAUSE).await;
            return RunStatus::Ended(RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable));
        };
        active_job
            .unanswered_runs
            .borrow_mut()
            .insert((run_request.task, run_request.run), owner);
        self.mark_started(run_request.task.job);
        if owner == self.config.address {
            let run_outcome = self
                .scheduler
                .run(run_request.clone(), Waiter::Caller)
                .await;
            return self.locate(run_outcome, owner, self.scheduler.short_ids());
        }
        let recipient = self.membership.recipient(owner);
        let run_request = &RunRequest {
            eligible_targets: recipient.target_short_ids,
            owner_incarnation: recipient.incarnation,
            sent_at: recipient.clocks,
            ..run_request.clone()
        };
        let cancel_guard = CancelOnDrop::new(self, owner, run_request);
        let call = self
            .transport
            .call(owner, Request::Run(run_request.clone()));
        let reply = match select(call, pin!(self.membership.wait_until_gone(owner))).await {
            Either::Left((reply, _)) => {
                cancel_guard.disarm();
                reply
            }
            // Dropping the guard cancels the run at the owner, should it be
            // alive after all.
            Either::Right(_) => Err(CallError::Unknown),
        };
        match reply {
            Ok(Reply::Ended(run_outcome, load)) => {
                self.membership.update_load(owner, Rc::new(load));
                self.locate(run_outcome, owner, run_request.eligible_targets.to_vec())
            }
            Ok(_) | Err(CallError::NotSent) => {
                self.pause_peer(owner);
                RunStatus::Ended(RunOutcome::NotStarted(NotStartedReason::OwnerUnavailable))
            }
            Err(CallError::Unknown) => {
                self.pause_peer(owner);
                info!(self.log, "owner lost"; "task" => %run_request.task, "run" => run_request.run,
                    "owner" => %owner);
                RunStatus::MaybeOn(self.place(owner, run_request.eligible_targets.to_vec()))
            }
        }
    }
}

/// What is known of a run that was sent to an owner.
enum RunStatus {
    /// The run is over.
    Ended(RunOutcome),
    /// It may still be there.
    MaybeOn(Place),
}

/// Cancels a run at its owner when dropped, unless disarmed.
pub(super) struct CancelOnDrop {
    shared: Rc<Shared>,
    owner: SocketAddr,
    run: Option<(TaskId, u32)>,
}

impl CancelOnDrop {
    pub(super) fn new(
        shared: &Rc<Shared>,
        owner: SocketAddr,
        run_request: &RunRequest,
    ) -> CancelOnDrop {
        CancelOnDrop {
            shared: shared.clone(),
            owner,
            run: Some((run_request.task, run_request.run)),
        }
    }

    pub(super) fn disarm(mut self) {
        self.run = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some((task, run)) = self.run else { return };
        let call = self
            .shared
            .transport
            .call(self.owner, Request::Cancel { task, run });
        drop(spawn(async move {
            // An owner that can't be reached stops the run by itself.
            let _ = call.await;
        }));
    }
}
