//! Faults of a session, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, rngs::StdRng};

/// Time in which faults begin.
pub const TROUBLE: Duration = Duration::from_secs(14);

/// One fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Table refuses everything for some time.
    StoreDown(Duration),
    /// Table is slow for some time.
    StoreSlow(Slow),
    /// So many answers get lost.
    LoseAnswers(u32),
    /// Member is cut off from the platform for some time.
    Cut(usize, Duration),
    /// Member is paused for some time.
    Pause(usize, Duration),
    /// Member's domain is cut off from the others for some time.
    Isolate(usize, Duration),
    /// Member crashes and starts anew.
    Restart(usize),
    /// All members restart, one after the other, with so much time between.
    Rolling(Duration),
    /// All members restart at once.
    RestartAll,
}

/// Slowness of the table.
#[derive(Clone, Copy, Debug)]
pub struct Slow {
    /// Time that it lasts.
    pub time: Duration,
    /// Time that a read takes.
    pub read: Duration,
    /// Time that a write takes; half of it goes by before it takes effect.
    pub write: Duration,
}

/// Faults with the time from the session's start at which each begins.
pub fn draw(rng: &mut StdRng, members: usize) -> Vec<(Duration, Fault)> {
    let count = rng.random_range(0..=8);
    let mut faults: Vec<_> = (0..count).map(|_| (at(rng), fault(rng, members))).collect();
    faults.sort_by_key(|it| it.0);
    faults
}

fn at(rng: &mut StdRng) -> Duration {
    millis(rng, 50, TROUBLE.as_millis() as u64)
}

fn fault(rng: &mut StdRng, members: usize) -> Fault {
    let member = rng.random_range(0..members);
    match rng.random_range(0..10) {
        0 | 1 => Fault::StoreDown(millis(rng, 200, 9_000)),
        2 => Fault::StoreSlow(Slow {
            time: millis(rng, 500, 6_000),
            read: millis(rng, 1, 2_000),
            write: millis(rng, 1, 8_000),
        }),
        3 => Fault::LoseAnswers(rng.random_range(1..=3)),
        4 => Fault::Cut(member, millis(rng, 200, 8_000)),
        5 => Fault::Pause(member, millis(rng, 100, 7_000)),
        6 => Fault::Isolate(member, millis(rng, 200, 6_000)),
        7 => Fault::Restart(member),
        8 => Fault::Rolling(millis(rng, 100, 2_000)),
        _ => Fault::RestartAll,
    }
}

fn millis(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..=to))
}
