//! Random numbers of a seed.

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Random numbers of a seed.
pub struct Random(StdRng);

impl Random {
    /// Numbers that `seed` gives.
    pub fn new(seed: u64) -> Random {
        Random(StdRng::seed_from_u64(seed))
    }

    /// Number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Number below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.random_range(0..end.max(1))
    }

    /// Time between two events of a Poisson process.
    pub fn exponential(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    /// Number from `low` to `high`, evenly by logarithm.
    pub fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        low * (high / low).powf(self.unit())
    }

    /// Lognormal number around the median 1.
    pub fn lognormal(&mut self, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        (sigma * normal).exp()
    }
}
