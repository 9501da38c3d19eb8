/*!
Requests to targets.

A target executes a request only if no higher fencing token has reached it
before. This makes each target the lock that protects its own capacity. A request
that was not answered may still be executed seconds later, until a higher token
has reached the target.
*/

use bluebellpath_runtime::LocalFuture;
use derive_more::{Display, Error};

use crate::{Target, TaskId};

/// Request to start one run of a task.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// Task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// What to run, in a format that only the target interprets.
    pub spec: std::rc::Rc<str>,
    /// End of the lease on the clock of the target, in milliseconds.
    pub lease_end_ms: u64,
    /// Fencing token.
    pub fencing_token: u64,
}

/// Long poll of a target, which renews the lease of all of its runs.
#[derive(Clone, Copy, Debug)]
pub struct PollRequest {
    /// Fencing token.
    pub fencing_token: u64,
    /// New end of the lease on the clock of the target, in milliseconds; `None`
    /// to leave the lease as it is.
    pub lease_end_ms: Option<u64>,
    /// Number of the last processed [`EndedRun`]. The target discards its records
    /// of ended runs up to this number.
    pub acknowledged_end: u64,
    /// Maximum time to wait for a run to end, in milliseconds.
    pub max_wait_ms: u64,
}

/// Result of a run that ended on a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitStatus {
    /// The run succeeded.
    #[display("done")]
    Done,
    /// The run failed because of the task or the target.
    #[display("failed")]
    Failed,
    /// The run was stopped, its lease expired, or another run of its group ended.
    #[display("cut short")]
    Interrupted,
}

/// Run that is active on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
}

/// Run that ended on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end, which increases within an incarnation of the
    /// target.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// Result.
    pub exit_status: ExitStatus,
}

/// State of a target as reported by the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Clock of the target in milliseconds.
    pub clock_ms: u64,
    /// Start time of this incarnation of the target, if reported.
    pub incarnation_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}

/// Reason for which a request was not executed or has an unknown outcome.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestError {
    /// A higher fencing token has reached the target.
    #[display("superseded by a higher fencing token")]
    Fenced,
    /// The run number is not higher than that of an ended run of the task.
    #[display("run number already used")]
    RunNumberUsed,
    /// The lease had already expired on the clock of the target.
    #[display("lease already over")]
    LeaseExpired,
    /// The target enforces its capacity and has too little left.
    #[display("no room")]
    NoCapacity,
    /// The target is unhealthy and did not execute the request.
    #[display("refused by an unhealthy target")]
    Unhealthy,
    /// Another incarnation of the target answered.
    #[display("another incarnation answers")]
    Restarted,
    /// The target rejected the request as malformed.
    #[display("rejected as invalid")]
    Invalid,
    /// Nobody listens at the address of the target, so the request did not reach it.
    #[display("connection refused")]
    Refused,
    /// The request did not reach the target.
    #[display("not sent")]
    NotSent,
    /// The request may have been executed, or may be executed later.
    #[display("outcome unknown")]
    Unknown,
}

/// Sends requests to targets.
pub trait TargetClient {
    /// Starts a run. Returns the clock of the target in milliseconds.
    fn start(
        &self,
        target: &Target,
        request: StartRequest,
    ) -> LocalFuture<'static, Result<u64, RequestError>>;

    /// Stops a run. Returns the clock of the target in milliseconds.
    fn stop(
        &self,
        target: &Target,
        task: TaskId,
        run: u32,
        fencing_token: u64,
    ) -> LocalFuture<'static, Result<u64, RequestError>>;

    /// Renews the lease and returns active and ended runs.
    fn poll(
        &self,
        target: &Target,
        request: PollRequest,
    ) -> LocalFuture<'static, Result<Status, RequestError>>;
}
