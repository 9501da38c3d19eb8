/*!
Orders to targets.

A target does what the highest fencing token that it has seen tells it, and
nothing else; that is what makes it the lock over its own room. An order that
got no answer may still be carried out seconds later, until a higher token has
reached the target.
*/

use bluebellpath_runtime::LocalFuture;
use derive_more::{Display, Error};

use crate::{Target, TaskId};

/// Start of one run of a task.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// What to run.
    pub spec: std::rc::Rc<str>,
    /// End of the lease on the target's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Fencing token.
    pub fencing_token: u64,
}

/// Look at a target, which renews the lease of all that runs there.
#[derive(Clone, Copy, Debug)]
pub struct PollRequest {
    /// Fencing token.
    pub fencing_token: u64,
    /// New end of the lease on the target's clock, in milliseconds.
    pub lease_end_ms: Option<u64>,
    /// Last end that has been dealt with; the target forgets up to it.
    pub acknowledged_end: u64,
    /// Longest wait for an end, in milliseconds.
    pub max_wait_ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did its work.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the target's.
    #[display("failed")]
    Failed,
    /// It was stopped, or its lease lapsed, or a companion ended.
    #[display("cut short")]
    Interrupted,
}

/// Run that is present on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
}

/// Run that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, rising during the target's life.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// How it ended.
    pub exit_status: ExitStatus,
}

/// What a target says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Clock of the target, in milliseconds.
    pub clock_ms: u64,
    /// Start of this life of the target, where it says so.
    pub incarnation_ms: Option<u64>,
    /// Runs that are present.
    pub running: Vec<ActiveRun>,
    /// Ends that nobody has dealt with yet.
    pub ended: Vec<EndedRun>,
}

/// Why an order was not carried out, or what is known of it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestError {
    /// A higher fencing token has reached the target.
    #[display("superseded by a higher fencing token")]
    Fenced,
    /// The run is not higher than one that ended there.
    #[display("run number already used")]
    RunNumberUsed,
    /// The end of the lease has passed on the target's clock.
    #[display("lease already over")]
    LeaseExpired,
    /// The target guards its capacity and has no room.
    #[display("no room")]
    NoCapacity,
    /// The target is unhealthy and has done nothing.
    #[display("refused by an unhealthy target")]
    Unhealthy,
    /// Another life of the target answers at its address.
    #[display("another incarnation answers")]
    Restarted,
    /// The order makes no sense to the target.
    #[display("rejected as invalid")]
    Invalid,
    /// Nothing reached the target.
    #[display("not sent")]
    NotSent,
    /// The order may have been carried out, or still may be.
    #[display("outcome unknown")]
    Unknown,
}

/// Sends orders to targets.
pub trait TargetClient {
    /// Starts a run; gives the target's clock in milliseconds.
    fn start(
        &self,
        target: &Target,
        start: StartRequest,
    ) -> LocalFuture<'static, Result<u64, RequestError>>;

    /// Stops a run.
    fn stop(
        &self,
        target: &Target,
        task: TaskId,
        run: u32,
        fence: u64,
    ) -> LocalFuture<'static, Result<u64, RequestError>>;

    /// Renews the lease and lists runs and ends.
    fn poll(
        &self,
        target: &Target,
        hold: PollRequest,
    ) -> LocalFuture<'static, Result<Status, RequestError>>;
}
