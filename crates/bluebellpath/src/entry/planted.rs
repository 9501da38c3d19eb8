//! Faults that tests of the checkers plant.

/// Fault that a test plants to see that its checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Starts whatever the fence says.
    SkipFence,
    /// Starts jobs under keys that were not claimed.
    ForgetClaim,
    /// Promises not to take over and does.
    ForgetPromise,
    /// Takes a used ticket for a fresh one.
    ForgetTicket,
    /// Says of tasks that may have started that they did not run.
    NotRunAfterSend,
    /// Answers in the order in which jobs end.
    ReleaseOrder,
    /// Swaps the callers of an answer.
    MixCallers,
    /// Hands out results of jobs that are not complete.
    Partial,
    /// Never answers a job that was cancelled.
    DropAnswer,
}
