//! All submitters of one job get the same answer, or a part of the truth.
//!
//! Who asked elsewhere than at the home is told at the deadline that the outcome
//! is unknown when the home has not answered by then. Without a fault between
//! instances that is the only way in which answers differ.

use std::time::Duration;

use bluebellpath::job::{Answer, Outcome};

use super::{Checker, Violation, ids};
use crate::{Case, Fault, Seen};

/// Faults under which each submitter can be given the answer itself, while it is
/// kept.
const HARMLESS: [Fault; 7] = [
    Fault::TargetDies,
    Fault::Straggler,
    Fault::TargetFails,
    Fault::Hopeless,
    Fault::Cancellations,
    Fault::Everywhere,
    Fault::ListLags,
];

pub(super) fn check(case: &Case, seen: &[Seen]) -> Vec<Violation> {
    let harmless = !case.forgets() && case.faults().all(|it| HARMLESS.contains(&it));
    let mut violations = Vec::new();
    for id in ids(seen) {
        let of_id = seen.iter().filter(|it| it.id == *id);
        let in_time = of_id.clone().filter(|it| !is_doubt_at_deadline(it));
        let told: Vec<&Answer> = in_time.filter_map(Seen::answer).collect();
        let answers: Vec<&Answer> = of_id.filter_map(Seen::answer).collect();
        let pairs = told.iter().zip(told.iter().skip(1));
        for (a, b) in pairs.filter(|(a, b)| differ(a, b, harmless)) {
            let detail = format!("{id}: {a:?} and {b:?}");
            violations.push(Violation::new(Checker::Same, detail));
        }
        let whole: Vec<_> = answers.iter().filter(|it| is_known(it)).collect();
        for (a, b) in whole
            .iter()
            .zip(whole.iter().skip(1))
            .filter(|(a, b)| a != b)
        {
            let detail = format!("{id}: {a:?} and {b:?}");
            violations.push(Violation::new(Checker::Same, detail));
        }
    }
    violations
}

fn is_doubt_at_deadline(seen: &Seen) -> bool {
    let deadline = Duration::from_millis(seen.submission.deadline_ms);
    let unknown = |it: &Answer| it.outcome == Outcome::Unknown;
    seen.came >= seen.sent + deadline && seen.answer().is_some_and(unknown)
}

/// True for answers that leave nothing open. An answer that the job did not run
/// may be followed by one to a later request.
fn is_known(answer: &Answer) -> bool {
    matches!(answer.outcome, Outcome::Complete | Outcome::Failed) && !answer.parts.is_empty()
}

/// Without a fault between instances, answers differ only where a job that did
/// not run was submitted anew.
fn differ(a: &Answer, b: &Answer, harmless: bool) -> bool {
    let not_run = |it: &Answer| it.outcome == Outcome::NotRun;
    harmless && a != b && !not_run(a) && !not_run(b)
}
