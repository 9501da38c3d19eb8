//! Targets as the dispatcher sees them.

/// Target within one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u32);

/// Target that may run tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id.
    pub id: TargetId,
    /// Number of slots of the target.
    pub slots: u32,
    /// Number of its slots that this instance may use.
    pub credit: u32,
    /// Rack within the failure domain.
    pub rack: u32,
    /// The target accepts no new tasks.
    pub leaving: bool,
}
