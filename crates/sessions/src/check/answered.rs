//! Each request gets an answer, unless the instance that was asked crashed.

use super::{Checker, Violation};
use crate::{Got, Seen};

pub(super) fn check(seen: &[Seen]) -> Vec<Violation> {
    let open = seen.iter().filter(|it| matches!(it.got, Got::Nothing));
    open.map(|it| {
        let detail = format!("{:?} of {} at member {}", it.ask, it.id, it.member);
        Violation::new(Checker::Answered, detail)
    })
    .collect()
}
