//! Faults that touch the dispatch of tasks.

use bluebellpath_runtime::Instant;

/// What goes wrong, for [`LASTS`] from [`BEGINS`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// F1: one target of each domain dies with its tasks.
    Dead,
    /// F2: one target of each domain is ten times slower.
    Straggler,
    /// F3: one target of each domain fails every task at once.
    Failing,
    /// One target of each domain accepts tasks and never replies.
    Hanging,
    /// F13: ten times the jobs for one second.
    Burst,
    /// F14: every declaration is wrong by ten.
    Declared,
    /// F15: one job in ten is larger than any target.
    Impossible,
    /// F16: half of all jobs in the system are cancelled, each two seconds.
    Cancelled,
    /// F19: one target of each domain leaves and the list does not show it.
    Leaving,
}

/// All faults, with their names in the table.
pub const FAULTS: [(Fault, &str); 9] = [
    (Fault::Dead, "F1 dead"),
    (Fault::Straggler, "F2 straggler"),
    (Fault::Failing, "F3 failing"),
    (Fault::Hanging, "F2b hanging"),
    (Fault::Burst, "F13 burst"),
    (Fault::Declared, "F14 declared"),
    (Fault::Impossible, "F15 impossible"),
    (Fault::Cancelled, "F16 cancelled"),
    (Fault::Leaving, "F19 leaving"),
];

/// Warm-up that is not counted, in seconds.
pub const WARM_UP: f64 = 20.0;
/// Time that is counted, in seconds.
pub const COUNTED: f64 = 40.0;
/// When a fault begins, in seconds.
pub const BEGINS: f64 = WARM_UP + 10.0;
/// How long a fault lasts, in seconds.
pub const LASTS: f64 = 10.0;
/// Target that a fault strikes: a fast one.
pub const TARGET: usize = 0;

/// Slowness of a straggler over its own.
const STRAGGLER: f64 = 10.0;

impl Fault {
    /// True while the fault is there.
    pub fn is_on(self, now: Instant) -> bool {
        let seconds = now.as_nanos() as f64 / 1e9;
        // A target that leaves does not come back.
        let lasts = if self == Fault::Leaving {
            f64::MAX
        } else {
            LASTS
        };
        (BEGINS..BEGINS + lasts).contains(&seconds)
    }

    /// True while the fault strikes `target`.
    pub fn strikes(self, target: usize, now: Instant) -> bool {
        target == TARGET && self.is_on(now)
    }

    /// Slowness of a task that begins now on `target`, over the target's own.
    pub fn slowness(self, target: usize, now: Instant) -> f64 {
        let slow = self == Fault::Straggler && self.strikes(target, now);
        if slow { STRAGGLER } else { 1.0 }
    }

    /// True when a task that runs on `target` over that time comes to nothing.
    pub fn ruins(self, target: usize, from: Instant, to: Instant) -> bool {
        let begins = Instant::from_nanos((BEGINS * 1e9) as u64);
        let dies = self == Fault::Dead && target == TARGET && from < begins && to >= begins;
        let struck = matches!(
            self,
            Fault::Dead | Fault::Failing | Fault::Hanging | Fault::Leaving
        );
        dies || struck && self.strikes(target, from)
    }
}
