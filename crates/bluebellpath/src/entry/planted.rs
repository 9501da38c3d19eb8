//! Faults that tests of the checkers plant.

/// Fault that a test plants to see that its checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Starts whatever the fence says.
    SkipFence,
    /// Starts jobs under keys that were not claimed.
    SkipClaim,
    /// Promises not to take over and does.
    BreakPromise,
    /// Takes a used ticket for a fresh one.
    ReuseId,
    /// Says of tasks that may have started that they did not run.
    NotRunAfterSend,
    /// Answers in the order in which jobs end.
    AnswerOutOfOrder,
    /// Swaps the callers of an answer.
    SwapCallers,
    /// Hands out results of jobs that are not complete.
    PartialAnswer,
    /// Never answers a job that was cancelled.
    DropAnswer,
}
