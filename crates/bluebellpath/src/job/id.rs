//! Ids of jobs.

use std::str::FromStr;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::{Incarnation, Key, Ticket};
use crate::settings::Domain;

/// Prefix that tells tickets from callers' own keys.
const TICKET_PREFIX: &str = "ticket.";

/// Id of a job.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Id {
    /// Handed out by an entry instance.
    Ticket(Ticket),
    /// Chosen by the caller.
    Key(Key),
}

/// Why a text is no job id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ParseError {
    /// Neither a ticket nor a key.
    #[display(
        "a job id has 1 to {} bytes of letters, digits and `-_.:@`",
        Key::MAX_BYTES
    )]
    Key,
    /// Begins like a ticket and is none.
    #[display("a ticket reads `ticket.DOMAIN.INCARNATION.COUNTER`")]
    Ticket,
}

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Id, ParseError> {
        match text.strip_prefix(TICKET_PREFIX) {
            Some(rest) => ticket(rest).map(Id::Ticket).ok_or(ParseError::Ticket),
            None => Key::new(text).map(Id::Key).ok_or(ParseError::Key),
        }
    }
}

fn ticket(rest: &str) -> Option<Ticket> {
    let mut parts = rest.split('.');
    let domain = parts.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let counter = parts.next()?.parse().ok()?;
    let ticket = Ticket {
        domain: Domain::new(domain),
        incarnation: Incarnation::from_u64(incarnation),
        counter,
    };
    // One spelling per ticket: a second one would be a second job.
    let canonical = ticket.to_string()[TICKET_PREFIX.len()..] == *rest;
    (parts.next().is_none() && canonical).then_some(ticket)
}
