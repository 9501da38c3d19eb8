//! Faults that tests inject to verify that their checks detect them.

/// Fault injected into an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The fencing token is not incremented after an unconfirmed start.
    KeepFencingToken,
    /// A claim is denied without searching for the run.
    DenyClaims,
    /// Leases of an unresponsive target are renewed without being recorded.
    RenewUnresponsive,
    /// A job that was sent to an owner is refused as if it had never run.
    RefuseAfterSend,
    /// Each instance follows the configuration with a single long poll.
    SingleLongPoll,
    /// All processes use the same identity in fencing tokens.
    SharedIdentity,
    /// Run requests for an earlier process are executed.
    AcceptForeignRequest,
    /// A run is started on a target that the owner lost since the request was sent.
    StartAfterLoss,
    /// Runs are started and kept alive although they may have been given up.
    EndlessPermission,
    /// Tasks that crash their targets are run like others.
    IgnoreCrashes,
    /// An older configuration replaces a newer one.
    AcceptOlderConfig,
    /// Tasks are started on targets of evacuated domains.
    IgnoreEvacuations,
    /// An older set of evacuated domains replaces a newer one.
    AcceptOlderEvacuations,
}
