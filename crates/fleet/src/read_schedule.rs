/*!
Whose turn it is to read a table of the platform.

Load pattern: each call to the platform is paid for, and what all instances
would read is the same. One instance reads, and tells the others what it learnt.
These read by themselves only once they have been told nothing newer for longer,
each after a time of its own, so that a reader that is gone, frozen, cut off from
the platform, shown an old view or waiting for an answer that was lost is
replaced without any agreement.
*/

use std::time::Duration;

use bluebellpath_runtime::{Instant, clock};

/// Ages of what is known at which each instance reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Age for the first in line.
    pub first_age: Duration,
    /// Age for the second.
    pub second_age: Duration,
    /// Time by which each steps one waits longer.
    pub age_step: Duration,
    /// Longest that any waits.
    pub max_age: Duration,
}

impl Schedule {
    /// Time until the instance at `rank` in line, 0 first, should read what
    /// was last known to be true at `confirmed_at`.
    pub fn time_until_due(&self, confirmed_at: Option<Instant>, rank: usize) -> Duration {
        confirmed_at.map_or(Duration::ZERO, |confirmed_at| {
            (confirmed_at + self.age_for(rank)).saturating_since(clock::now())
        })
    }

    /// Age at which the instance at `rank` in line reads.
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
