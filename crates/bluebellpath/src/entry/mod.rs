/*!
One entry instance: from a submission to its answer.

[`Entry::submit`] follows a job straight down: find the job under its id, admit
it, claim its key, queue its tasks, wait until each has ended, answer. A pump
takes assignments from the dispatcher and spawns one task for each; the reports
of those tasks free slots, which starts the pump again.

A job that is asked for twice is run once: the second request finds the first
one's [`job`](crate::job) under the id and waits for the same answer.
*/

mod config;
mod credit;
mod env;
mod job;
mod jobs;
mod names;
mod policy;
mod pump;
mod refusal;
mod serve;
mod state;
mod submit;

pub use config::Config;
pub use env::Env;
pub use refusal::Refusal;

use std::rc::Rc;

use self::state::State;
use crate::{
    job::{Answer, Id, Submission, Ticket},
    peer::Membership,
};

/// One entry instance.
#[derive(Clone)]
pub struct Entry(Rc<State>);

impl Entry {
    /// Instance that does nothing until [`Entry::start`].
    pub fn new(config: Config, env: Env) -> Entry {
        Entry(Rc::new(State::new(config, env)))
    }

    /// Starts the instance's own tasks in the current scope.
    pub fn start(&self) {
        let state = self.0.clone();
        state.env.link.serve(Rc::new(serve::Peers(self.clone())));
        drop(bluebellpath_runtime::spawn(
            state.membership.clone().run(state),
        ));
        drop(bluebellpath_runtime::spawn(credit::run(self.0.clone())));
        drop(bluebellpath_runtime::spawn(pump::run(self.0.clone())));
        drop(bluebellpath_runtime::spawn(pump::follow_targets(
            self.0.clone(),
        )));
    }

    /// Peers of this instance.
    pub fn membership(&self) -> &Rc<Membership> {
        &self.0.membership
    }

    /// Hands out a job id that only this incarnation will ever start.
    pub fn ticket(&self) -> Ticket {
        self.0.ticket()
    }

    /// Submits a job, or joins one with the same id, and waits for the answer.
    pub async fn submit(&self, id: Id, submission: Submission) -> Result<Rc<Answer>, Refusal> {
        submit::submit(&self.0, id, submission).await
    }

    /// Waits for the answer to a job; `None` when there is no such job here.
    pub async fn fetch(&self, id: &Id) -> Option<Rc<Answer>> {
        let job = self.0.jobs.find(id)?;
        Some(job.answered().await)
    }

    /// Cancels a job and waits for the answer, which says what still ran;
    /// `None` when there is no such job here.
    pub async fn cancel(&self, id: &Id) -> Option<Rc<Answer>> {
        let job = self.0.jobs.find(id)?;
        pump::cancel(&self.0, &job);
        Some(job.answered().await)
    }
}
