//! Validation rules for fields.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use jsonc_parser::ast::Value;
use slog::Level;

use super::KeySource;

/// Parser of a field, with a description of the allowed values.
pub(super) struct Rule<T> {
    pub(super) allowed: &'static str,
    pub(super) parse: fn(&Value<'_>) -> Option<T>,
}

/// Name of an instance or failure domain.
pub(super) const NAME: Rule<String> = Rule {
    allowed: "a name of 1 to 64 letters, digits and `-_.`",
    parse: name,
};

/// Names of failure domains.
pub(super) const NAME_LIST: Rule<Vec<String>> = Rule {
    allowed: "a list of 1 to 1000 different names of letters, digits and `-_.`",
    parse: names,
};

/// Socket address.
pub(super) const ADDRESS: Rule<SocketAddr> = Rule {
    allowed: "an IP address with a port, such as \"10.0.0.1:7000\"",
    parse: |it| text(it)?.parse().ok(),
};

/// Duration of at least 1 ms.
pub(super) const TIMEOUT: Rule<Duration> = Rule {
    allowed: "a duration from \"1 ms\" to \"10 min\"",
    parse: |it| {
        let range = Duration::from_millis(1)..=Duration::from_secs(600);
        duration(text(it)?).filter(|it| range.contains(it))
    },
};

/// Duration that may be zero.
pub(super) const DURATION: Rule<Duration> = Rule {
    allowed: "a duration from \"0 ms\" to \"10 min\"",
    parse: |it| duration(text(it)?).filter(|it| *it <= Duration::from_secs(600)),
};

/// Size limit of a request head, in bytes.
pub(super) const HEAD_SIZE: Rule<usize> = Rule {
    allowed: "a size from \"1 KiB\" to \"1 MiB\"",
    parse: |it| size(text(it)?).filter(|it| (1 << 10..=1 << 20).contains(it)),
};

/// Size limit of a request body, in bytes.
pub(super) const BODY_SIZE: Rule<usize> = Rule {
    allowed: "a size from \"1 KiB\" to \"64 MiB\"",
    parse: |it| size(text(it)?).filter(|it| (1 << 10..=64 << 20).contains(it)),
};

/// Memory of all callers together, in bytes.
pub(super) const MEMORY_SIZE: Rule<usize> = Rule {
    allowed: "a size from \"16 MiB\" to \"65536 MiB\"",
    parse: |it| size(text(it)?).filter(|it| (16 << 20..=64 << 30).contains(it)),
};

/// Maximum number of connections.
pub(super) const CONNECTION_COUNT: Rule<usize> = Rule {
    allowed: "a whole number from 16 to 1000000",
    parse: |it| {
        let number = it.as_number_lit()?.value.parse().ok()?;
        (16..=1_000_000).contains(&number).then_some(number)
    },
};

/// Maximum number of jobs.
pub(super) const JOB_COUNT: Rule<usize> = Rule {
    allowed: "a whole number from 1 to 1000000",
    parse: |it| {
        let number = it.as_number_lit()?.value.parse().ok()?;
        (1..=1_000_000).contains(&number).then_some(number)
    },
};

/// Lowest severity that is logged.
pub(super) const LOG_LEVEL: Rule<Level> = Rule {
    allowed: "\"error\", \"warning\", \"info\" or \"debug\"",
    parse: |it| match text(it)? {
        "error" => Some(Level::Error),
        "warning" => Some(Level::Warning),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    },
};

/// Path of a file.
pub(super) const FILE_PATH: Rule<PathBuf> = Rule {
    allowed: "the path of a file",
    parse: |it| text(it).filter(|it| !it.is_empty()).map(PathBuf::from),
};

/// Shared key.
pub(super) const SHARED_KEY: Rule<String> = Rule {
    allowed: "a secret text of 12 bytes or more",
    parse: |it| {
        let long_enough = |it: &&str| it.len() >= KeySource::MIN_BYTES;
        text(it).filter(long_enough).map(str::to_owned)
    },
};

/// Name of an environment variable.
pub(super) const VARIABLE_NAME: Rule<String> = Rule {
    allowed: "the name of an environment variable",
    parse: |it| {
        let is_valid = |it: &&str| !it.is_empty() && !it.contains(['=', '\0']);
        text(it).filter(is_valid).map(str::to_owned)
    },
};

fn text<'a>(value: &'a Value<'_>) -> Option<&'a str> {
    value.as_string_lit().map(|it| it.value.as_ref())
}

fn name(value: &Value<'_>) -> Option<String> {
    let allowed = |it: u8| it.is_ascii_alphanumeric() || b"-_.".contains(&it);
    text(value)
        .filter(|it| (1..=64).contains(&it.len()) && it.bytes().all(allowed))
        .map(str::to_owned)
}

fn names(value: &Value<'_>) -> Option<Vec<String>> {
    let elements = &value.as_array()?.elements;
    let names: Vec<String> = elements.iter().map(name).collect::<Option<_>>()?;
    let unique: std::collections::BTreeSet<&String> = names.iter().collect();
    let is_valid = (1..=1000).contains(&names.len()) && unique.len() == names.len();
    is_valid.then_some(names)
}

/// Parses an integer with the unit `ms`, `s` or `min`.
fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = number_with_unit(text)?;
    let factor_ms = match unit {
        "ms" => 1,
        "s" => 1000,
        "min" => 60_000,
        _ => return None,
    };
    number.checked_mul(factor_ms).map(Duration::from_millis)
}

/// Parses an integer with the unit `B`, `KiB` or `MiB`.
fn size(text: &str) -> Option<usize> {
    let (number, unit) = number_with_unit(text)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        _ => return None,
    };
    usize::try_from(number.checked_mul(factor)?).ok()
}

fn number_with_unit(text: &str) -> Option<(u64, &str)> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    Some((number.parse().ok()?, unit.trim_start_matches(' ')))
}
