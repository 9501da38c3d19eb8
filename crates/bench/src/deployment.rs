//! The two deployments.

use std::time::Duration;

/// Slots of each target.
pub const SLOTS: u32 = 8;
/// Targets of a rack.
pub const RACK: u32 = 6;
/// One-way time to clients.
pub const CLIENT: Duration = Duration::from_millis(3);
/// Slowest over fastest target.
const SPREAD: f64 = 4.0;

/// Sizes of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the table.
    pub name: &'static str,
    /// Targets of each domain.
    pub targets: &'static [usize],
    /// Entry instances of each domain.
    pub entries: &'static [usize],
    /// One-way time between instances.
    pub one_way: Duration,
}

/// Guild and Calortec.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "guild",
        targets: &[13, 13, 12, 12],
        entries: &[2, 2, 2, 1],
        one_way: Duration::from_micros(500),
    },
    Deployment {
        name: "calortec",
        targets: &[13, 13, 12, 12],
        entries: &[2, 2, 1, 1],
        one_way: Duration::from_micros(900),
    },
];

/// One failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Run time on each target over nominal run time.
    pub slowness: Vec<f64>,
    /// Part of the jobs that each entry instance gets.
    pub shares: Vec<f64>,
    /// One-way time between instances.
    pub one_way: Duration,
}

impl Deployment {
    /// Domain number `index`.
    pub fn domain(&self, index: usize) -> Domain {
        let targets = self.targets[index];
        let step = |it: usize| 1.0 + (SPREAD - 1.0) * it as f64 / (targets - 1) as f64;
        // Fast and slow targets stand in each rack.
        let slowness = (0..targets).map(|it| step(it * 5 % targets)).collect();
        let shares = match self.entries[index] {
            1 => vec![1.0],
            _ => vec![0.6, 0.4],
        };
        Domain {
            slowness,
            shares,
            one_way: self.one_way,
        }
    }
}

impl Domain {
    /// Nominal seconds of work that all slots do in a second.
    pub fn capacity(&self) -> f64 {
        self.slowness.iter().map(|it| f64::from(SLOTS) / it).sum()
    }
}
