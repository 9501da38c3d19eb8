//! Nothing starts after its deadline.
//!
//! A deadline counts from the arrival at the home instance. Messages that wait
//! for a paused instance arrive at an unknown time, so only jobs of sessions
//! without a pause, and tickets that went straight to their issuer, are judged.

use std::time::Duration;

use bluebellpath_standin::Run;

use super::{Checker, Violation};
use crate::{Case, Fault, Seen};

/// Longest way of a request to its home, retries included, and of a start.
const SLACK: Duration = Duration::from_millis(100);

pub(super) fn check(case: &Case, seen: &[Seen], runs: &[Run]) -> Vec<Violation> {
    let late = runs.iter().filter(|run| {
        let mut asked = seen
            .iter()
            .filter(|it| it.id == run.task.job && it.may_start());
        let judged = !case.has(Fault::Pause) || asked.clone().all(|it| it.at_issuer);
        judged && !asked.any(|it| is_in_time(it, run))
    });
    late.map(|run| {
        let detail = format!("{} began at {:?}", run.task, run.began);
        Violation::new(Checker::Late, detail)
    })
    .collect()
}

fn is_in_time(seen: &Seen, run: &Run) -> bool {
    let deadline = Duration::from_millis(seen.submission.deadline_ms);
    seen.sent <= run.began && run.began <= seen.sent + deadline + SLACK
}
