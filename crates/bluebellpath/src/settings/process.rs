//! Settings of an entry daemon.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use slog::Level;

use super::{
    Domain, Drain, Error, Peers,
    rule::{
        ADDRESS, BODY_SIZE, CONNECTION_COUNT, HEAD_SIZE, JOB_COUNT, LOG_LEVEL, MEMORY_SIZE, NAME,
        NAME_LIST, TIMEOUT,
    },
    section::{Section, Source},
};
use crate::http::{Limits, ledger::Capacity};

/// Memory of all callers together where the settings set none, in bytes.
const DEFAULT_MEMORY: usize = 256 << 20;

/// Connections of all callers where the settings set none.
const DEFAULT_CONNECTIONS: usize = 4_096;

/// Bodies of the largest size that fit into the memory of all callers.
const MIN_BODIES: usize = 4;

/// Settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name in the instance list.
    pub name: String,
    /// Names of all failure domains, in the same order on every instance.
    pub domains: Vec<String>,
    /// Name of this instance's failure domain.
    pub domain: String,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Timeout of requests to the platform.
    pub platform_timeout: Duration,
    /// Communication with peers; `None` for an instance without peers.
    pub peers: Option<Peers>,
    /// Limits on HTTP requests of callers.
    pub http: Limits,
    /// Limits on what all callers together hold.
    pub capacity: Capacity,
    /// Timing of a planned stop.
    pub drain: Drain,
    /// Maximum number of jobs kept in memory, including answered ones.
    pub max_jobs: usize,
    /// Lowest severity that is logged.
    pub log_level: Level,
}

impl Settings {
    /// Default settings for the instance `name` in the only domain `domain`: a
    /// platform timeout of 5 s, no peers, 256 MiB and 4,096 connections for all
    /// callers, 100,000 jobs, log level `info`, and the defaults of [`Limits`] and
    /// [`Drain`].
    pub fn new(name: &str, domain: &str, listen: SocketAddr, platform: SocketAddr) -> Settings {
        Settings {
            name: name.to_owned(),
            domains: vec![domain.to_owned()],
            domain: domain.to_owned(),
            listen,
            platform,
            platform_timeout: Duration::from_secs(5),
            peers: None,
            http: Limits::default(),
            capacity: Capacity::new(DEFAULT_MEMORY, DEFAULT_CONNECTIONS),
            drain: Drain::default(),
            max_jobs: 100_000,
            log_level: Level::Info,
        }
    }

    /// Reads the settings file at `path`.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).map_err(|error| Error::Read {
            path: path.display().to_string(),
            detail: error.to_string(),
        })?;
        Settings::parse(&text)
    }

    /// Parses settings written as JSON with comments.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        let source = Source::new(text);
        let settings = match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
            Ok(parsed) => match &parsed.value {
                Some(ast::Value::Object(object)) => read(&source, object),
                _ => {
                    source.report(0, "", "no object".to_owned(), "an object of settings");
                    None
                }
            },
            Err(error) => {
                let offset = error.range().start;
                source.report(offset, "", error.kind().to_string(), "JSON with comments");
                None
            }
        };
        let faults = source.faults();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Error::Invalid { faults }),
        }
    }

    /// Failure domain of this instance.
    pub fn local_domain(&self) -> Option<Domain> {
        let index = self.domains.iter().position(|it| *it == self.domain)?;
        Some(Domain::new(index as u16))
    }
}

/// Allows comments and trailing commas, but no other extension of JSON.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn read<'a>(source: &'a Source<'a>, object: &'a ast::Object<'a>) -> Option<Settings> {
    let root = Section::new(source, object);
    let name = root.required("name", &NAME);
    let domains = root.required("domains", &NAME_LIST);
    let domain = root.required("domain", &NAME);
    let listen = root.required("listen", &ADDRESS);
    let platform = root.required("platform", &ADDRESS);
    let platform_timeout = root.optional("platform_timeout", &TIMEOUT);
    let peers = root.section("peers").and_then(|section| {
        let peers = Peers::read(source, &section);
        section.check_fields();
        peers
    });
    let http = root.section("http").map(|it| limits(source, it));
    let drain = root.section("drain").map(|section| {
        let drain = Drain::read(&section);
        section.check_fields();
        drain
    });
    let max_jobs = root.optional("max_jobs", &JOB_COUNT);
    let log_level = root.optional("log_level", &LOG_LEVEL);
    if let (Some(domains), Some(domain)) = (&domains, &domain)
        && !domains.contains(domain)
    {
        let allowed = format!("one of {}", domains.join(", "));
        let offset = root.offset_of("domain");
        source.report(offset, "domain", format!("{domain:?}"), &allowed);
    }
    root.check_fields();
    let defaults = Settings::new(&name?, &domain?, listen?, platform?);
    let (http, capacity) = http.unwrap_or((defaults.http, defaults.capacity));
    Some(Settings {
        domains: domains?,
        platform_timeout: platform_timeout.unwrap_or(defaults.platform_timeout),
        peers,
        http,
        capacity,
        drain: drain.unwrap_or(defaults.drain),
        max_jobs: max_jobs.unwrap_or(defaults.max_jobs),
        log_level: log_level.unwrap_or(defaults.log_level),
        ..defaults
    })
}

fn limits(source: &Source<'_>, section: Section<'_>) -> (Limits, Capacity) {
    let default = Limits::default();
    let time = |name, default| section.optional(name, &TIMEOUT).unwrap_or(default);
    let limits = Limits {
        head_bytes: section
            .optional("head", &HEAD_SIZE)
            .unwrap_or(default.head_bytes),
        body_bytes: section
            .optional("body", &BODY_SIZE)
            .unwrap_or(default.body_bytes),
        idle: time("idle", default.idle),
        message: time("message", default.message),
        write: time("write", default.write),
    };
    let memory = section.optional("memory", &MEMORY_SIZE);
    let memory = memory.unwrap_or(DEFAULT_MEMORY);
    let connections = section.optional("connections", &CONNECTION_COUNT);
    if memory / MIN_BODIES < limits.body_bytes {
        let found = format!("{memory} bytes for all callers");
        let allowed = format!("{MIN_BODIES} times `http.body` or more");
        source.report(section.offset_of("memory"), "http.memory", found, &allowed);
    }
    section.check_fields();
    let connections = connections.unwrap_or(DEFAULT_CONNECTIONS);
    (limits, Capacity::new(memory, connections))
}
