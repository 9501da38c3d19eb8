/*!
Detection of lost answers.

For some seconds targets may execute requests late and without an answer. Each
lost poll then hides the ends of all runs on its target until its timeout, so that
capacity which is free stays unused and callers wait for results that are there.
While answers of several targets are being lost, each target is polled twice at
the same time; one target that has failed is no reason to.
*/

use std::{collections::VecDeque, time::Duration};

use bluebellpath_runtime::Instant;

/// Time for which a lost answer is remembered.
const WINDOW: Duration = Duration::from_secs(2);

/// Number of different targets whose answers were lost from which on the cause is
/// not one failed target.
const MIN_TARGETS: usize = 2;

/// Lost answers within the last seconds.
#[derive(Debug, Default)]
pub struct LostAnswers {
    /// Target and time of its last lost answer, oldest first.
    recent: VecDeque<(u32, Instant)>,
}

impl LostAnswers {
    /// Records that an answer of the target with this short id was lost at `now`.
    pub fn record(&mut self, target: u32, now: Instant) {
        self.recent
            .retain(|it| it.0 != target && now - it.1 <= WINDOW);
        self.recent.push_back((target, now));
    }

    /// Whether answers of several targets are being lost.
    pub fn is_widespread(&self, now: Instant) -> bool {
        let recent = self.recent.iter().filter(|it| now - it.1 <= WINDOW);
        recent.count() >= MIN_TARGETS
    }
}
