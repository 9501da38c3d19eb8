//! Each answer is in the record, in a declared gap, or was lost by a crash that
//! shows (P9).

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bluebellpath::{
    job::{Id, Incarnation},
    record::{Mark, Reader, Report},
};
use bluebellpath_runtime::clock;
use bluebellpath_standin::Fleet;

use super::{Checker, Violation};
use crate::Seen;

/// Longest time from an answer to the mark that covers it while the store
/// answers, its slowest writes included.
const COVERED: Duration = Duration::from_secs(12);

/// Checks the record of `fleet` against what was seen.
pub async fn check(fleet: &Fleet, seen: &[Seen]) -> Vec<Violation> {
    let reader = Reader::new(Rc::new(fleet.table.clone()), Rc::new(fleet.objects.clone()));
    let violation = |detail: String| Violation::new(Checker::Recorded, detail);
    let Ok(marks) = reader.marks().await else {
        return vec![violation("the marks can't be read".to_owned())];
    };
    let mut violations = Vec::new();
    let mut reports: Vec<Report> = Vec::new();
    for (incarnation, mark) in &marks {
        match reader.verify(*incarnation, mark).await {
            Ok(report) if report.is_sound() => reports.push(report),
            Ok(report) => violations.push(violation(format!("{report:?}"))),
            Err(error) => violations.push(violation(error.to_string())),
        }
    }
    let crashed = crashed(fleet, &marks);
    let gaps = reports.iter().any(|it| !it.gaps.is_empty());
    let mut known = BTreeSet::new();
    for it in seen.iter().filter(|it| it.answer().is_some()) {
        if known.insert(&it.id) && !is_found(&reader, &it.id).await {
            let came = clock::now().saturating_since(it.came);
            let came_ms = clock::wall().saturating_sub(came.as_millis() as u64);
            let uncovered = |mark: &&Mark| came_ms + COVERED.as_millis() as u64 >= mark.at_ms;
            if !gaps && !crashed.iter().any(uncovered) {
                violations.push(violation(format!("{} is not in the record", it.id)));
            }
        }
    }
    violations
}

/// Marks of chains whose incarnation is gone and did not close them.
fn crashed<'a>(fleet: &Fleet, marks: &'a [(Incarnation, Mark)]) -> Vec<&'a Mark> {
    let alive = fleet.members.iter().filter(|it| it.scope().is_alive());
    let alive: BTreeSet<Incarnation> = alive
        .map(|it| it.entry().membership().identity().incarnation)
        .collect();
    let gone = marks.iter().filter(|it| !alive.contains(&it.0));
    gone.map(|it| &it.1).filter(|it| !it.closed).collect()
}

async fn is_found(reader: &Reader, id: &Id) -> bool {
    let found = reader.find(id).await.unwrap_or_default();
    found.iter().any(|it| it.entry.is_some())
}
