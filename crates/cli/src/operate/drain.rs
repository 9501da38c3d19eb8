//! Targets that get no new work.

use bluebellpath::{
    config::{Change, Drain},
    settings::Domain,
};
use clap::ArgMatches;

use super::{
    client::{Client, text},
    error::Error,
    output::Output,
};

/// Runs `drain WHAT` or `undrain WHAT`.
pub async fn run(
    verb: &str,
    what: &str,
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let domain = || Domain::new(matches.get_one("domain").copied().unwrap_or_default());
    let drain = match what {
        "target" => Drain::Target(text(matches, "name")),
        "rack" => Drain::Rack {
            domain: domain(),
            rack: matches.get_one("rack").copied().unwrap_or_default(),
        },
        _ => Drain::Domain(domain()),
    };
    let change = match verb {
        "drain" => Change::Drain(drain),
        _ => Change::Undrain(drain),
    };
    client.change(matches, output, |_| vec![change]).await
}
