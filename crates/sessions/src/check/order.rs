//! Answers to one caller come in the order of its requests.
//!
//! The order is the home instance's; here it is known for tickets that were
//! first submitted to their issuer. An answer that is not complete goes out at
//! once and may come before earlier ones.

use bluebellpath::job::Outcome;

use super::{Checker, Violation};
use crate::{Ask, Seen};

pub(super) fn check(seen: &[Seen]) -> Vec<Violation> {
    let firsts: Vec<&Seen> = seen.iter().filter(|it| is_first(it, seen)).collect();
    let mut violations = Vec::new();
    for later in firsts.iter().filter(|it| is_complete(it)) {
        let earlier = firsts.iter().filter(|it| {
            it.member == later.member && it.sent < later.sent && it.came_order > later.came_order
        });
        let home = |it: &&&Seen| home(it) == home(later);
        for earlier in earlier.filter(home).filter(|it| shares_caller(it, later)) {
            let detail = format!("{} was answered before {}", later.id, earlier.id);
            violations.push(Violation::new(Checker::Order, detail));
        }
    }
    violations
}

fn is_first(it: &Seen, seen: &[Seen]) -> bool {
    let earlier =
        |other: &Seen| other.id == it.id && other.may_start() && other.sent_order < it.sent_order;
    let direct = it.ask == Ask::Submit && it.at_issuer && it.answer().is_some();
    direct && !seen.iter().any(earlier)
}

/// Incarnation that issued the ticket.
fn home(it: &Seen) -> Option<u64> {
    match &it.id {
        bluebellpath::job::Id::Ticket(ticket) => Some(ticket.incarnation.to_u64()),
        bluebellpath::job::Id::Key(_) => None,
    }
}

fn is_complete(it: &Seen) -> bool {
    it.answer()
        .is_some_and(|it| it.outcome == Outcome::Complete)
}

fn shares_caller(a: &Seen, b: &Seen) -> bool {
    let tasks = &b.submission.tasks;
    let shared = |caller: &String| tasks.iter().any(|it| it.caller == *caller);
    a.submission.tasks.iter().any(|it| shared(&it.caller))
}
