//! No ticket is used twice, whatever falls out of the window.

use std::collections::BTreeSet;

use bluebellpath::{
    job::{Incarnation, Ticket},
    owner::{TicketState, Tickets},
    settings::Domain,
};
use quickcheck::{QuickCheck, quickcheck};

quickcheck! {
    fn a_ticket_is_fresh_at_most_once(steps: Vec<(bool, u16)>) -> bool {
        uses_are_once(&steps)
    }
}

#[test]
fn a_ticket_is_fresh_at_most_once_in_long_runs() {
    let check: fn(Vec<(bool, u16)>) -> bool = |steps| uses_are_once(&steps);
    QuickCheck::new()
        .tests(50)
        .rng(quickcheck::Gen::new(5_000))
        .quickcheck(check);
}

/// Issues a ticket, or uses one of those issued, step by step.
fn uses_are_once(steps: &[(bool, u16)]) -> bool {
    let incarnation = Incarnation::from_u64(7);
    let tickets = Tickets::new(Domain::new(1), incarnation, 128);
    let mut issued = 0;
    let mut used = BTreeSet::new();
    for (issue, pick) in steps {
        if *issue {
            issued = tickets.issue().counter;
            continue;
        }
        let ticket = Ticket {
            domain: Domain::new(1),
            incarnation,
            counter: u64::from(*pick) % (issued + 2),
        };
        let state = tickets.state(&ticket);
        let exists = (1..=issued).contains(&ticket.counter);
        let recent = exists && issued - ticket.counter < 128;
        let right = match state {
            TicketState::Fresh => exists && used.insert(ticket.counter),
            TicketState::Used => used.contains(&ticket.counter),
            TicketState::Expired => exists && !recent,
            TicketState::Unissued => !exists,
        };
        if !right {
            return false;
        }
        if state == TicketState::Fresh {
            tickets.mark(&ticket);
        }
    }
    true
}
