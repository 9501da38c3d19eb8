//! Faults that tests plant to see that they are found.

/// Fault planted in an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The fencing token is not raised for a start in doubt.
    KeepFencingToken,
    /// A claim is denied without a look for the run.
    DenyClaims,
    /// A target that does not answer gets new leases, which are not noted.
    RenewUnresponsive,
    /// A job that was sent to an owner is refused as one that never ran.
    RefuseAfterSend,
    /// The configuration is followed with one long call at each instance.
    SingleLongPoll,
    /// An older configuration takes the place of a newer one.
    AcceptOlderConfig,
}
