/*!
Schedule by which instances take turns reading a table of the platform.

Each query to the platform costs, and all instances would read the same rows.
One instance reads and informs the others. The others read by themselves only if
they have heard nothing newer for longer, each after a different time. A reader
that has failed, is suspended or partitioned from the platform, sees a stale
view or waits for a lost answer is thus replaced without any agreement.
*/

use std::time::Duration;

use bluebellpath_runtime::{Instant, clock};

/// Ages of the known state at which the instances read, by rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Age for the first rank.
    pub first_age: Duration,
    /// Age for the second rank.
    pub second_age: Duration,
    /// Additional age for each further rank.
    pub age_step: Duration,
    /// Longest age for any rank.
    pub max_age: Duration,
}

impl Schedule {
    /// Returns the time until the instance with this rank, 0 first, should read
    /// a state that was last confirmed at `confirmed_at`.
    pub fn time_until_due(&self, confirmed_at: Option<Instant>, rank: usize) -> Duration {
        confirmed_at.map_or(Duration::ZERO, |confirmed_at| {
            (confirmed_at + self.age_for(rank)).saturating_since(clock::now())
        })
    }

    /// Returns the age at which the instance with this rank reads.
    pub fn age_for(&self, rank: usize) -> Duration {
        let Some(steps) = rank.checked_sub(1) else {
            return self.first_age;
        };
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        let age = self
            .second_age
            .saturating_add(self.age_step.saturating_mul(steps));
        age.min(self.max_age)
    }
}
