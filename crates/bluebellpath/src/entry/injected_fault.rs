//! Faults that tests inject to check their checkers.

/// Fault that a test injects to verify that its checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Starts tasks regardless of the fence.
    SkipFence,
    /// Starts jobs without claiming their keys.
    SkipClaim,
    /// Takes a shard over despite the promise not to.
    BreakPromise,
    /// Starts jobs again under used tickets.
    ReuseId,
    /// Reports tasks that may have started as not run.
    NotRunAfterSend,
    /// Delivers answers in the order in which jobs end.
    AnswerOutOfOrder,
    /// Swaps the task answers of different callers.
    SwapCallers,
    /// Returns results of incomplete jobs.
    PartialAnswer,
    /// Never answers cancelled jobs.
    DropAnswer,
}
