//! Targets as the dispatcher sees them.

/// Target within one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u32);

/// Target that may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id.
    pub id: TargetId,
    /// Slots that the target has.
    pub slots: u32,
    /// Slots of them that this instance may use.
    pub credit: u32,
    /// Rack within the domain.
    pub rack: u32,
    /// Takes no new work.
    pub leaving: bool,
}
