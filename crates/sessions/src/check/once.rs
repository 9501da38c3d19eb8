//! No task starts twice, whichever incarnations were asked.

use std::collections::BTreeMap;

use bluebellpath_standin::Run;

use super::{Checker, Violation};

pub(super) fn check(runs: &[Run]) -> Vec<Violation> {
    let mut starts: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for run in runs {
        starts
            .entry(run.task.to_string())
            .or_default()
            .push(&run.target);
    }
    let twice = starts.into_iter().filter(|(_, targets)| targets.len() > 1);
    twice
        .map(|(task, targets)| {
            let detail = format!("task {task} started on {}", targets.join(" and "));
            Violation::new(Checker::Once, detail)
        })
        .collect()
}
