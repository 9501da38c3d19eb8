//! What is said not to have run did not run, and will not.
//!
//! A job may run after such an answer only for another request: one that was
//! outstanding at that moment or was made later.

use bluebellpath::job::{Answer, Outcome};
use bluebellpath_standin::Run;

use super::{Checker, Violation};
use crate::{Got, Seen};

pub(super) fn check(seen: &[Seen], runs: &[Run]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (it, answer) in seen.iter().filter_map(|it| it.answer().map(|a| (it, a))) {
        let ran = runs.iter().filter(|run| run.task.job == it.id);
        for run in ran.filter(|run| denies(answer, run)) {
            if run.began <= it.came || !others(seen, it, run) {
                let detail = format!("{} began at {:?}: {answer:?}", run.task, run.began);
                violations.push(Violation::new(Checker::NotRun, detail));
            }
        }
    }
    violations
}

/// True when the answer says that the task did not run.
fn denies(answer: &Answer, run: &Run) -> bool {
    let part = answer.parts.get(run.task.index as usize);
    answer.outcome == Outcome::NotRun || part.is_some_and(|it| it.outcome == Outcome::NotRun)
}

/// True when another request accounts for the start.
fn others(seen: &[Seen], told: &Seen, run: &Run) -> bool {
    seen.iter().any(|it| {
        let other = it.id == told.id && it.may_start() && it.sent_order != told.sent_order;
        let open = matches!(it.got, Got::Nothing | Got::Crash) || it.came_order > told.came_order;
        other && open && it.sent <= run.began
    })
}
