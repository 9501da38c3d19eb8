//! All submitters of one job get the same answer, or a part of the truth.

use bluebellpath::job::{Answer, Outcome};

use super::{Checker, Violation, ids};
use crate::{Case, Fault, Seen};

/// Faults under which each submitter can be given the answer itself.
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
    let harmless = case.faults().all(|it| HARMLESS.contains(&it));
    let mut violations = Vec::new();
    for id in ids(seen) {
        let of_id = seen.iter().filter(|it| it.id == *id);
        let answers: Vec<&Answer> = of_id.filter_map(Seen::answer).collect();
        let pairs = answers.iter().zip(answers.iter().skip(1));
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
