//! A complete answer has each part, each for its caller; no other has results.

use bluebellpath::job::{Answer, Outcome, TaskAnswer, TaskId};
use bluebellpath_standin::Run;

use super::{Checker, Violation};
use crate::Seen;

pub(super) fn check(seen: &[Seen], runs: &[Run]) -> Vec<Violation> {
    let answered = seen
        .iter()
        .filter_map(|it| it.answer().map(|answer| (it, answer)));
    answered
        .filter_map(|(it, answer)| fault(it, answer, runs))
        .map(|detail| Violation::new(Checker::Complete, detail))
        .collect()
}

fn fault(seen: &Seen, answer: &Answer, runs: &[Run]) -> Option<String> {
    let id = &seen.id;
    if answer.id != *id {
        return Some(format!("{id} was answered with {}", answer.id));
    }
    let complete = answer.outcome == Outcome::Complete;
    if !complete {
        let result = answer.parts.iter().any(|it| it.result.is_some());
        return result.then(|| format!("{id} is {} and has results", answer.outcome));
    }
    let tasks = &seen.submission.tasks;
    if answer.parts.len() != tasks.len() {
        let parts = answer.parts.len();
        return Some(format!(
            "{id} is complete with {parts} parts of {}",
            tasks.len()
        ));
    }
    let parts = answer.parts.iter().zip(tasks).enumerate();
    for (index, (part, task)) in parts {
        let id = TaskId {
            job: id.clone(),
            index: index as u32,
        };
        if part.caller != task.caller {
            return Some(format!("{id} is for {}, not {}", part.caller, task.caller));
        }
        if !is_whole(&id, part, runs) {
            return Some(format!("{id} is complete with {part:?}"));
        }
    }
    None
}

fn is_whole(id: &TaskId, part: &TaskAnswer, runs: &[Run]) -> bool {
    let Some(target) = &part.target else {
        return false;
    };
    let ran = |it: &&Run| it.task == *id && it.target == *target && it.ended.is_some();
    let result = format!("{id} by {target}");
    part.outcome == Outcome::Complete
        && part.result.as_ref() == Some(&result)
        && runs.iter().filter(ran).count() == 1
}
