//! Faults that tests plant to see that they are found.

/// Fault planted in an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The fencing token is not raised for a start in doubt.
    KeepToken,
    /// A claim is denied without a look for the run.
    SkipAdoption,
    /// A target that does not answer gets new leases, which are not noted.
    RenewSilent,
    /// A job that was sent to an owner is refused as one that never ran.
    NotRunAfterSend,
    /// The configuration is followed with one long call at each instance.
    PollAlone,
    /// An older configuration takes the place of a newer one.
    TakeBackConfig,
}
