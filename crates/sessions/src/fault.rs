//! Faults of a session.

use derive_more::Display;

/// Fault of a session.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A target dies with tasks running.
    #[display("F1 target dies")]
    TargetDies,
    /// A target is ten times slower.
    #[display("F2 straggler")]
    Straggler,
    /// A target fails each task at once.
    #[display("F3 failing target")]
    TargetFails,
    /// An entry instance crashes and later starts anew.
    #[display("F4 crash")]
    Crash,
    /// An entry instance pauses past its lease and resumes.
    #[display("F5 pause")]
    Pause,
    /// Every entry instance is replaced, one after the other.
    #[display("F6 rolling replacement")]
    Rolling,
    /// The store is down.
    #[display("F7 store down")]
    StoreDown,
    /// The store takes 2 s.
    #[display("F8 store slow")]
    StoreSlow,
    /// Answers of the store get lost after the write took effect.
    #[display("F9 store's answers lost")]
    AnswersLost,
    /// A domain is cut off from the other domains.
    #[display("F10 domain cut off from domains")]
    DomainCut,
    /// A domain is cut off from the platform.
    #[display("F11 domain cut off from the platform")]
    PlatformCut,
    /// A domain is cut off from all else.
    #[display("F12 domain cut off from all")]
    AllCut,
    /// Jobs that can never run.
    #[display("F15 hopeless jobs")]
    Hopeless,
    /// A wave of cancellations.
    #[display("F16 cancellations")]
    Cancellations,
    /// The same job goes to every instance at once.
    #[display("F17 submitted everywhere")]
    Everywhere,
    /// The instance list lags by 30 s.
    #[display("F19 list lags")]
    ListLags,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 16] = [
        Fault::TargetDies,
        Fault::Straggler,
        Fault::TargetFails,
        Fault::Crash,
        Fault::Pause,
        Fault::Rolling,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::AnswersLost,
        Fault::DomainCut,
        Fault::PlatformCut,
        Fault::AllCut,
        Fault::Hopeless,
        Fault::Cancellations,
        Fault::Everywhere,
        Fault::ListLags,
    ];
}
