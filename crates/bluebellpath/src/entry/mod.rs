/*!
Entry instances, which accept jobs and run their tasks on targets.

[`Entry::submit`] forwards a job to the home instance of its id. The home
instance looks the id up, checks whether the job can run, claims its key, queues
its tasks, waits until all tasks have ended and returns the answer. The executor
takes assignments from the dispatcher and spawns a future for each. When a task
ends, its slots become free and the executor runs again.

Requests with the same id run the job once: a later request finds the
[`job`](crate::job) by its id and waits for the same answer.
*/

mod action;
mod audit;
mod validate;
mod config;
mod credit;
mod untracked;
mod target_refresh;
mod dependencies;
mod evict;
mod fence;
mod forward;
mod home;
mod job;
mod jobs;
mod lifecycle;
mod interner;
mod policy;
mod diagnostics;
mod answer_order;
mod injected_fault;
mod executor;
mod refusal;
mod route;
mod peer_handler;
mod stall;
mod state;
mod submit;
mod claimed_key;
mod targets;

pub use config::Config;
pub use dependencies::Dependencies;
pub use injected_fault::InjectedFault;
pub use lifecycle::PendingWork;
pub use refusal::Refusal;

use std::rc::Rc;

use self::{
    action::{Action, ActionResult},
    state::State,
    submit::Transit,
};
use crate::{
    admin::Outcomes,
    config::{Follower, LocalConfig},
    job::{Answer, Id, Submission, Ticket},
    peer::{Membership, Source},
    platform::{Guarded, Table},
    record::Log,
};

/// One entry instance.
#[derive(Clone)]
pub struct Entry(Rc<State>);

impl Entry {
    /// Creates an instance that does nothing until [`Entry::start`].
    pub fn new(config: Config, deps: Dependencies) -> Entry {
        Entry(Rc::new(State::new(config, deps)))
    }

    /// Spawns the background tasks of the instance in the current scope.
    pub fn start(&self) {
        let state = self.0.clone();
        state
            .deps
            .link
            .serve(Rc::new(peer_handler::PeerHandler(self.clone())));
        drop(bluebellpath_runtime::spawn(
            state.membership.clone().run(state),
        ));
        drop(bluebellpath_runtime::spawn(credit::run(self.0.clone())));
        drop(bluebellpath_runtime::spawn(self.0.record.clone().run()));
        drop(bluebellpath_runtime::spawn(self.follower().run()));
        drop(bluebellpath_runtime::spawn(target_refresh::run(
            self.0.clone(),
        )));
        self.0.claims.start();
        drop(bluebellpath_runtime::spawn(stall::run(self.0.clone())));
        drop(bluebellpath_runtime::spawn(evict::run(self.0.clone())));
        drop(bluebellpath_runtime::spawn(executor::run(self.0.clone())));
        drop(bluebellpath_runtime::spawn(targets::run(self.0.clone())));
    }

    fn follower(&self) -> Rc<Follower> {
        let Dependencies {
            config, link, log, ..
        } = self.0.deps.clone();
        Rc::new(Follower::new(
            config,
            self.config_table(),
            self.0.membership.clone(),
            link,
            log,
        ))
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Rc<LocalConfig> {
        &self.0.deps.config
    }

    /// Returns the table that stores the configuration.
    pub fn config_table(&self) -> Rc<dyn Table> {
        self.0.config_table.clone()
    }

    /// Returns the counts of outcomes by team.
    pub fn outcomes(&self) -> &Outcomes {
        &self.0.outcomes
    }

    /// Returns the source of the heartbeats that this instance sends.
    pub fn heartbeat_source(&self) -> Rc<dyn Source> {
        self.0.clone()
    }

    /// Returns the external services of this instance.
    pub fn dependencies(&self) -> &Dependencies {
        &self.0.deps
    }

    /// Returns the peers of this instance.
    pub fn membership(&self) -> &Rc<Membership> {
        &self.0.membership
    }

    /// Returns the audit record of this incarnation.
    pub fn record(&self) -> &Rc<Log> {
        &self.0.record
    }

    /// Returns the platform client, with its rate limits and circuit breakers.
    pub fn platform(&self) -> &Rc<Guarded> {
        &self.0.platform
    }

    /// Issues a job id that only this incarnation may start.
    pub fn ticket(&self) -> Ticket {
        self.0.tickets.issue()
    }

    /// Submits a job to its home instance, or joins the job with the same id,
    /// and waits for the answer.
    pub async fn submit(&self, id: Id, submission: Submission) -> Result<Rc<Answer>, Refusal> {
        let answer = submit::submit(
            &self.0,
            id.clone(),
            submission.clone(),
            Transit::from_caller(),
        )
        .await?;
        Ok(answer.unwrap_or_else(|| {
            let detail = "the home of the id was not reached";
            untracked::unknown(&self.0, &id, Some(&submission), detail)
        }))
    }

    /// Waits for the answer to a job; `None` if the home instance doesn't know
    /// the job.
    pub async fn fetch(&self, id: &Id) -> Option<Rc<Answer>> {
        self.perform(Action::Fetch, id).await
    }

    /// Cancels a job and waits for the answer, which says which tasks still ran;
    /// `None` if the home instance doesn't know the job.
    pub async fn cancel(&self, id: &Id) -> Option<Rc<Answer>> {
        self.perform(Action::Cancel, id).await
    }

    /// Releases the leases on key shards to peers, for a planned stop.
    pub async fn release_shards(&self) {
        self.0.claims.release().await;
    }

    /// Returns the number of table transactions for claims and leases so far.
    pub fn claim_transactions(&self) -> u64 {
        self.0.claims.transactions()
    }

    async fn perform(&self, action: Action, id: &Id) -> Option<Rc<Answer>> {
        match action::perform(&self.0, action, id, route::MAX_HOPS).await {
            ActionResult::Answer(answer) => Some(answer),
            ActionResult::Missing | ActionResult::NotHome => None,
        }
    }
}
