//! Random faults of a session, determined by its seed.

use std::time::Duration;

use rand::{RngExt, rngs::StdRng};

/// Period at the start of a session in which faults begin.
pub const FAULT_PERIOD: Duration = Duration::from_secs(14);

/// Fault injected into a session.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The table refuses all requests for this time.
    StoreDown(Duration),
    /// The table is slow for some time.
    StoreSlow(Slow),
    /// This number of responses of the table is lost.
    LoseAnswers(u32),
    /// The member is cut off from the platform for this time.
    Cut(usize, Duration),
    /// The member is paused for this time.
    Pause(usize, Duration),
    /// The domain of the member is cut off from the others for this time.
    Isolate(usize, Duration),
    /// The member crashes and restarts.
    Restart(usize),
    /// All members restart one after another, at this interval.
    Rolling(Duration),
    /// All members restart at once.
    RestartAll,
}

/// Response times of a slow table.
#[derive(Clone, Copy, Debug)]
pub struct Slow {
    /// Duration of the fault.
    pub time: Duration,
    /// Duration of a read.
    pub read: Duration,
    /// Duration of a write, which takes effect after half of it.
    pub write: Duration,
}

/// Draws faults, each with its start relative to the start of the session.
pub fn draw(rng: &mut StdRng, members: usize) -> Vec<(Duration, Fault)> {
    let count = rng.random_range(0..=8);
    let mut faults: Vec<_> = (0..count).map(|_| (at(rng), fault(rng, members))).collect();
    faults.sort_by_key(|it| it.0);
    faults
}

fn at(rng: &mut StdRng) -> Duration {
    millis(rng, 50, FAULT_PERIOD.as_millis() as u64)
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
