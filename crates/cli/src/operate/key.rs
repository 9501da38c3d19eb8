//! Keys of operators and teams.

use bluebellpath::config::{Change, Key, Role};
use clap::ArgMatches;

use super::{
    client::{Client, text},
    error::Error,
    output::Output,
};

/// Runs `key VERB`.
pub async fn run(
    verb: &str,
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let name = text(matches, "name");
    if verb == "remove" {
        let remove = |_: &_| vec![Change::RemoveKey(name)];
        return client.change(matches, output, remove).await;
    }
    let (key, secret) = Key::generate(&name, role(matches));
    client
        .change(matches, output, |_| vec![Change::SetKey(key)])
        .await?;
    // To stderr: what is piped on holds no secret.
    eprintln!("key, shown this once: {name}.{secret}");
    Ok(())
}

fn role(matches: &ArgMatches) -> Role {
    match text(matches, "role").as_str() {
        "team" => Role::Team,
        "operator" => Role::Operator,
        "administrator" => Role::Administrator,
        _ => Role::Viewer,
    }
}
