//! Job ids.

use std::{fmt, str::FromStr};

use derive_more::{Display, Error, From};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, EnumAccess, VariantAccess, Visitor},
};

use super::{Incarnation, Key, Ticket};
use crate::settings::Domain;

/// Prefix that distinguishes tickets from keys.
const TICKET_PREFIX: &str = "ticket.";

/// Id of a job.
///
/// Serialized as text in human-readable formats and as a compact enum in binary
/// ones. Every message contains an id, so both forms are implemented by hand.
#[derive(Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Id {
    /// Issued by an entry instance.
    Ticket(Ticket),
    /// Chosen by the caller.
    Key(Key),
}

/// Reason for which a text is not a job id.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ParseError {
    /// Not a valid key.
    #[display(
        "a job id has 1 to {} bytes of letters, digits and `-_.:@`",
        Key::MAX_BYTES
    )]
    Key,
    /// Starts with the prefix of a ticket but isn't a valid one.
    #[display("a ticket reads `ticket.DOMAIN.INCARNATION.COUNTER`")]
    Ticket,
}

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Id, ParseError> {
        match text.strip_prefix(TICKET_PREFIX) {
            Some(rest) => parse_ticket(rest).map(Id::Ticket).ok_or(ParseError::Ticket),
            None => Key::new(text).map(Id::Key).ok_or(ParseError::Key),
        }
    }
}

fn parse_ticket(rest: &str) -> Option<Ticket> {
    let mut parts = rest.split('.');
    let domain = parts.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let counter = parts.next()?.parse().ok()?;
    let ticket = Ticket {
        domain: Domain::new(domain),
        incarnation: Incarnation::from_u64(incarnation),
        counter,
    };
    // Only the canonical spelling is valid: another spelling of the same ticket
    // would be another job.
    let is_canonical = ticket.to_string()[TICKET_PREFIX.len()..] == *rest;
    (parts.next().is_none() && is_canonical).then_some(ticket)
}

/// Name of the enum in self-describing binary formats.
const ENUM: &str = "Id";

/// Names of the variants, in the order of their indexes on the wire.
const VARIANTS: &[&str] = &["Ticket", "Key"];

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        match self {
            Id::Ticket(it) => serializer.serialize_newtype_variant(ENUM, 0, VARIANTS[0], it),
            Id::Key(it) => serializer.serialize_newtype_variant(ENUM, 1, VARIANTS[1], it),
        }
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Id, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(IdVisitor)
        } else {
            deserializer.deserialize_enum(ENUM, VARIANTS, IdVisitor)
        }
    }
}

struct IdVisitor;

impl<'de> Visitor<'de> for IdVisitor {
    type Value = Id;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a job id")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Id, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_enum<A: EnumAccess<'de>>(self, access: A) -> Result<Id, A::Error> {
        match access.variant::<u32>()? {
            (0, variant) => variant.newtype_variant().map(Id::Ticket),
            (1, variant) => {
                // Frames come from other processes, so the key is validated again.
                let key: Key = variant.newtype_variant()?;
                Key::new(key.as_str())
                    .map(Id::Key)
                    .ok_or_else(|| de::Error::custom(ParseError::Key))
            }
            (other, _) => Err(de::Error::custom(format_args!("no job id variant {other}"))),
        }
    }
}
